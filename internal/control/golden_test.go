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

// fakeFront is a clients' front with a fixed number of open connections.
type fakeFront struct{ connections int }

func (*fakeFront) SetReady(bool)           {}
func (*fakeFront) SetDrainPlan(drain.Plan) {}
func (*fakeFront) SetAccepting(bool)       {}
func (*fakeFront) SetMaxConns(int)         {}
func (f *fakeFront) OpenConns() int        { return f.connections }

// fakeServers has one server, with id 1.
type fakeServers struct{}

func (fakeServers) IsKnown(id policy.ServerID) bool   { return id == 1 }
func (fakeServers) Drain(policy.ServerID, bool) error { return nil }

// The texts that operators receive in each phase of a proxy.
func TestGoldenStatus(t *testing.T) {
	var transcript strings.Builder
	front := &fakeFront{}
	controller := New(Options{Clock: clock.Manual(1000), AnswerWithinMs: 5000, Stop: func() {}})
	show := func(step string) {
		text, ready := controller.Status()
		fmt.Fprintf(&transcript, "%s: %v %q\n", step, ready, text)
	}
	showResult := func(step string, err error) { show(fmt.Sprintf("%s (%v)", step, err)) }
	show("new")
	showResult("server 1 drained before there are servers", controller.SetServerDrained(1, true))
	controller.Attach(front, fakeServers{}, nil)
	show("with a front")
	controller.SetOwner(true)
	show("owns its address")
	showResult("server 1 drained", controller.SetServerDrained(1, true))
	showResult("server 2 drained", controller.SetServerDrained(2, true))
	front.connections = 3
	showResult("paused", controller.SetDraining(true))
	front.connections = 0
	show("no connection left")
	showResult("resumed", controller.SetDraining(false))
	controller.SetOwner(false)
	show("another process owns its address")
	showResult("paused", controller.SetDraining(true))
	controller.Stop()
	show("told to stop")
	showResult("resumed", controller.SetDraining(false))
	golden.Equal(t, "status.txt", []byte(transcript.String()))
}
