package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/resp"
)

// soakKind is how a client behaves.
type soakKind int

const (
	busyKind           soakKind = iota // never idle, up to three open requests
	pausingKind                        // a request now and then on one connection
	connPerRequestKind                 // a connection for each request
	cancellingKind                     // cancels requests or closes the connection early
	slowWriterKind                     // writes requests in pieces
	soakKindCount
)

// soakClient is one client, with one connection at a time.
type soakClient struct {
	soak *soak
	n    int
	kind soakKind
	rng  *rand.Rand

	nc            *net.TCPConn
	tag           int
	mu            sync.Mutex
	open          map[string]*soakRequest // by tag
	connEnded     chan struct{}           // closed when the connection has ended
	connClosed    bool                    // the connection has ended
	answerArrived chan struct{}           // receives when an answer has arrived
	requestCount  int
}

func newSoakClient(s *soak, n int, rng *rand.Rand) *soakClient {
	return &soakClient{soak: s, n: n, kind: soakKind(n) % soakKindCount, rng: rng, answerArrived: make(chan struct{}, 1)}
}

// run sends requests until the process has ended.
func (c *soakClient) run() {
	for {
		select {
		case <-c.soak.done:
			c.closeConn()
			return
		default:
		}
		if c.nc == nil && !c.dial() {
			select {
			case <-c.soak.done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			continue
		}
		select {
		case <-c.connEnded:
			c.nc = nil
			continue
		default:
		}
		c.step()
	}
}

// dial connects to the process. From 0.3 s after SIGTERM on it does not, and returns false.
func (c *soakClient) dial() bool {
	if at := c.soak.sigtermAt.Load(); at > 0 && time.Since(time.UnixMicro(at)) > 300*time.Millisecond {
		return false
	}
	nc, err := net.DialTimeout("tcp", c.soak.listen, time.Second)
	if err != nil {
		return false
	}
	c.nc, c.tag, c.open, c.connEnded, c.connClosed = nc.(*net.TCPConn), 0, map[string]*soakRequest{}, make(chan struct{}), false
	go c.read(c.nc, c.open, c.connEnded)
	return true
}

// read reads answers until the connection ends.
func (c *soakClient) read(nc *net.TCPConn, open map[string]*soakRequest, ended chan struct{}) {
	defer close(ended)
	defer nc.Close()
	buf := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	for {
		parts, _, err := buf.Next(nc)
		now := c.soak.now()
		c.mu.Lock()
		if err != nil {
			c.connClosed = true
			for _, q := range open {
				q.closedAt = now
			}
			c.mu.Unlock()
			return
		}
		q := open[string(parts[0])]
		delete(open, string(parts[0]))
		c.mu.Unlock()
		if q == nil {
			c.soak.fail("client %d got an answer without an open request: %q", c.n, parts[:2])
			continue
		}
		q.answeredAt, q.status = now, string(parts[1])
		if q.status == "ok" && q.class == "asset" {
			if _, err := fleet.CheckContent(parts[3], q.object, 0); err != nil {
				c.soak.fail("client %d: %v", c.n, err)
			}
		}
		if q.status == "full" && q.object[15]%4 > 0 { // one in four clients does not wait for the backoff
			time.Sleep(5 * time.Millisecond)
		}
		select {
		case c.answerArrived <- struct{}{}:
		default:
		}
	}
}

// countOpen returns how many requests are open.
func (c *soakClient) countOpen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// step sends one request, or waits for an answer, as the client's kind does.
func (c *soakClient) step() {
	switch c.kind {
	case busyKind:
		if c.countOpen() < 3 {
			c.sendRequest(1)
			return
		}
		c.awaitAnswer(time.Second)
	case pausingKind:
		c.sendRequest(1)
		for c.countOpen() > 0 && c.awaitAnswer(time.Second) {
		}
		time.Sleep(time.Duration(c.rng.IntN(300)) * time.Millisecond)
	case connPerRequestKind:
		c.sendRequest(1)
		for c.countOpen() > 0 && c.awaitAnswer(time.Second) {
		}
		c.closeConn()
	case cancellingKind:
		q, tag := c.sendRequest(1)
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
		if c.rng.IntN(2) == 0 {
			c.closeConn()
		} else if q != nil {
			c.cancel(q, tag)
		}
	case slowWriterKind:
		c.sendRequest(2 + c.rng.IntN(4))
		for c.countOpen() > 0 && c.awaitAnswer(time.Second) {
		}
	}
}

// awaitAnswer waits for an answer, and returns whether the connection is still open.
func (c *soakClient) awaitAnswer(timeout time.Duration) bool {
	select {
	case <-c.answerArrived:
		return true
	case <-c.connEnded:
		return false
	case <-time.After(timeout):
		return true
	}
}

// sendRequest writes one request in the given number of pieces. It returns nil if the connection ended first.
func (c *soakClient) sendRequest(pieces int) (*soakRequest, string) {
	c.tag++
	c.requestCount++
	tag, id := strconv.Itoa(c.tag), fmt.Sprintf("%04x%012x", c.n, c.requestCount)
	q := &soakRequest{class: []string{"asset", "asset", "asset", "asset", "report", "claim"}[c.rng.IntN(6)], object: fmt.Sprintf("%016x", c.rng.IntN(200))}
	share := map[string]float64{"asset": 1, "report": 0.9, "claim": 0.8}[q.class] * (0.5 + c.rng.Float64()/2)
	q.budget = float64(int(float64(c.soak.plan.longestDeadline.Milliseconds()) * share))
	fields := fmt.Sprintf("rid=%s,budget=%.0f,obj=%s,nth=0,batch=%d", id, q.budget, q.object, fleet.Group(q.object))
	body := ""
	if q.class != "asset" {
		body = "x"
	}
	if q.class == "report" {
		fields += ",token=k" + id
	}
	frame := resp.AppendFrame(nil, "RPC.CALL", tag, q.class, fields, body)
	c.mu.Lock()
	c.open[tag] = q
	c.mu.Unlock()
	for i := range pieces {
		from, to := len(frame)*i/pieces, len(frame)*(i+1)/pieces
		if i == pieces-1 {
			q.sentAt = c.soak.now()
		}
		if _, err := c.nc.Write(frame[from:to]); err != nil {
			c.forget(tag)
			return nil, ""
		}
		if i < pieces-1 {
			select {
			case <-c.connEnded: // the proxy has not received the whole request
				c.forget(tag)
				return nil, ""
			case <-time.After(time.Duration(20+c.rng.IntN(400)) * time.Millisecond):
			}
		}
	}
	c.mu.Lock()
	if c.connClosed && q.answeredAt == 0 && q.closedAt == 0 { // the connection ended before the request was written
		q.closedAt = q.sentAt
	}
	c.mu.Unlock()
	c.soak.mu.Lock()
	c.soak.requests[id] = q
	c.soak.mu.Unlock()
	return q, tag
}

func (c *soakClient) forget(tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, tag)
}

// cancel cancels a request.
func (c *soakClient) cancel(q *soakRequest, tag string) {
	c.mu.Lock()
	_, open := c.open[tag]
	c.mu.Unlock()
	if !open {
		return
	}
	if _, err := c.nc.Write(resp.AppendFrame(nil, "RPC.CANCEL", tag)); err != nil {
		return
	}
	q.cancelledAt = c.soak.now() // an answer may still arrive
}

// closeConn closes the connection, which cancels its open requests.
func (c *soakClient) closeConn() {
	if c.nc == nil {
		return
	}
	c.mu.Lock()
	now := c.soak.now()
	for _, q := range c.open {
		q.cancelledAt = now
	}
	c.mu.Unlock()
	_ = c.nc.Close()
	<-c.connEnded
	c.nc = nil
}

// connectIdleClients opens the plan's connections of idle clients in quick succession, and sends nothing. end closes them.
func (s *soak) connectIdleClients() (end func()) {
	var conns []net.Conn
	for range s.plan.idleClients {
		nc, err := net.DialTimeout("tcp", s.listen, time.Second)
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				s.fail("an idle client could not connect: %v", err)
			}
			break
		}
		conns = append(conns, nc)
	}
	return func() {
		for _, nc := range conns {
			_ = nc.Close()
		}
	}
}

// checkHealth sends a health check. It returns whether the process accepted the connection, and an error unless it then answered
// yes.
func checkHealth(listen string) (up bool, err error) {
	nc, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return false, nil
	}
	defer nc.Close()
	if _, err = nc.Write(resp.AppendFrame(nil, "RPC.HEALTH", "1")); err != nil {
		return true, err
	}
	buf := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	parts, _, err := buf.Next(nc)
	if err == nil && string(parts[1]) != "yes" {
		err = fmt.Errorf("health check answered %s, not yes", parts[1])
	}
	return true, err
}
