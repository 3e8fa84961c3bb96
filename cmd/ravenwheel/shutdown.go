package main

import (
	"context"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/control"
	"ravenwheel/internal/front/resp"
)

const (
	// exitMarginMs is how long before the latest SIGKILL that is waited for (maxRequestLifetime and killGraceMs after SIGTERM) the
	// program ends by itself, whatever is open.
	exitMarginMs = 100
	// idleCheckMs is the interval at which it checks whether anything is still open.
	idleCheckMs = 10
)

// shutDown drains the proxy: it answers the requests that are open or on their way, and closes all connections. stopController
// has the front drain, and reports whether another process has taken over; then nothing arrives but on open connections. stopServices
// ends the other listeners, and waits for what is open there until its context ends.
//
// It waits until all connections are closed, and not for answers alone: a request between the last answer and the exit would be
// reset, unread. Nor is the listener closed over connections in its queue.
func shutDown(clk *clock.Clock, front *resp.Front, conf *config.Config, stopServices func(context.Context), stopController func() (takenOver bool)) {
	end := clk.Now() + clock.Ms(maxRequestLifetime(conf)) + killGraceMs - exitMarginMs
	takenOver := stopController()
	if !takenOver {
		sleep(clk, control.CloseIdleAfterStop)
	}
	// A process that took over with a listener of its own leaves this one's queue to this process.
	if !takenOver || front.IsAccepting() {
		for front.HasQueuedConns() && clk.Now() < end {
			sleep(clk, idleCheckMs)
		}
		_ = front.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer clk.After(end-clk.Now(), cancel)()
	stopServices(ctx)
	for front.OpenConns() > 0 && clk.Now() < end {
		sleep(clk, idleCheckMs)
	}
}

// sleep waits for so many ms of a clock.
func sleep(clk *clock.Clock, ms float64) {
	over := make(chan struct{})
	clk.After(ms, func() { close(over) })
	<-over
}
