package policy

import "time"

// ServerStats is what a router has learned about one server or link. The tags hold the names of the encoded
// form that one process hands over to another, so they must stay as they are.
type ServerStats struct {
	Down                  bool     `cbor:"Down"`
	Unreachable           bool     `cbor:"Lost"`       // a connection to it failed since it was last up
	ConsecutiveUnanswered int      `cbor:"Unanswered"` // attempts past their objective since the last answer
	LastFailure           Time     `cbor:"FailedAt"`
	FailureRate           Fraction `cbor:"FailShare"` // fraction of recent attempts that failed
	LateRate              Fraction `cbor:"LateShare"` // fraction of recent answers and timeouts that are late
	LastAnswer            Time     `cbor:"LastAnswer"`
	NextProbe             Time     `cbor:"TrialAt"` // earliest time of the next probe while it is down
	Limit                 float64  `cbor:"Limit"`   // for this router's attempts or fills in flight, in slots
	LimitUpdated          Time     `cbor:"Heard"`   // when an outcome last adjusted the limit; 0: never
	RampStart             Time     `cbor:"Ramped"`  // see inRampedFraction
	Ramping               bool     `cbor:"Ramps"`
	WarmUpStart           Time     `cbor:"Cold"` // see withinWarmUpBudget
	WarmingUp             bool     `cbor:"Colds"`
	Credit                float64  `cbor:"Credit"` // of the warm-up budget, in seconds; below 0: overdrawn
	CreditUpdated         Time     `cbor:"CreditAt"`
}

// LearnedState is what a router has learned about servers and requests. See ServerStats for the tags.
type LearnedState struct {
	Servers map[ServerID]ServerStats `cbor:"Targets"`
	Link    ServerStats              `cbor:"Link"` // the zone's inbound link
	// TransferTime and RecentTransferTime are by class, in seconds. TransferTime leaves out the effects of
	// overload.
	TransferTime       []float64 `cbor:"MeanSend"`
	RecentTransferTime []float64 `cbor:"MeanTook"`
	// FillRate and OriginRate are the fractions of answers that needed a fill, and the origin.
	FillRate   Fraction                   `cbor:"FillShare"`
	OriginRate Fraction                   `cbor:"OriginShare"`
	PeakLoad   [roleOtherZone + 1]float64 `cbor:"LinkSeen"` // by role, see linkShare; in concurrent transfers
}

// LearnedState returns the state with which a router that replaces this one may start. Its slices are not
// copies: the router goes on updating them.
func (r *Router) LearnedState() LearnedState {
	state := LearnedState{
		Servers: map[ServerID]ServerStats{}, Link: r.link.ServerStats, TransferTime: r.transferTime,
		RecentTransferTime: r.recentTransferTime, FillRate: r.fillRate, OriginRate: r.originRate, PeakLoad: r.peakLoad,
	}
	for id, server := range r.servers {
		state.Servers[id] = server.ServerStats
	}
	return state
}

// Restore replaces what the router has learned with the state of another router. Servers that have started
// since keep their own.
func (r *Router) Restore(state LearnedState) {
	for id, stats := range state.Servers {
		if server := r.servers[id]; server != nil && server.Started <= stats.WarmUpStart {
			server.ServerStats = stats
		}
	}
	r.link.ServerStats, r.transferTime, r.recentTransferTime = state.Link, state.TransferTime, state.RecentTransferTime
	r.fillRate, r.originRate, r.peakLoad = state.FillRate, state.OriginRate, state.PeakLoad
}

// Shifted returns the state with all its times moved by the difference to a clock with another origin. A time
// of 0 stays 0, as it means never.
func (l LearnedState) Shifted(by time.Duration) LearnedState {
	servers := make(map[ServerID]ServerStats, len(l.Servers))
	for id, stats := range l.Servers {
		servers[id] = stats.shifted(by)
	}
	l.Servers, l.Link = servers, l.Link.shifted(by)
	return l
}

func (s ServerStats) shifted(by time.Duration) ServerStats {
	for _, t := range []*Time{
		&s.LastFailure, &s.LastAnswer, &s.NextProbe, &s.LimitUpdated, &s.RampStart, &s.WarmUpStart, &s.CreditUpdated,
	} {
		if *t > 0 {
			*t = max(0, *t+by)
		}
	}
	return s
}
