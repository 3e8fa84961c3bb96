package resp

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/tidwall/redcon"

	"ravenwheel/internal/core"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/resp"
)

// client is a connection that has sent its first frame. One goroutine reads its commands and one writes its answers; each request
// runs in a goroutine of its own.
//
// A tag is the number that a client gives a request, and which the answer repeats. The client may use it again once the request is
// answered. (The tag of a cached copy, core.Request.CachedTag, is unrelated.)
type client struct {
	front *Front
	conn  *conn

	// Used by the reading goroutine only.
	unstarted      []unstartedRequest
	unstartedSince float64 // when the first of unstarted was read, in ms of the clock

	mu           sync.Mutex
	output       []byte                        // answers to write
	cancels      map[string]context.CancelFunc // of open requests, by tag
	writingSince float64                       // when the write in progress began, in ms of the clock; 0: none is in progress
	closed       bool
	wake         chan struct{} // wakes the writer
}

// errBadTag is the error of a command whose tag is not a number above 0, or is the tag of an open request: the answers of both
// requests could not be told apart.
var errBadTag = errors.New("tag is malformed or in use")

// serve reads commands until the connection ends, which cancels all open requests.
func (cl *client) serve(dc redcon.DetachedConn, cmd redcon.Command) {
	ctx, cancelAll := context.WithCancel(context.Background())
	go cl.writeLoop()
	for {
		if cl.handleCommand(ctx, cmd.Args) != nil {
			break
		}
		if cl.mustStartRequests() {
			cl.startRequests()
		}
		var err error
		if cmd, err = dc.ReadCommand(); err != nil {
			break
		}
	}
	cancelAll()
	cl.startRequests() // their context is cancelled, so each ends as a request whose client has left
	cl.conn.finishReading()
	cl.close()
}

// mustStartRequests reports whether the unstarted requests must be started although more input has arrived: a client that never
// stops sending would otherwise delay them forever.
func (cl *client) mustStartRequests() bool {
	if len(cl.unstarted) == 0 {
		return false
	}
	return len(cl.unstarted) >= maxOpenPerConn || cl.front.clock.Now()-cl.unstartedSince >= maxStartDelay
}

// handleCommand carries out one command. An error ends the connection.
func (cl *client) handleCommand(ctx context.Context, args [][]byte) error {
	if len(args) < 2 || !isTag(args[1]) {
		return errBadTag
	}
	tag := string(args[1])
	switch string(args[0]) {
	case commandCall:
		return cl.openRequest(ctx, tag, args[2:])
	case commandCancel:
		cl.cancelRequest(tag)
	case commandHealth:
		cl.sendWord(tag, cl.health())
	default:
		cl.sendWord(tag, answerFault)
	}
	return nil
}

func (cl *client) health() string {
	if cl.front.ready.Load() {
		return answerReady
	}
	return answerNotReady
}

func (cl *client) cancelRequest(tag string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cancel := cl.cancels[tag]; cancel != nil {
		cancel()
	}
}

// openRequest opens a request, which is started once all input that has arrived is read. A request that is invalid, comes too late
// or exceeds the number of open requests is answered at once. An error ends the connection.
func (cl *client) openRequest(ctx context.Context, tag string, args [][]byte) error {
	now, plan := cl.front.clock.Now(), cl.front.plan.Load()
	request, valid := parseRequest(args, now, cl.front.handler)
	request.Deadline = plan.Deadline(request.Deadline)
	ctx, cancel := context.WithCancel(ctx)
	reserved, err := cl.reserveTag(tag, valid, cancel)
	switch {
	case err != nil:
		cancel()
		return err
	case !reserved:
		cancel()
		cl.sendWord(tag, answerFault)
		return nil
	case !plan.AcceptsRequest(now) || request.Deadline <= now:
		cl.releaseTag(tag)
		cancel()
		cl.send(func(b []byte) []byte { return appendAnswer(b, tag, cl.front.handler.Reject()) })
		return nil
	}
	cl.front.pendingWork.Add(1)
	request.ClientGone = cl.conn.peerClosed
	if len(cl.unstarted) == 0 {
		cl.unstartedSince = now
	}
	cl.unstarted = append(cl.unstarted, unstartedRequest{ctx, cancel, tag, request})
	return nil
}

// reserveTag reserves the tag of a valid request. reserved is false if the request must be answered at once, because it is invalid
// or too many requests are open.
func (cl *client) reserveTag(tag string, valid bool, cancel context.CancelFunc) (reserved bool, err error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch {
	case cl.closed:
		return false, net.ErrClosed
	case cl.cancels[tag] != nil: // both answers would have the same tag
		return false, errBadTag
	case !valid || len(cl.cancels) >= maxOpenPerConn:
		return false, nil
	}
	cl.cancels[tag] = cancel
	return true, nil
}

func (cl *client) releaseTag(tag string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	invariant.Check(cl.cancels[tag] != nil, "a tag is released only while its request is open")
	delete(cl.cancels, tag)
}

// startRequests starts the requests that were read, once all input that has arrived is read. If a client closed its connection
// right after a request, that is known by then, and no attempt is started for it.
func (cl *client) startRequests() {
	for _, unstarted := range cl.unstarted {
		go cl.handleRequest(unstarted)
	}
	clear(cl.unstarted)
	cl.unstarted = cl.unstarted[:0]
}

// handleRequest answers one request.
func (cl *client) handleRequest(unstarted unstartedRequest) {
	defer cl.front.pendingWork.Add(-1)
	defer unstarted.cancel()
	answer := cl.front.handler.Do(unstarted.ctx, unstarted.request)
	cl.releaseTag(unstarted.tag)
	if answer.Verdict != core.Abandoned {
		cl.send(func(b []byte) []byte { return appendAnswer(b, unstarted.tag, answer) })
	}
}

// sendWord sends an answer of one word.
func (cl *client) sendWord(tag, word string) {
	cl.send(func(b []byte) []byte { return resp.AppendFrame(b, tag, word) })
}

// close stops the writer and drops the answers that are not written.
func (cl *client) close() {
	cl.mu.Lock()
	cl.closed = true
	cl.front.pendingWork.Add(-int64(len(cl.output)))
	cl.output = nil
	close(cl.wake)
	cl.mu.Unlock()
	cl.conn.abort()
}
