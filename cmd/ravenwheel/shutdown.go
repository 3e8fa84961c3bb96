package main

import (
	"context"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/control"
	"ravenwheel/internal/front/resp"
)

const (
	// exitMarginMs is how long before the latest SIGKILL (maxRequestLifetime plus killGraceMs after SIGTERM) the program ends by
	// itself, even if connections are open.
	exitMarginMs = 100
	// idleCheckMs is the interval at which shutDown checks whether a connection is still open.
	idleCheckMs = 10
)

// shutDown drains the proxy: it answers the requests that are open or on their way, and closes all connections. stopController
// starts the front's drain, and reports whether another process has taken over; if so, requests arrive on open connections only.
// stopServices ends the other listeners, and waits until their open requests are answered or its context ends.
//
// shutDown waits until all connections are closed, not only until all requests are answered: a request that arrived between the
// last answer and the exit would be reset, unread. For the same reason, the listener is not closed while connections are in its
// queue.
func shutDown(clk *clock.Clock, front *resp.Front, conf *config.Config, stopServices func(context.Context), stopController func() (takenOver bool)) {
	end := clk.Now() + clock.Ms(maxRequestLifetime(conf)) + killGraceMs - exitMarginMs
	takenOver := stopController()
	if !takenOver {
		sleep(clk, control.CloseIdleAfterStop)
	}
	// A process that took over with a listener of its own leaves the queue of this process's listener to this process.
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

// sleep waits until ms milliseconds have passed on a clock.
func sleep(clk *clock.Clock, ms float64) {
	over := make(chan struct{})
	clk.After(ms, func() { close(over) })
	<-over
}
