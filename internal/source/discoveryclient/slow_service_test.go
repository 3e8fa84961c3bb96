package discoveryclient

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeSlowly writes a frame in parts, and advances the clock by pause ms after each.
func (h *harness) writeSlowly(nc net.Conn, frame []byte, parts int, pause float64) {
	for size := (len(frame) + parts - 1) / parts; len(frame) > 0; {
		n := min(size, len(frame))
		h.write(nc, frame[:n])
		frame = frame[n:]
		time.Sleep(2 * time.Millisecond) // the client reads the part in this time
		h.clk.Advance(pause)
	}
}

// The service is slow, not silent: the list of 3,200 servers arrives in small parts and takes several times the silence timeout.
// It is received on the call on which it began, even if other calls are opened in the meantime.
func TestSlowSnapshotIsReceivedOnItsCall(t *testing.T) {
	const servers, parts, pause = 3200, 40, 200
	h := newHarness(t)
	nc := h.accept(4)
	payload := make([]byte, 0, servers*recordSize)
	for id := range servers {
		record := make([]byte, recordSize)
		copy(record, []byte{0, 0, byte(id >> 8), byte(id), 10, 1, 0, 9, 16, 4})
		payload = append(payload, record...)
	}
	h.writeSlowly(nc, encodeFrame(5, kindSnapshot, payload...), parts, pause)
	select {
	case n := <-h.events:
		require.EqualValues(t, 5, n.Revision)
		require.Len(t, n.Members, servers)
	case <-time.After(time.Minute):
		require.Fail(t, "the list was not delivered within a minute")
	}
	h.write(nc, encodeFrame(6, kindPurgeGroup, groupPurge(17, 1000)...)) // still the same connection
	require.EqualValues(t, 6, (<-h.events).Revision)
}

// A frame arrives at one byte per second, on a call that has received a frame before: another call is opened, and receives the
// event.
func TestStalledFrameIsReceivedByAnotherCall(t *testing.T) {
	h := newHarness(t)
	first := h.accept(4)
	h.write(first, encodeFrame(4, kindHeartbeat))
	h.advanceUntil(func(s Status) bool { return s.Frames == 1 })
	purge := encodeFrame(5, kindPurgeGroup, groupPurge(17, 1000)...)
	for second := 0; h.client.Status().Calls == 1; second++ {
		require.Less(t, second, 4, "seconds without a complete frame")
		h.write(first, purge[second:second+1])
		h.advanceUntil(func(s Status) bool { return s.Calls > 1 || s.SinceLastFrameMs >= float64(second+1)*1000 })
	}
	h.write(h.accept(4), purge)
	require.EqualValues(t, 5, (<-h.events).Revision)
	h.expectClosed(first)
}

// An overloaded service sends nothing on a new call for longer than the silence timeout. The call on which it answers first is
// kept, and the other one is closed.
func TestFirstCallToRespondIsKept(t *testing.T) {
	h := newHarness(t)
	first := h.accept(4)
	h.waitForCall()
	second := h.accept(4)
	h.write(first, encodeFrame(5, kindPurgeGroup, groupPurge(17, 1000)...))
	require.EqualValues(t, 5, (<-h.events).Revision)
	h.expectClosed(second)
}
