package sim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ravenwheel/policy"
)

// RandomStrategy sends each request to a random ready cache of its branch, fills misses from a random parent, and retries at other
// servers while a retry is safe and the deadline has not passed. It learns nothing from outcomes.
var RandomStrategy = Strategy{Name: "random", New: func(s policy.Settings, seed uint64, _ View) (Decider, error) {
	return newBaseline(s, seed, nil), nil
}}

// DelayedViewStrategy returns a strategy that sees the true state of the fleet with a delay in ms. It sends a request to the least
// utilized cache that holds the part or, if none does, to the least utilized cache. It chooses the parent for a fill in the same
// way.
func DelayedViewStrategy(delay float64) Strategy {
	return Strategy{Name: "late-seeing", ViewDelay: delay, New: func(s policy.Settings, seed uint64, v View) (Decider, error) {
		return newBaseline(s, seed, v), nil
	}}
}

// baseline is a decider that follows the rules on drains, retries and purges, and does nothing else: it has no concurrency limits,
// warm-up, retry budget or outlier detection.
type baseline struct {
	settings  policy.Settings
	rng       *rand.Rand
	view      View            // nil for a random choice of servers
	members   []policy.Member // the ready members, ordered by id
	requests  map[string]*baselineRequest
	timers    map[uint64]string // request ids, by timer token
	lastToken uint64
	purges    map[string]policy.Time // time of the last purge, by object
}

type baselineRequest struct {
	policy.Request
	deadline policy.Time
	attempts []baselineAttempt
}

type baselineAttempt struct {
	target, source policy.ServerID
	sent           policy.Time
	mayHaveRun     bool
}

// maxBaselineAttempts bounds the attempts for a request.
const maxBaselineAttempts = 4

func newBaseline(s policy.Settings, seed uint64, v View) *baseline {
	return &baseline{
		settings: s, rng: rand.New(rand.NewPCG(seed, 1)), view: v, requests: map[string]*baselineRequest{}, timers: map[uint64]string{},
		purges: map[string]policy.Time{},
	}
}

// Handle implements Decider.
func (b *baseline) Handle(now policy.Time, e policy.Event, actions []policy.Action) []policy.Action {
	switch e := e.(type) {
	case policy.Members:
		b.updateMembers(e)
	case policy.Purged:
		b.purges[e.Object] = max(b.purges[e.Object], now-e.Age)
	case policy.Request:
		return b.handleRequest(now, e, actions)
	case policy.Timer:
		id := b.timers[e.Token]
		delete(b.timers, e.Token)
		if r := b.requests[id]; r != nil {
			return b.giveUp(r, actions)
		}
	case policy.Outcome:
		return b.handleOutcome(now, e, actions)
	}
	return actions
}

func (b *baseline) handleRequest(now policy.Time, e policy.Request, actions []policy.Action) []policy.Action {
	r := &baselineRequest{Request: e, deadline: now + e.TimeLeft}
	b.requests[e.ID] = r
	b.lastToken++
	b.timers[b.lastToken] = e.ID
	actions = append(actions, policy.SetTimer{Token: b.lastToken, After: e.TimeLeft})
	return b.send(now, r, actions)
}

func (b *baseline) handleOutcome(now policy.Time, e policy.Outcome, actions []policy.Action) []policy.Action {
	r := b.requests[e.ID]
	if r == nil {
		return actions
	}
	if e.Final || e.Result == policy.OK {
		delete(b.requests, e.ID)
		return actions
	}
	neverRan := []policy.Result{policy.Overloaded, policy.ConnectFailed, policy.Skipped, policy.Miss}
	r.attempts[e.Attempt].mayHaveRun = !slices.Contains(neverRan, e.Result)
	return b.send(now, r, actions)
}

func (b *baseline) updateMembers(e policy.Members) {
	if e.Kind == policy.ListFull {
		b.members = nil
	}
	for _, m := range e.Entries {
		b.members = slices.DeleteFunc(b.members, func(known policy.Member) bool { return known.ID == m.ID })
		if m.State == policy.Ready {
			b.members = append(b.members, m)
		}
	}
	slices.SortFunc(b.members, func(x, y policy.Member) int { return cmp.Compare(x.ID, y.ID) })
}

// mayRetry reports whether another attempt is certain to have no second effect. policy.Router follows the same rule.
func (b *baseline) mayRetry(now policy.Time, r *baselineRequest) bool {
	class := b.settings.Classes[r.Class]
	for _, a := range r.attempts {
		if !a.mayHaveRun {
			continue
		}
		keyExpired := class.Idempotency == policy.IdempotentByKey && now-a.sent >= class.DedupWindow
		if class.Idempotency == policy.NotIdempotent || keyExpired {
			return false
		}
	}
	return true
}

// send sends an attempt, or gives the request up if another attempt is not allowed or no server is left for it.
func (b *baseline) send(now policy.Time, r *baselineRequest, actions []policy.Action) []policy.Action {
	if now >= r.deadline || len(r.attempts) >= maxBaselineAttempts || !b.mayRetry(now, r) {
		return b.giveUp(r, actions)
	}
	target, ok := b.choose(r, func(m policy.Member) bool {
		return m.Zone == b.settings.Zone && m.Kind != b.settings.ParentKind && m.Kind != b.settings.OriginKind
	})
	if !ok {
		return b.giveUp(r, actions)
	}
	source, ok := b.chooseSource(r)
	if !ok {
		return b.giveUp(r, actions)
	}
	r.attempts = append(r.attempts, baselineAttempt{target: target, source: source, sent: now, mayHaveRun: true})
	fetch := policy.Fetch{ID: r.ID, Server: target, Source: source, Timeout: r.deadline - now, RetainRank: 1}
	purged, known := b.purges[r.Object]
	switch {
	case b.settings.Classes[r.Class].Uncached:
		fetch.RetainRank = 0
	case known && now-purged <= 2*b.settings.PurgeDuration:
		fetch.MaxAge = max(now-purged, time.Microsecond)
	case b.settings.CoalescesFills:
		fetch.Options = policy.Coalesce
	}
	return append(actions, fetch)
}

// giveUp answers a request that was not served. It rejects the request, which tells the client that a retry is safe, unless the
// request may have run and must not run twice; then it fails the request.
func (b *baseline) giveUp(r *baselineRequest, actions []policy.Action) []policy.Action {
	delete(b.requests, r.ID)
	for _, a := range r.attempts {
		if a.mayHaveRun && b.settings.Classes[r.Class].Idempotency == policy.NotIdempotent {
			return append(actions, policy.Fail{ID: r.ID})
		}
	}
	return append(actions, policy.Reject{ID: r.ID})
}

// chooseSource chooses where a miss is filled from: a parent for a class that is cached, else the origin. The origin also serves
// if no parent can be chosen.
func (b *baseline) chooseSource(r *baselineRequest) (policy.ServerID, bool) {
	if !b.settings.Classes[r.Class].Uncached {
		parent := func(m policy.Member) bool { return m.Kind == b.settings.ParentKind }
		if id, ok := b.choose(r, parent); ok {
			return id, true
		}
	}
	return b.choose(r, func(m policy.Member) bool { return m.Kind == b.settings.OriginKind })
}

// choose chooses one of the eligible members that the request has not used yet: the best one according to the view, or a random
// one without a view.
func (b *baseline) choose(r *baselineRequest, eligible func(policy.Member) bool) (best policy.ServerID, ok bool) {
	var candidates []policy.Member
	for _, m := range b.members {
		used := slices.ContainsFunc(r.attempts, func(a baselineAttempt) bool {
			return a.target == m.ID || a.source == m.ID && m.Kind == b.settings.ParentKind
		})
		if eligible(m) && !used {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	if b.view == nil {
		return candidates[b.rng.IntN(len(candidates))].ID, true
	}
	return b.chooseByView(r, candidates)
}

// chooseByView chooses the least utilized of the servers that hold the part or, if none does, of all candidates. A fully utilized
// server does not count as holding the part: it would serve late what another server can fill in time.
func (b *baseline) chooseByView(r *baselineRequest, candidates []policy.Member) (best policy.ServerID, ok bool) {
	lowest, bestHolds := 0.0, false
	for _, m := range candidates {
		utilization, up := b.view.Utilization(m.ID)
		if !up {
			continue
		}
		holds := utilization < 1 && b.view.Holds(m.ID, r.Object, r.Part)
		if !ok || holds && !bestHolds || holds == bestHolds && utilization < lowest {
			best, lowest, bestHolds, ok = m.ID, utilization, holds, true
		}
	}
	return best, ok
}
