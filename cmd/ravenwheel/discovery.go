package main

import (
	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/discovery"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/timestamp"
	"ravenwheel/internal/source/discoveryclient"
)

// newDiscoveryClient applies the events of discovery that the configuration holds, and returns the client that follows discovery
// from there. rank is the rank of discovery among the sources, by which membership orders them.
func (s *serverSources) newDiscoveryClient(rank int) *discoveryclient.Client {
	translator := timestamp.New()
	initial := discoveryclient.TranslateInitialEvents(s.conf.InitialEvents, translator, s.clock.Now())
	for _, event := range initial {
		event.Dispatch(rank, s.registry.Handle, s.handlePurge)
	}
	settings := discovery.DefaultSettings(s.conf.Seed, clock.Ms(s.conf.Settings.PurgeGrace))
	if s.conf.ConsoleAddr != "" { // this process may take over from another one
		settings.NotifiedAfterStart = discovery.NotifiedAfterTakeover
	}
	return &discoveryclient.Client{
		Addr:         s.conf.DiscoveryAddr,
		LastRevision: s.conf.InitialRevision,
		Clock:        s.clock,
		Log:          s.log,
		Settings:     settings,
		OnEvent: func(event discoveryclient.Event) {
			event.Translate(translator, s.clock.Now()).Dispatch(rank, s.registry.Handle, s.handlePurge)
		},
		OnHeartbeat: func() { s.registry.Handle(membership.Heartbeat{Source: rank}) },
		OnOverdue:   s.handleDiscoveryOverdue,
		OnCaughtUp:  func() { s.core.SetDiscoveryOverdue(false, 0) },
		Memory:      s.memory,
	}
}

// handleDiscoveryOverdue reports to the core that discovery has been silent for too long: the events that discovery held at the
// time until, in ms of the clock, count as notified. The configuration is read again, as discovery may have moved.
func (s *serverSources) handleDiscoveryOverdue(until float64) {
	s.core.SetDiscoveryOverdue(true, until)
	select {
	case s.discoveryOverdue <- struct{}{}:
	default:
	}
}
