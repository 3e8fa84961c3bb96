package scenario

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Client is a client of the RESP front.
type Client struct {
	conn  net.Conn
	inbox inbox
}

// Dial connects a client to a front.
func Dial(t *testing.T, addr string) *Client {
	c, err := TryDial(addr)
	require.NoError(t, err)
	return c
}

// TryDial is Dial for an address at which nothing may listen.
func TryDial(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn, newInbox()}
	go c.inbox.readFrames(conn)
	return c, nil
}

// Send writes the words as one frame, or their bytes; see encode.
func (c *Client) Send(words []string) error {
	_, err := c.conn.Write(encode(words))
	return err
}

// Receive implements Actor.
func (c *Client) Receive() ([]string, error) {
	m, err := c.inbox.next()
	return m.words, err
}

// TryReceive is like Receive, but does not wait: it returns no words if no message has arrived.
func (c *Client) TryReceive() ([]string, error) {
	select {
	case m := <-c.inbox:
		return m.words, nil
	default:
		return nil, nil
	}
}

// Close implements Actor.
func (c *Client) Close() error { return c.conn.Close() }
