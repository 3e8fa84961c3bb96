package main

import (
	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/discovery"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/timestamp"
	"ravenwheel/internal/source/discoveryclient"
)

// discovery takes in what was known of discovery at the start, and returns the client that follows it. rank is its rank among the
// ledger's sources.
func (s *sources) discovery(rank int) *discoveryclient.Client {
	reader := timestamp.New(s.clk.Now())
	known := discoveryclient.TranslateInitialEvents(s.conf.InitialEvents, reader, s.clk.Now(), clock.Ms(s.conf.Settings.PurgeDuration))
	for _, n := range known {
		n.Dispatch(rank, s.roster.Handle, s.purged)
	}
	follow := discovery.DefaultSettings(s.conf.Seed, clock.Ms(s.conf.Settings.PurgeGrace))
	if s.conf.ConsoleAddr != "" { // it may take over from another process
		follow.NotifiedAfterStart = discovery.NotifiedAfterTakeover
	}
	return &discoveryclient.Client{
		Addr: s.conf.DiscoveryAddr, LastRevision: s.conf.InitialRevision, Clock: s.clk, Log: s.log, Settings: follow,
		OnEvent: func(n discoveryclient.Event) {
			n.Translate(reader, s.clk.Now()).Dispatch(rank, s.roster.Handle, s.purged)
		},
		OnHeartbeat: func() {
			reader.Heartbeat(s.clk.Now())
			s.roster.Handle(membership.Heartbeat{Source: rank})
		},
		OnOverdue: s.isOverdue,
		OnCurrent: func() { s.core.DiscoveryOverdue(false, 0) },
	}
}

// isOverdue tells that discovery has not spoken for too long, and that what it held until a time counts as notified.
func (s *sources) isOverdue(until float64) {
	s.core.DiscoveryOverdue(true, until)
	select {
	case s.overdue <- struct{}{}:
	default:
	}
}
