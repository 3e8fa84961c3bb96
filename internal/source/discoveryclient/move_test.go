package discoveryclient

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/discovery"
)

// history is what the boards of these tests tell: event 5 is a purge, 6 a list and 7 a purge.
func history() map[uint64][]byte {
	record := make([]byte, recordLen)
	copy(record, []byte{0, 0, 0, 9, 10, 1, 0, 9, 16, 4})
	return map[uint64][]byte{
		5: frame(5, kindGroup, group(17, 1000)...),
		6: frame(6, kindChanges, record...),
		7: frame(7, kindGroup, group(18, 1000)...),
	}
}

// counted counts the bytes that a client has read of its connections.
type counted struct {
	net.Conn
	read *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// mover is a client that knows four events, at the first of two boards.
type mover struct {
	t      *testing.T
	client *Client
	boards [2]net.Listener
	read   atomic.Int64 // bytes
	got    chan Event
}

func newMover(t *testing.T, notice func(m *mover, n Event)) *mover {
	m := &mover{t: t, got: make(chan Event, 10)}
	for i := range m.boards {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		m.boards[i] = ln
	}
	m.client = &Client{
		Addr: m.boards[0].Addr().String(), LastRevision: 4, Settings: discovery.DefaultSettings(1, 1000), Clock: clock.Manual(1e12), // no time passes
		OnEvent: func(n Event) { notice(m, n); m.got <- n },
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			nc, err := dialTCP(ctx, addr)
			return counted{nc, &m.read}, err
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go m.client.Run(ctx)
	return m
}

// accept is a board's next connection, and the number that is asked from.
func (m *mover) accept(board int) (nc net.Conn, from uint64) {
	nc, err := m.boards[board].Accept()
	require.NoError(m.t, err)
	m.t.Cleanup(func() { nc.Close() })
	require.NoError(m.t, binary.Read(nc, binary.BigEndian, &from))
	return nc, from
}

// tellAfter writes all events after a number.
func (m *mover) tellAfter(nc net.Conn, from uint64) {
	for rev := from + 1; rev <= 7; rev++ {
		_, err := nc.Write(history()[rev])
		require.NoError(m.t, err)
	}
}

// expect is that these events are handed on, each once and in order, and no others.
func (m *mover) expect(revs ...uint64) {
	for _, rev := range revs {
		select {
		case n := <-m.got:
			require.Equal(m.t, rev, n.Revision)
		case <-time.After(time.Minute):
			require.Fail(m.t, "nothing came", "event %d", rev)
		}
	}
	require.Empty(m.t, m.got)
}

// The board moves when a client has read a part of a frame, each part in turn: that part is dropped, the new board is asked
// from the last whole event, and all that follows is handed on once. What the old board still writes goes nowhere.
func TestMoveWithinAFrame(t *testing.T) {
	whole := history()
	for cut := 1; cut < len(whole[6]); cut++ {
		m := newMover(t, func(*mover, Event) {})
		old, from := m.accept(0)
		require.EqualValues(t, 4, from)
		_, err := old.Write(append(whole[5], whole[6][:cut]...))
		require.NoError(t, err)
		m.expect(5)
		require.Eventually(t, func() bool { return m.read.Load() == int64(len(whole[5])+cut) }, time.Minute, 100*time.Microsecond)
		m.client.SetAddr(m.boards[1].Addr().String())
		_, err = old.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the client has left")
		_, _ = old.Write(whole[6][cut:])
		next, from := m.accept(1)
		require.EqualValues(t, 5, from, "%d bytes of event 6 were read", cut)
		m.tellAfter(next, from)
		m.expect(6, 7)
	}
}

// The board moves while an event is being handed on, or while the rest of a frame comes: whichever board it was whole from,
// each event is handed on once.
func TestMoveAsAFrameEnds(t *testing.T) {
	whole := history()
	moves := func(m *mover, n Event) {
		if n.Revision == 5 {
			m.client.SetAddr(m.boards[1].Addr().String())
		}
	}
	m := newMover(t, moves)
	old, from := m.accept(0)
	_, err := old.Write(append(whole[5], whole[6][:20]...))
	require.NoError(t, err)
	next, from2 := m.accept(1)
	require.Equal(t, []uint64{4, 5}, []uint64{from, from2})
	m.tellAfter(next, from2)
	m.expect(5, 6, 7)

	for range 20 {
		m := newMover(t, func(*mover, Event) {})
		old, _ := m.accept(0)
		_, err := old.Write(append(whole[5], whole[6][:20]...))
		require.NoError(t, err)
		m.expect(5)
		go func() { _, _ = old.Write(whole[6][20:]) }()
		m.client.SetAddr(m.boards[1].Addr().String())
		next, from := m.accept(1)
		require.Contains(t, []uint64{5, 6}, from)
		m.tellAfter(next, from)
		m.expect(6, 7)
	}
}
