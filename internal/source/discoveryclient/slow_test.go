package discoveryclient

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// trickle writes a frame a part at a time, with so many ms of the clock behind each.
func (f *followed) trickle(nc net.Conn, frame []byte, parts int, pause float64) {
	for size := (len(frame) + parts - 1) / parts; len(frame) > 0; {
		n := min(size, len(frame))
		f.write(nc, frame[:n])
		frame = frame[n:]
		time.Sleep(2 * time.Millisecond) // it is read meanwhile
		f.clk.Advance(pause)
	}
}

// A board is slow, not silent: the list of 3,200 servers comes some bytes at a time and takes several times as long as silence
// may last. It arrives, over the connection on which it was begun, whatever calls are made beside it.
func TestSlowList(t *testing.T) {
	const servers, parts, pause = 3200, 40, 200
	f := follow(t)
	nc := f.accept(4)
	payload := make([]byte, 0, servers*recordLen)
	for id := range servers {
		record := make([]byte, recordLen)
		copy(record, []byte{0, 0, byte(id >> 8), byte(id), 10, 1, 0, 9, 16, 4})
		payload = append(payload, record...)
	}
	f.trickle(nc, frame(5, kindWhole, payload...), parts, pause)
	select {
	case n := <-f.got:
		require.EqualValues(t, 5, n.Revision)
		require.Len(t, n.Members, servers)
	case <-time.After(time.Minute):
		require.Fail(t, "the list never came")
	}
	f.write(nc, frame(6, kindGroup, group(17, 1000)...)) // still the same connection
	require.EqualValues(t, 6, (<-f.got).Revision)
}

// A frame trickles over a call that has spoken, a byte a second: it is not waited for, another call is made and tells what there is.
func TestTrickledFrame(t *testing.T) {
	f := follow(t)
	first := f.accept(4)
	f.write(first, frame(4, kindNothing))
	f.pass(func(s Status) bool { return s.Frames == 1 })
	purge := frame(5, kindGroup, group(17, 1000)...)
	for second := 0; f.client.Status().Calls == 1; second++ {
		require.Less(t, second, 4, "s without a whole frame")
		f.write(first, purge[second:second+1])
		f.pass(func(s Status) bool { return s.Calls > 1 || s.SinceLastFrameMs >= float64(second+1)*1000 })
	}
	f.write(f.accept(4), purge)
	require.EqualValues(t, 5, (<-f.got).Revision)
	f.left(first)
}

// A board is crowded: it says nothing to a new caller for longer than silence may last. It is heard over the call that it answers
// first, and the one beside it is closed.
func TestCrowdedBoard(t *testing.T) {
	f := follow(t)
	first := f.accept(4)
	f.called()
	second := f.accept(4)
	f.write(first, frame(5, kindGroup, group(17, 1000)...))
	require.EqualValues(t, 5, (<-f.got).Revision)
	f.left(second)
}
