package control

import (
	"fmt"
	"strings"
	"testing"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/golden"
	"ravenwheel/policy"
)

// goldenFront is a clients' front with so many connections.
type goldenFront struct{ connections int }

func (*goldenFront) SetReady(bool)           {}
func (*goldenFront) SetDrainPlan(drain.Plan) {}
func (*goldenFront) SetAccepting(bool)       {}
func (*goldenFront) SetMaxConns(int)         {}
func (f *goldenFront) OpenConns() int        { return f.connections }

type goldenServers struct{}

func (goldenServers) HasServer(id policy.CacheID) bool { return id == 1 }
func (goldenServers) Drain(policy.CacheID, bool) error { return nil }

// The texts that operators are answered, in each phase of a proxy's life.
func TestGoldenStatus(t *testing.T) {
	var transcript strings.Builder
	front := &goldenFront{}
	d := New(Options{Clock: clock.Manual(1000), AnswerWithinMs: 5000, Stop: func() {}})
	show := func(done string) {
		text, ready := d.Status()
		fmt.Fprintf(&transcript, "%s: %v %q\n", done, ready, text)
	}
	call := func(done string, err error) { show(fmt.Sprintf("%s (%v)", done, err)) }
	show("new")
	call("server 1 drained before there are servers", d.SetServerDrained(1, true))
	d.Attach(front, goldenServers{}, nil)
	show("with a front")
	d.SetOwner(true)
	show("owns its address")
	call("server 1 drained", d.SetServerDrained(1, true))
	call("server 2 drained", d.SetServerDrained(2, true))
	front.connections = 3
	call("paused", d.SetDraining(true))
	front.connections = 0
	show("no connection left")
	call("resumed", d.SetDraining(false))
	d.SetOwner(false)
	show("another process owns its address")
	call("paused", d.SetDraining(true))
	d.Stop()
	show("told to stop")
	call("resumed", d.SetDraining(false))
	golden.Equal(t, "status.txt", []byte(transcript.String()))
}
