package load

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/resp"
)

// Phase is a stretch of a load's course: from one rate to another, evenly.
type Phase struct {
	Seconds  float64
	From, To float64 // requests a second
}

// Bounds of a course: whatever is given, a load ends by itself and stays within what one machine can ask.
const (
	mostSeconds = 3600
	mostPerS    = 100_000
	mostBad     = 5000
)

// ParsePhases reads "10:50-200,5:400": ten seconds from 50 a second to 200, then five at 400.
func ParsePhases(text string) (out []Phase, err error) {
	total := 0.0
	for _, part := range strings.Split(text, ",") {
		s, rates, ok := strings.Cut(part, ":")
		from, to, ramp := strings.Cut(rates, "-")
		if !ramp {
			to = from
		}
		var p Phase
		for _, f := range []struct {
			text string
			into *float64
			most float64
		}{{s, &p.Seconds, mostSeconds}, {from, &p.From, mostPerS}, {to, &p.To, mostPerS}} {
			if *f.into, err = strconv.ParseFloat(strings.TrimSpace(f.text), 64); err != nil || !(*f.into >= 0 && *f.into <= f.most) {
				return nil, fmt.Errorf("%q is not of the form SECONDS:RATE or SECONDS:RATE-RATE", part)
			}
		}
		if total += p.Seconds; !ok || total > mostSeconds {
			return nil, fmt.Errorf("%q: a load takes %d s at the most", text, mostSeconds)
		}
		out = append(out, p)
	}
	return out, nil
}

// Schedule are the times, in ms from the start, at which the requests of a course are to be sent: the nth comes when the
// area under the rate has reached n.
func Schedule(phases []Phase, each func(ms float64) bool) {
	at, owed := 0.0, 0.0
	for _, p := range phases {
		const step = 1.0 // ms
		for t := 0.0; t < p.Seconds*1000; t += step {
			rate := (p.From + (p.To-p.From)*t/(p.Seconds*1000)) / 1000
			for owed += rate * step; owed >= 1; owed-- {
				if !each(at + t) {
					return
				}
			}
		}
		at += p.Seconds * 1000
	}
}

// FollowSchedule asks by a course, whatever becomes of what was asked before, and counts each request's time from when it was due
// and not from when it could be sent: a proxy that stalls is not asked less, nor judged by the few that got through
// (coordinated omission).
func (c *Client) FollowSchedule(ctx context.Context, phases []Phase) {
	began := c.opt.Clock.Now()
	Schedule(phases, func(ms float64) bool {
		if wait := began + ms - c.opt.Clock.Now(); wait > 0 {
			woken := make(chan struct{})
			stop := c.opt.Clock.After(wait, func() { close(woken) })
			select {
			case <-woken:
			case <-ctx.Done():
				stop()
				return false
			}
		}
		c.sendAt(began+ms, func() {})
		return ctx.Err() == nil
	})
}

// MisbehavingClients is a crowd of clients that misbehave, on connections of their own, until Stop.
type MisbehavingClients struct {
	addr string
	stop chan struct{}
	wait sync.WaitGroup
	// Opened and Ended count connections: those that came up, and those that the proxy ended.
	Opened, Ended atomic.Int64
}

// habits are what a client that misbehaves sends, and whether it leaves after that.
var habits = map[string]struct {
	send  string
	leave bool
}{
	"idle":  {},
	"half":  {send: "*4\r\n$8\r\nRPC.CALL\r\n$1\r\n1\r\n$5\r\nas"},
	"noise": {send: "\x00\xff GET / HTTP/1.1\r\n\r\n"},
	"claim": {send: "*4\r\n$2147483647\r\n"},
	"leave": {send: string(resp.AppendFrame(nil, "RPC.CALL", "1", "asset", "rid=00000000000000aa,budget=2000,obj=00000000000000bb,nth=0,batch=1")), leave: true},
}

// ParseMisbehaving reads "idle=100,half=20".
func ParseMisbehaving(text string) (map[string]int, error) {
	out := map[string]int{}
	for _, part := range strings.Split(text, ",") {
		name, n, _ := strings.Cut(part, "=")
		count, err := strconv.Atoi(n)
		if _, known := habits[name]; !known || err != nil || count < 0 || count > mostBad {
			return nil, fmt.Errorf("%q is not idle, half, noise, claim or leave with a number up to %d", part, mostBad)
		}
		out[name] = count
	}
	return out, nil
}

// StartMisbehaving starts a crowd: so many of each habit, each of which comes again a moment after its connection has ended.
func StartMisbehaving(addr string, crowd map[string]int, clk *clock.Clock) *MisbehavingClients {
	b := &MisbehavingClients{addr: addr, stop: make(chan struct{})}
	for name, n := range crowd {
		for range n {
			b.wait.Add(1)
			go func() {
				defer b.wait.Done()
				for b.once(habits[name].send, habits[name].leave) {
				}
			}()
		}
	}
	return b
}

// pause between two connections of one that misbehaves.
const pause = 100 * time.Millisecond

func (b *MisbehavingClients) once(send string, leave bool) bool {
	select {
	case <-b.stop:
		return false
	case <-time.After(pause):
	}
	nc, err := net.DialTimeout("tcp", b.addr, time.Second)
	if err != nil {
		return true
	}
	defer nc.Close()
	b.Opened.Add(1)
	_, _ = nc.Write([]byte(send))
	if leave {
		return true
	}
	over := make(chan struct{})
	go func() {
		defer close(over)
		for buf := make([]byte, 256); ; {
			if _, err := nc.Read(buf); err != nil {
				return
			}
		}
	}()
	select {
	case <-over:
		b.Ended.Add(1)
		return true
	case <-b.stop:
		return false
	}
}

// Stop ends the crowd.
func (b *MisbehavingClients) Stop() {
	close(b.stop)
	b.wait.Wait()
}
