package load

import (
	"net"
	"strconv"
	"strings"
	"sync"

	"ravenwheel/internal/resp"
)

// maxOpenPerConn is the number of requests that the protocol allows to be open on one connection.
const maxOpenPerConn = 32

// conn is one connection to the proxy, with the requests that are open on it.
type conn struct {
	client *Client
	nc     net.Conn

	mu    sync.Mutex
	open  map[string]*request // by tag
	ended bool
}

// dial opens a connection and puts it at an index of c.conns.
func (c *Client) dial(index int) (*conn, error) {
	nc, err := net.Dial("tcp", c.options.Addr)
	if err != nil {
		return nil, err
	}
	connection := &conn{client: c, nc: nc, open: map[string]*request{}}
	c.mu.Lock()
	c.conns[index] = connection
	c.mu.Unlock()
	go connection.read()
	return connection, nil
}

// remove drops a connection that has ended.
func (c *Client) remove(connection *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.conns {
		if other == connection {
			c.conns[i] = nil
		}
	}
}

// full reports whether no further request can be sent on the connection.
func (k *conn) full() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended || len(k.open) >= maxOpenPerConn
}

// send writes a request. If the connection ended before the request was written, send sends the request on another connection; the
// protocol allows this for a request that was sent while the proxy closed an idle connection. The first try is then not counted as
// an attempt.
func (k *conn) send(tag string, q *request, words []string) {
	if !k.write(tag, q, words) {
		q.attempts--
		k.client.remove(k)
		k.client.sendAttempt(q)
	}
}

// write registers and writes a request, and returns false if the connection has ended. It ignores an error of the write, since read
// then finds that the connection has ended.
func (k *conn) write(tag string, q *request, words []string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return false
	}
	k.open[tag] = q
	_, _ = k.nc.Write(resp.AppendFrame(nil, words...))
	return true
}

// read handles the proxy's answers until the connection ends. The requests that are then open are lost.
func (k *conn) read() {
	buf := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	for {
		parts, _, err := buf.Next(k.nc)
		if err != nil {
			break
		}
		k.handleAnswer(parts)
	}
	k.nc.Close()
	k.mu.Lock()
	k.ended = true
	open := k.open
	k.open = map[string]*request{}
	k.mu.Unlock()
	for _, q := range open {
		k.client.endAttempt(q, outcome{status: statusLost, cause: "connection ended before the answer"})
	}
}

// handleAnswer ends the attempt to which an answer belongs. The parts of an answer are tag, word, fields and body, of which the
// last two may be absent.
func (k *conn) handleAnswer(parts [][]byte) {
	tag := string(parts[0])
	k.mu.Lock()
	q := k.open[tag]
	delete(k.open, tag)
	k.mu.Unlock()
	if q == nil || len(parts) < 2 {
		k.client.mu.Lock()
		k.client.addViolation("answer with tag %s belongs to no open request", tag)
		k.client.mu.Unlock()
		return
	}
	result := outcome{status: string(parts[1])}
	if len(parts) > 2 {
		if fields, ok := resp.ParseFields(parts[2]); ok {
			result.backoff, _ = strconv.ParseFloat(fields["backoff"], 64)
		}
	}
	if len(parts) > 3 {
		result.body = []byte(strings.Clone(string(parts[3])))
	}
	k.client.endAttempt(q, result)
}
