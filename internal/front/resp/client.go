package resp

import (
	"bytes"
	"context"
	"errors"
	"net"
	"runtime"
	"sync"

	"ravenwheel/internal/core"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/memory"
	"ravenwheel/internal/resp"
)

// client is a connection that has sent its first frame. Each of its requests runs in a goroutine of its own.
//
// A tag is the number that a client gives a request, and which the answer repeats. The client may use it again once the request is
// answered. (The tag of a cached copy, core.Request.CachedTag, is unrelated.)
type client struct {
	front *Front
	conn  *conn

	// Guarded by the connection's framesMu.
	unstarted      []unstartedRequest
	unstartedSince float64 // when the first of unstarted was read, in ms of the clock

	mu           sync.Mutex
	output       []output                      // answers to write
	outputBytes  int                           // their size
	unreserved   int                           // bytes of output for which no memory is reserved
	writing      bool                          // a goroutine writes answers
	cancels      map[string]context.CancelFunc // of open requests, by tag
	heldBytes    int64                         // reserved for open requests and for answers to write
	writingSince float64                       // when the write in progress began, in ms of the clock; 0: none is in progress
	closed       bool
}

// errBadTag is the error of a command whose tag is not a number above 0, or is the tag of an open request: the answers of both
// requests could not be told apart.
var errBadTag = errors.New("tag is malformed or in use")

// handleCommand carries out one command. An error ends the connection.
func (cl *client) handleCommand(ctx context.Context, frame resp.Frame) error {
	args := frame.Parts
	if len(args) < 2 || !isTag(args[1]) || frame.Skipped && len(args[1]) > maxTagDigits {
		return errBadTag
	}
	tag := string(args[1])
	switch string(args[0]) {
	case commandCall:
		if frame.Skipped {
			return cl.refuseSkipped(tag)
		}
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

// refuse refuses a request of which nothing was passed on.
func (cl *client) refuse(tag string, reason RefusalReason) {
	cl.front.refusals.Add(reason)
	cl.sendAnswer(tag, cl.front.handler.Reject())
}

// refuseSkipped refuses a request that was not stored. An error ends the connection.
func (cl *client) refuseSkipped(tag string) error {
	cl.mu.Lock()
	inUse := cl.cancels[tag] != nil
	cl.mu.Unlock()
	if inUse {
		return errBadTag
	}
	cl.refuse(tag, RefusedInputMemory)
	return nil
}

// openRequest opens a request, which conn.startRead starts. A request that is invalid, comes too late,
// exceeds the number of open requests or finds no memory is answered at once. An error ends the connection.
func (cl *client) openRequest(ctx context.Context, tag string, args [][]byte) error {
	now, plan := cl.front.clock.Now(), cl.front.plan.Load()
	request, valid := parseRequest(args, now-cl.conn.queuedMs, cl.front.handler)
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
		cl.refuse(tag, RefusedDrain)
		return nil
	}
	held, reason, ok := cl.reserveRequest(len(request.Body))
	if !ok {
		cl.releaseTag(tag)
		cancel()
		cl.refuse(tag, reason)
		return nil
	}
	cl.front.pendingWork.Add(1)
	request.Body = bytes.Clone(request.Body)
	request.ClientGone = cl.conn.peerClosed
	if len(cl.unstarted) == 0 {
		cl.unstartedSince = now
	}
	cl.unstarted = append(cl.unstarted, unstartedRequest{ctx, cancel, tag, request, held})
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
	if cl.cancels == nil {
		cl.cancels = map[string]context.CancelFunc{}
	}
	cl.cancels[tag] = cancel
	return true, nil
}

func (cl *client) releaseTag(tag string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.removeTag(tag)
}

// removeTag ends the reservation of a tag. Called with the client's lock held.
func (cl *client) removeTag(tag string) {
	invariant.Check(cl.cancels[tag] != nil, "a tag is released only while its request is open")
	if delete(cl.cancels, tag); len(cl.cancels) == 0 {
		cl.cancels = nil
	}
}

// reserveRequest reserves the memory of an open request with a body of the given size. While memory is scarce, a connection may
// hold no more than an equal share of it.
func (cl *client) reserveRequest(bodyBytes int) (held *memory.Reservation, reason RefusalReason, ok bool) {
	account, need := cl.front.memory, core.RequestBytes+int64(bodyBytes)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.heldBytes > 0 && (account.IsScarce(memory.Requests) || account.IsScarce(memory.Answers)) {
		if cl.heldBytes+need > cl.front.equalShare() {
			return nil, RefusedShare, false
		}
	}
	if held, ok = account.Reserve(memory.Requests, need); !ok {
		return nil, RefusedRequestMemory, false
	}
	cl.hold(need)
	return held, 0, true
}

// hold adds to what the connection holds. Called with the client's lock held.
func (cl *client) hold(bytes int64) {
	before := cl.heldBytes
	cl.heldBytes += bytes
	switch {
	case before == 0 && cl.heldBytes > 0:
		cl.front.holders.Add(1)
	case before > 0 && cl.heldBytes == 0:
		cl.front.holders.Add(-1)
	}
}

// startRequests starts the requests that were read. After a few of them other connections take their turn.
func (cl *client) startRequests() {
	for i, unstarted := range cl.unstarted {
		if i > 0 && i%startTurn == 0 {
			runtime.Gosched()
		}
		go cl.handleRequest(unstarted)
	}
	cl.clearUnstarted()
}

// refuseDelayed refuses the unstarted requests of a client that has sent without a pause for maxStartDelay. It may have left by
// now, and only its unread input would tell.
func (cl *client) refuseDelayed() {
	if len(cl.unstarted) == 0 || cl.front.clock.Now()-cl.unstartedSince < maxStartDelay {
		return
	}
	for _, unstarted := range cl.unstarted {
		unstarted.cancel()
		cl.releaseTag(unstarted.tag)
		cl.releaseRequest(unstarted)
		cl.refuse(unstarted.tag, RefusedDelayed)
	}
	cl.clearUnstarted()
}

func (cl *client) clearUnstarted() { cl.unstarted = nil }

// releaseRequest ends the reservation of a request that is no longer open.
func (cl *client) releaseRequest(unstarted unstartedRequest) {
	unstarted.memory.Release()
	cl.mu.Lock()
	cl.hold(-core.RequestBytes - int64(len(unstarted.request.Body)))
	cl.mu.Unlock()
	cl.front.pendingWork.Add(-1)
}

// handleRequest answers one request.
func (cl *client) handleRequest(unstarted unstartedRequest) {
	defer cl.releaseRequest(unstarted)
	defer unstarted.cancel()
	answer := cl.front.handler.Do(unstarted.ctx, unstarted.request)
	if answer.Verdict == core.Abandoned {
		answer.Memory.Release()
		cl.releaseTag(unstarted.tag)
		return
	}
	cl.finishRequest(unstarted.tag, answer)
}

// countPending returns the number of open requests and of answers that are not written.
func (cl *client) countPending() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.cancels) + len(cl.output)
}

// closeIfIdle marks a client as closed if it has no open request and no answer to write.
func (cl *client) closeIfIdle() (closed bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.cancels) > 0 || len(cl.output) > 0 {
		return false
	}
	cl.closed = true
	return true
}

// close drops the answers that are not written, and makes the writer stop.
func (cl *client) close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.closed = true
	for i := range cl.output {
		cl.dropOutput(&cl.output[i])
	}
	cl.output = nil
}
