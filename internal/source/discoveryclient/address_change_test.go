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

// history holds the frames of the services in these tests: event 5 is a purge, 6 a delta and 7 a purge.
func history() map[uint64][]byte {
	record := make([]byte, recordSize)
	copy(record, []byte{0, 0, 0, 9, 10, 1, 0, 9, 16, 4})
	return map[uint64][]byte{
		5: frame(5, kindPurgeGroup, group(17, 1000)...),
		6: frame(6, kindDelta, record...),
		7: frame(7, kindPurgeGroup, group(18, 1000)...),
	}
}

// countingConn counts the bytes that a client has read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// addressHarness is a client that has four events and follows the first of two services.
type addressHarness struct {
	t        *testing.T
	client   *Client
	services [2]net.Listener
	read     atomic.Int64 // bytes
	events   chan Event
}

func newAddressHarness(t *testing.T, onEvent func(m *addressHarness, n Event)) *addressHarness {
	m := &addressHarness{t: t, events: make(chan Event, 10)}
	for i := range m.services {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		m.services[i] = ln
	}
	m.client = &Client{
		Addr: m.services[0].Addr().String(), LastRevision: 4, Settings: discovery.DefaultSettings(1, 1000), Clock: clock.Manual(1e12), // no time passes
		OnEvent: func(n Event) { onEvent(m, n); m.events <- n },
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			nc, err := dialTCP(ctx, addr)
			return countingConn{nc, &m.read}, err
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go m.client.Run(ctx)
	return m
}

// accept returns a service's next connection, and the revision after which it requests events.
func (m *addressHarness) accept(service int) (nc net.Conn, from uint64) {
	nc, err := m.services[service].Accept()
	require.NoError(m.t, err)
	m.t.Cleanup(func() { nc.Close() })
	require.NoError(m.t, binary.Read(nc, binary.BigEndian, &from))
	return nc, from
}

// writeAfter writes all events after a revision.
func (m *addressHarness) writeAfter(nc net.Conn, from uint64) {
	for revision := from + 1; revision <= 7; revision++ {
		_, err := nc.Write(history()[revision])
		require.NoError(m.t, err)
	}
}

// expect checks that these events are delivered, each once and in order, and no others.
func (m *addressHarness) expect(revisions ...uint64) {
	for _, revision := range revisions {
		select {
		case n := <-m.events:
			require.Equal(m.t, revision, n.Revision)
		case <-time.After(time.Minute):
			require.Fail(m.t, "nothing came", "event %d", revision)
		}
	}
	require.Empty(m.t, m.events)
}

// The address changes when a client has read a part of a frame, each part in turn: that part is dropped, the client requests the
// events after the last complete one at the new address, and delivers each once. What the old service still writes is dropped.
func TestAddressChangeWithinFrame(t *testing.T) {
	frames := history()
	for cut := 1; cut < len(frames[6]); cut++ {
		m := newAddressHarness(t, func(*addressHarness, Event) {})
		old, from := m.accept(0)
		require.EqualValues(t, 4, from)
		_, err := old.Write(append(frames[5], frames[6][:cut]...))
		require.NoError(t, err)
		m.expect(5)
		require.Eventually(t, func() bool { return m.read.Load() == int64(len(frames[5])+cut) }, time.Minute, 100*time.Microsecond)
		m.client.SetAddr(m.services[1].Addr().String())
		_, err = old.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the client has left")
		_, _ = old.Write(frames[6][cut:])
		next, from := m.accept(1)
		require.EqualValues(t, 5, from, "%d bytes of event 6 were read", cut)
		m.writeAfter(next, from)
		m.expect(6, 7)
	}
}

// The address changes while an event is being delivered, or while the rest of a frame arrives: whichever service completed it,
// each event is delivered once.
func TestAddressChangeAsFrameEnds(t *testing.T) {
	frames := history()
	moves := func(m *addressHarness, n Event) {
		if n.Revision == 5 {
			m.client.SetAddr(m.services[1].Addr().String())
		}
	}
	m := newAddressHarness(t, moves)
	old, from := m.accept(0)
	_, err := old.Write(append(frames[5], frames[6][:20]...))
	require.NoError(t, err)
	next, from2 := m.accept(1)
	require.Equal(t, []uint64{4, 5}, []uint64{from, from2})
	m.writeAfter(next, from2)
	m.expect(5, 6, 7)

	for range 20 {
		m := newAddressHarness(t, func(*addressHarness, Event) {})
		old, _ := m.accept(0)
		_, err := old.Write(append(frames[5], frames[6][:20]...))
		require.NoError(t, err)
		m.expect(5)
		go func() { _, _ = old.Write(frames[6][20:]) }()
		m.client.SetAddr(m.services[1].Addr().String())
		next, from := m.accept(1)
		require.Contains(t, []uint64{5, 6}, from)
		m.writeAfter(next, from)
		m.expect(6, 7)
	}
}
