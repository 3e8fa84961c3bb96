package board

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// trickle writes a frame a part at a time, with a pause behind each.
func trickle(t *testing.T, nc net.Conn, frame []byte, parts int, pause time.Duration) {
	for size := (len(frame) + parts - 1) / parts; len(frame) > 0; {
		n := min(size, len(frame))
		_, err := nc.Write(frame[:n])
		require.NoError(t, err)
		frame = frame[n:]
		time.Sleep(pause)
	}
}

// A board is slow, not silent: the list of 3,200 servers comes some bytes at a time and takes several times as long as silence
// may last. It arrives, over the connection on which it was begun.
func TestSlowList(t *testing.T) {
	const servers, silence, parts = 3200, time.Second, 40
	accept, got := follow(t, silence)
	nc := accept(4)
	payload := make([]byte, 0, servers*recordLen)
	for id := range servers {
		record := make([]byte, recordLen)
		copy(record, []byte{0, 0, byte(id >> 8), byte(id), 10, 1, 0, 9, 16, 4})
		payload = append(payload, record...)
	}
	trickle(t, nc, frame(5, kindWhole, payload...), parts, 4*silence/parts)
	select {
	case n := <-got:
		require.EqualValues(t, 5, n.Rev)
		require.Len(t, n.Members, servers)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the list never came")
	}
	trickle(t, nc, frame(6, kindGroup, group(17, 1000)...), 1, 0) // still the same connection
	require.EqualValues(t, 6, (<-got).Rev)
}

// A board is crowded: it tells nothing on a new connection until longer than silence may last. It is waited for longer once a
// connection has told nothing, and heard.
func TestCrowdedBoard(t *testing.T) {
	const silence = 200 * time.Millisecond
	accept, got := follow(t, silence)
	go func() {
		for range 2 {
			nc := accept(4)
			time.AfterFunc(silence*3/2, func() { _, _ = nc.Write(frame(5, kindGroup, group(17, 1000)...)) }) // it may have been given up
		}
	}()
	select {
	case n := <-got:
		require.EqualValues(t, 5, n.Rev)
	case <-time.After(10 * silence):
		require.Fail(t, "never heard, in two calls")
	}
}
