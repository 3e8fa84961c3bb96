package resp

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
)

// late is a connection on which a frame comes between the decision to close it and the close.
type late struct {
	net.Conn
	frame *strings.Reader
}

func (l late) Read(p []byte) (int, error) { return l.frame.Read(p) }
func (late) Close() error                 { return nil }

// counts is a core that is told of connections alone.
type counts struct {
	Doer
	unanswered int
}

func (c *counts) Unanswered() { c.unanswered++ }

// A request that crosses the close of its connection is not lived: its answer would be lost.
func TestLeave(t *testing.T) {
	clk := clock.Manual(0)
	n := &counts{}
	f := &Front{clock: clk, core: n, conns: map[*guard]struct{}{}}
	f.most.Store(1)
	g, ok := f.admit(late{frame: strings.NewReader("*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n")})
	require.True(t, ok)
	_, ok = f.admit(late{})
	require.True(t, ok, "the first makes room")
	_, err := g.Read(make([]byte, 99))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Equal(t, 1, n.unanswered)
}
