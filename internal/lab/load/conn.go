package load

import (
	"net"
	"strconv"
	"strings"
	"sync"

	"ravenwheel/internal/resp"
)

// maxOpenPerConn is how many requests the protocol allows to be open on one connection.
const maxOpenPerConn = 32

// conn is one connection to the proxy, with the requests that are open on it.
type conn struct {
	client *Client
	nc     net.Conn

	mu    sync.Mutex
	open  map[string]*request // by tag
	ended bool
}

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

func (k *conn) full() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended || len(k.open) >= maxOpenPerConn
}

// send writes a request. Where the proxy closed the connection while nothing was open on it, the request goes out again on
// another one, as the protocol allows for a request that crosses such a close.
func (k *conn) send(tag string, q *request, words []string) {
	if !k.write(tag, q, words) {
		q.attempts--
		k.client.remove(k)
		k.client.sendAttempt(q)
	}
}

// write is false if the connection has ended. An error of the write is left to the reader, which sees the end, too.
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
		k.client.endAttempt(q, outcome{word: wordLost, cause: "its connection ended"})
	}
}

// handleAnswer ends the attempt that an answer belongs to: tag, word, fields and body, of which the last two may be absent.
func (k *conn) handleAnswer(parts [][]byte) {
	tag := string(parts[0])
	k.mu.Lock()
	q := k.open[tag]
	delete(k.open, tag)
	k.mu.Unlock()
	if q == nil || len(parts) < 2 {
		k.client.mu.Lock()
		k.client.addViolation("an answer to no open request: tag %s", tag)
		k.client.mu.Unlock()
		return
	}
	result := outcome{word: string(parts[1])}
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
