package policy

import "time"

// ServerStats is what a router has learned about one server or link. The names in the tags are those of the
// encoded form that processes hand over; they must stay.
type ServerStats struct {
	Down                  bool     `cbor:"Down"`
	Unreachable           bool     `cbor:"Lost"`       // a connection failed since it was last up
	ConsecutiveUnanswered int      `cbor:"Unanswered"` // attempts past their objective since the last answer
	LastFailure           Time     `cbor:"FailedAt"`
	FailureRate           Fraction `cbor:"FailShare"` // fraction of recent attempts that failed
	LateRate              Fraction `cbor:"LateShare"` // fraction of recent answers and timeouts past their objective
	LastAnswer            Time     `cbor:"LastAnswer"`
	NextProbe             Time     `cbor:"TrialAt"` // earliest time of the next probe while it is down
	Limit                 float64  `cbor:"Limit"`   // of this router's attempts or fills in flight, in slots
	LimitUpdated          Time     `cbor:"Heard"`   // when an outcome last adjusted the limit; 0: never
	RampStart             Time     `cbor:"Ramped"`  // see inRampedFraction
	Ramping               bool     `cbor:"Ramps"`
	WarmUpStart           Time     `cbor:"Cold"` // see withinWarmUpBudget
	WarmingUp             bool     `cbor:"Colds"`
	Credit                float64  `cbor:"Credit"` // of the warm-up budget, in seconds of transfer time; below 0: overdrawn
	CreditUpdated         Time     `cbor:"CreditAt"`
}

// LearnedState is what a router has learned about servers and requests. See ServerStats for the tags.
type LearnedState struct {
	Servers            map[ServerID]ServerStats   `cbor:"Targets"`
	Link               ServerStats                `cbor:"Link"`        // the zone's link
	TransferTime       []float64                  `cbor:"MeanSend"`    // by class, in seconds, without the effects of overload
	RecentTransferTime []float64                  `cbor:"MeanTook"`    // by class, in seconds
	FillRate           Fraction                   `cbor:"FillShare"`   // fraction of answers that needed a fill
	OriginRate         Fraction                   `cbor:"OriginShare"` // fraction of answers that needed the origin
	PeakLoad           [roleOtherZone + 1]float64 `cbor:"LinkSeen"`    // by role, see linkShare; in transfers
}

// LearnedState returns what a router that replaces this one may start from. Its slices are the router's own.
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

// Restore starts from what another router has learned. Servers that have started since are not restored.
func (r *Router) Restore(state LearnedState) {
	for id, stats := range state.Servers {
		if server := r.servers[id]; server != nil && server.Started <= stats.WarmUpStart {
			server.ServerStats = stats
		}
	}
	r.link.ServerStats, r.transferTime, r.recentTransferTime = state.Link, state.TransferTime, state.RecentTransferTime
	r.fillRate, r.originRate, r.peakLoad = state.FillRate, state.OriginRate, state.PeakLoad
}

// Shifted returns the state with all its times moved, for a clock with another origin.
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
