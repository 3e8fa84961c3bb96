package upstream

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/resp"
	"ravenwheel/policy"
)

// farDeadline, in ms, is so late that the time left has the same number of digits, and a frame the same length, at any time of the
// test.
const farDeadline = 500_000

var timeLeftField = regexp.MustCompile(`ttl=\d*`)

// withoutTimeLeft returns b with the digits of each time left replaced by zeros.
func withoutTimeLeft(b []byte) string {
	return timeLeftField.ReplaceAllStringFunc(string(b), func(s string) string { return "ttl=" + strings.Repeat("0", len(s)-len("ttl=")) })
}

// A socket accepts any number of bytes, or none, while calls are added, are aborted and pass their SendBy. The server gets complete
// frames: each call at most once, each abort after its call, and neither for a call that ended before its first byte. In the end it
// has got all open calls. No call that is reported as not written has been written.
func TestWriterWithPartialWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clock.Manual(0)
		var wire []byte
		capacity := 0
		p := New(clk, Limits{AttemptsPerConn: 100, ConnsPerServer: 3, Write: func(_ int, b []byte) (int, error) {
			n := min(capacity, len(b), rapid.IntRange(1, 40).Draw(t, "accepted bytes"))
			if n == 0 {
				return -1, syscall.EAGAIN
			}
			capacity -= n
			wire = append(wire, b[:n]...)
			return n, nil
		}})
		k := newConn(&pool{pools: p}, false)
		ended := make(chan string, 100)
		calls := map[string]*call{}
		begunWhenAborted := map[string]bool{} // by id of aborted calls: whether a byte was written
		order := []string{}
		frames := map[string]string{}
		begun := func(c *call) bool {
			frame, out := frames[c.attempt.ID], withoutTimeLeft(wire)
			for n := 1; n < len(frame); n++ {
				if strings.HasSuffix(out, frame[:n]) {
					return true // the last bytes are the beginning of this frame or of one with the same beginning
				}
			}
			return strings.Contains(out, frame)
		}
		written, wroteAt := map[string]bool{}, map[string]float64{}
		check := func() {
			for _, c := range calls {
				require.Equal(t, c.written && !c.done, c.written && k.calls[c.attempt.ID] == c)
				id := c.attempt.ID
				if c.written && !written[id] {
					written[id], wroteAt[id] = true, clk.Now()
					require.True(t, begun(c), "%s is marked as written, but no byte was written", id)
					require.False(t, c.attempt.SendBy > 0 && clk.Now() > c.attempt.SendBy, "%s was written after its SendBy", id)
				}
				if !c.written {
					require.NotContains(t, withoutTimeLeft(wire), frames[id], "%s was written, but is not marked as written", id)
				}
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				id := fmt.Sprint("call", len(calls))
				c := &call{attempt: core.Attempt{ID: id, Class: "asset", Object: "o", Deadline: farDeadline}, onEnd: func(e core.Outcome) { ended <- id }}
				if rapid.Bool().Draw(t, "has SendBy") {
					c.attempt.SendBy = clk.Now() + 50
				}
				require.True(t, k.add(c))
				calls[id], frames[id] = c, withoutTimeLeft(appendFrame(nil, &c.attempt, clk.Now()))
				order = append(order, id)
			case 2:
				if len(order) == 0 {
					continue
				}
				c := calls[rapid.SampledFrom(order).Draw(t, "aborted call")]
				if !c.done {
					require.Equal(t, c.written, k.abandon(c, false))
					begunWhenAborted[c.attempt.ID] = c.written
				}
			case 3:
				clk.Advance(rapid.Float64Range(0, 40).Draw(t, "ms"))
			case 4:
				capacity = rapid.IntRange(0, 300).Draw(t, "capacity")
				_, done, err := k.writePending(0)
				require.NoError(t, err)
				require.False(t, done)
			}
			check()
		}
		capacity = 1 << 20
		all, _, err := k.writePending(0)
		require.NoError(t, err)
		require.True(t, all)
		check()
		// Check the frames that the server got.
		buf, src := resp.Buffer{MaxFrameSize: 1 << 20}, strings.NewReader(string(wire))
		fetched, aborted := map[string]bool{}, map[string]bool{}
		for src.Len()+buf.Buffered() > 0 {
			parts, _, err := buf.Next(src)
			require.NoError(t, err, "frames are complete")
			switch id := string(parts[1]); string(parts[0]) {
			case "fetch":
				require.False(t, fetched[id], "%s was written twice", id)
				require.Contains(t, string(parts[2]), fmt.Sprintf(",ttl=%d", int(farDeadline-wroteAt[id])), "the frame has the time left at its first byte")
				fetched[id] = true
			case "abort":
				require.True(t, fetched[id], "an abort of an attempt that was not written: %s", id)
				aborted[id] = true
			}
		}
		for id, c := range calls {
			switch wasBegun, wasAborted := begunWhenAborted[id]; {
			case wasAborted:
				require.Equal(t, wasBegun, fetched[id], "%s was aborted", id)
				require.Equal(t, wasBegun, aborted[id], id)
			case c.done: // its SendBy passed
				require.False(t, fetched[id], "%s was written although its SendBy had passed", id)
			default:
				require.True(t, fetched[id], "%s is open and was not written", id)
			}
		}
	})
}

// On an established connection that accepts no bytes, a call is skipped when its SendBy passes and not only at its deadline. On a
// connection that is still being dialled the call waits, since dialling may show that the server is unreachable.
func TestOutdatedCallIsSkippedOnBlockedConnection(t *testing.T) {
	for _, up := range []bool{true, false} {
		clk := clock.Manual(0)
		p := New(clk, Limits{AttemptsPerConn: 100, ConnsPerServer: 3})
		m := core.Member{Addr: "127.0.0.1:1"}
		m.ID = 1
		p.UpdateMembers([]core.Member{m}, true)
		k := newConn(p.pool(1), false) // it has no writer
		if up {
			k.socket, _ = net.Pipe()
		}
		p.pool(1).conns = []*conn{k}
		ends := make(chan core.Outcome, 1)
		p.Send(core.Attempt{ID: "r1", Server: 1, Deadline: 5000, SendBy: 500}, func(e core.Outcome) { ends <- e })
		clk.Advance(499)
		require.Empty(t, ends)
		clk.Advance(1)
		require.Equal(t, up, len(ends) == 1)
		clk.Advance(4500)
		require.Equal(t, core.Outcome{Result: policy.Skipped}, <-ends)
	}
}
