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

// farOff is when the attempts' time is up: their frames are of one length, whenever they are written.
const farOff = 500_000

var leftTime = regexp.MustCompile(`ttl=\d*`)

// timeless is what was written with the digits of all times that are left made equal.
func timeless(b []byte) string {
	return leftTime.ReplaceAllStringFunc(string(b), func(s string) string { return "ttl=" + strings.Repeat("0", len(s)-len("ttl=")) })
}

// A socket takes any number of bytes at a time or none, while calls come, are given up and become too old. What arrives are
// whole frames, each call's once at the most and each abort's behind its call's; none whose call ended before its first byte
// was out, and all that are still open in the end; and who was told that its call never ran did not see it run.
func TestPush(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clock.Manual(0)
		var wire []byte
		room := 0
		p := New(clk, Limits{RequestsPerConn: 100, ConnsPerServer: 3, Write: func(_ int, b []byte) (int, error) {
			n := min(room, len(b), rapid.IntRange(1, 40).Draw(t, "taken"))
			if n == 0 {
				return -1, syscall.EAGAIN
			}
			room -= n
			wire = append(wire, b[:n]...)
			return n, nil
		}})
		k := newConn(&pool{all: p}, false)
		ended := make(chan string, 100)
		calls := map[string]*call{}
		begunAtEnd := map[string]bool{} // of those that ended: whether a byte was out
		order := []string{}
		frames := map[string]string{}
		begun := func(c *call) bool {
			f, out := frames[c.attempt.ID], timeless(wire)
			for n := 1; n < len(f); n++ {
				if strings.HasSuffix(out, f[:n]) {
					return true // in the middle of it, or of one that begins alike
				}
			}
			return strings.Contains(out, f)
		}
		written, wroteAt := map[string]bool{}, map[string]float64{}
		check := func() {
			for _, c := range calls {
				require.Equal(t, c.written && !c.over, c.written && k.open[c.attempt.ID] == c)
				id := c.attempt.ID
				if c.written && !written[id] {
					written[id], wroteAt[id] = true, clk.Now()
					require.True(t, begun(c), "%s is booked, and no byte of it is out", id)
					require.False(t, c.attempt.SendBy > 0 && clk.Now() > c.attempt.SendBy, "%s went out too late", id)
				}
				if !c.written {
					require.NotContains(t, timeless(wire), frames[id], "%s went out, and is not booked", id)
				}
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				id := fmt.Sprint("call", len(calls))
				c := &call{attempt: core.Attempt{ID: id, Class: "asset", Object: "o", Deadline: farOff}, end: func(e core.Outcome) { ended <- id }}
				if rapid.Bool().Draw(t, "ages") {
					c.attempt.SendBy = clk.Now() + 50
				}
				require.True(t, k.take(c))
				calls[id], frames[id] = c, timeless(appendFrame(nil, &c.attempt, clk.Now()))
				order = append(order, id)
			case 2:
				if len(order) == 0 {
					continue
				}
				c := calls[rapid.SampledFrom(order).Draw(t, "left")]
				if !c.over {
					require.Equal(t, c.written, k.giveUp(c, false))
					begunAtEnd[c.attempt.ID] = c.written
				}
			case 3:
				clk.Advance(rapid.Float64Range(0, 40).Draw(t, "ms"))
			case 4:
				room = rapid.IntRange(0, 300).Draw(t, "room")
				_, done, err := k.push(0)
				require.NoError(t, err)
				require.False(t, done)
			}
			check()
		}
		room = 1 << 20
		all, _, err := k.push(0)
		require.NoError(t, err)
		require.True(t, all)
		check()
		// What the server saw.
		buf, src := resp.Buffer{MaxFrameSize: 1 << 20}, strings.NewReader(string(wire))
		fetched, aborted := map[string]bool{}, map[string]bool{}
		for src.Len()+buf.Buffered() > 0 {
			parts, _, err := buf.Next(src)
			require.NoError(t, err, "frames stay whole")
			switch id := string(parts[1]); string(parts[0]) {
			case "fetch":
				require.False(t, fetched[id], "%s was sent twice", id)
				require.Contains(t, string(parts[2]), fmt.Sprintf(",ttl=%d", int(farOff-wroteAt[id])), "the time left as the first byte went out")
				fetched[id] = true
			case "abort":
				require.True(t, fetched[id], "an abort of what was never sent: %s", id)
				aborted[id] = true
			}
		}
		for id, c := range calls {
			switch wasBegun, left := begunAtEnd[id]; {
			case left:
				require.Equal(t, wasBegun, fetched[id], "%s was given up", id)
				require.Equal(t, wasBegun, aborted[id], id)
			case c.over: // too old
				require.False(t, fetched[id], "%s had become too old", id)
			default:
				require.True(t, fetched[id], "%s is open and was never sent", id)
			}
		}
	})
}

// A connection that is up takes nothing at all: what waits on it moves on once its decision is too old, and is not waited
// for until the request's own time is up. One that is not up yet may still turn out not to be reached.
func TestStaleWhileBlocked(t *testing.T) {
	for _, up := range []bool{true, false} {
		clk := clock.Manual(0)
		p := New(clk, Limits{RequestsPerConn: 100, ConnsPerServer: 3})
		m := core.Member{Addr: "127.0.0.1:1"}
		m.ID = 1
		p.UpdateMembers([]core.Member{m}, true)
		k := newConn(p.pool(1), false) // nobody writes on it
		if up {
			k.nc, _ = net.Pipe()
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
