package main

import (
	"context"
	"net"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/console"
	"ravenwheel/internal/control"
	"ravenwheel/internal/core"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/handover"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/transient"
)

// place is this process among those that may own its address, and the operators' way to it.
type place struct {
	desk    *control.Controller
	hand    *handover.Coordinator // nil: no console is named, and no other process is looked for
	console *console.Console      // nil: none is named
}

// takePlace opens the console and finds the process that owns the address, if there is one. stop ends the program; ended is closed
// once it is told to end.
func takePlace(ended <-chan struct{}, conf *config.Config, clk *clock.Clock, log *logs.Log, stop context.CancelFunc) (p *place, err error) {
	d := control.New(control.Options{Clock: clk, MemoryMB: conf.MemoryMB, Conns: conf.Sockets / 2, AnswerWithin: killed(conf), Stop: stop})
	p = &place{desk: d}
	if conf.ConsoleAddr == "" {
		return p, nil
	}
	if p.console, err = console.Listen(conf.ConsoleAddr, d, log); err != nil {
		return nil, err
	}
	go p.console.Serve()
	if conf.HandoverDir != "" {
		p.hand, err = handover.Start(handover.Options{
			Dir: conf.HandoverDir, Listen: conf.Listen, Clock: clk, Log: log, SetAccepting: d.SetAccepting, SetOwner: d.SetOwner, SetShared: d.SetShared, Stop: d.Step,
			ShutdownRequested: ended,
		})
	}
	if err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// listen returns the clients' listener once it is this process's to use, and the core has what the owner before learned.
func (p *place) listen(conf *config.Config, c *core.Core) (net.Listener, error) {
	if p.hand != nil {
		return p.hand.WaitForOwnership(c)
	}
	ln, err := transient.ListenWithRetry(func() (net.Listener, error) { return net.Listen("tcp", conf.Listen) })
	if err == nil {
		p.desk.SetOwner(true)
		p.desk.SetAccepting(true)
	}
	return ln, err
}

// serve has operators' calls carried out.
func (p *place) serve(front *resp.Front, src *sources) {
	p.desk.Attach(front, src, p.hand)
}

func (p *place) close() {
	if p.console != nil {
		p.console.Close()
	}
	if p.hand != nil {
		p.hand.Close()
	}
}
