package main

import (
	"context"
	"net"

	"ravenwheel/internal/config"
	"ravenwheel/internal/console"
	"ravenwheel/internal/control"
	"ravenwheel/internal/core"
	"ravenwheel/internal/handover"
	"ravenwheel/internal/transient"
)

// ownership decides whether this process owns the clients' address, by operators' commands and by the hand-over between processes.
type ownership struct {
	controller *control.Controller
	handover   *handover.Coordinator // nil: no hand-over with other processes
	console    *console.Console      // nil: none is configured
}

// startOwnership opens the console and looks for the process that owns the address. stop ends the program; ended is closed once the
// program is to end.
func startOwnership(
	ended <-chan struct{}, env environment, proxy *core.Core, stop context.CancelFunc,
) (o *ownership, err error) {
	conf := env.conf
	o = &ownership{controller: control.New(control.Options{
		Clock:          env.clock,
		Limits:         memoryLimits(conf),
		Memory:         env.memory,
		MaxConns:       conf.Sockets / clientSocketsDivisor,
		AnswerWithinMs: answerWithinMs(conf),
		Stop:           stop,
	})}
	if conf.ConsoleAddr == "" {
		return o, nil
	}
	if o.console, err = console.Listen(conf.ConsoleAddr, o.controller, env.log, env.memory); err != nil {
		return nil, err
	}
	go o.console.Serve()
	if conf.HandoverDir == "" {
		return o, nil
	}
	o.handover, err = handover.Start(handover.Options{
		Dir:               conf.HandoverDir,
		Listen:            conf.Listen,
		Clock:             env.clock,
		Log:               env.log,
		SetAccepting:      o.controller.SetAccepting,
		SetOwner:          o.controller.SetOwner,
		SetShared:         o.controller.SetShared,
		Stop:              o.controller.StepDown,
		Shared:            proxy.AtMostOnce,
		ShutdownRequested: ended,
	})
	if err != nil {
		o.close()
		return nil, err
	}
	return o, nil
}

// listen returns the clients' listener once this process owns it. By then, the core has the learned state of the previous owner.
// The error is handover.ErrShutdown if the process is to end before that.
func (o *ownership) listen(conf *config.Config, proxy *core.Core) (net.Listener, error) {
	if o.handover != nil {
		return o.handover.WaitForOwnership(proxy)
	}
	ln, err := transient.ListenWithRetry(func() (net.Listener, error) { return net.Listen("tcp", conf.Listen) })
	if err == nil {
		o.controller.SetOwner(true)
		o.controller.SetAccepting(true)
	}
	return ln, err
}

// close ends the console and the part in handovers. Called when the process is about to end.
func (o *ownership) close() {
	if o.console != nil {
		o.console.Close()
	}
	if o.handover != nil {
		o.handover.Leave()
	}
}
