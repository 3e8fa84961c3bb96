package sim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ravenwheel/policy"
)

// Random asks any cache of its branch that the list calls ready, fills from any parent, and tries again elsewhere while that
// is allowed and time is left. It learns nothing.
var Random = Player{Name: "random", Make: func(s policy.Settings, seed uint64, _ View) (Decider, error) {
	return newBaseline(s, seed, nil), nil
}}

// LateSeeing sees the fleet as it truly was so many ms ago: it asks the least busy cache that held the object or, where none
// did, the least busy of all, and fills from the least busy that held it, else from the least busy parent.
func LateSeeing(ms float64) Player {
	return Player{Name: "late-seeing", Late: ms, Make: func(s policy.Settings, seed uint64, v View) (Decider, error) {
		return newBaseline(s, seed, v), nil
	}}
}

// baseline is a decider that keeps the rules on drains, repeats and purges, and leaves out all else: limits, ramps, budgets,
// and judgement.
type baseline struct {
	set     policy.Settings
	rng     *rand.Rand
	view    View // nil: it sees nothing
	members []policy.Member
	open    map[string]*baselineRequest
	timers  map[uint64]string
	token   uint64
	purged  map[string]policy.Time
}

type baselineRequest struct {
	policy.Request
	due   policy.Time
	tried []baselineTry
}

type baselineTry struct {
	to   policy.CacheID
	src  policy.CacheID
	sent policy.Time
	ran  bool // or may have
}

// baselineTries: attempts for a request at the most.
const baselineTries = 4

func newBaseline(s policy.Settings, seed uint64, v View) *baseline {
	return &baseline{
		set: s, rng: rand.New(rand.NewPCG(seed, 1)), view: v, open: map[string]*baselineRequest{}, timers: map[uint64]string{},
		purged: map[string]policy.Time{},
	}
}

// Handle implements Decider.
func (b *baseline) Handle(now policy.Time, e policy.Event, acts []policy.Action) []policy.Action {
	switch e := e.(type) {
	case policy.Members:
		b.list(e)
	case policy.Purged:
		b.purged[e.Object] = max(b.purged[e.Object], now-e.Age)
	case policy.Request:
		q := &baselineRequest{Request: e, due: now + e.TimeLeft}
		b.open[e.ID] = q
		b.token++
		b.timers[b.token] = e.ID
		acts = append(acts, policy.SetTimer{Token: b.token, After: e.TimeLeft})
		return b.send(now, q, acts)
	case policy.Timer:
		id := b.timers[e.Token]
		delete(b.timers, e.Token)
		if q := b.open[id]; q != nil {
			return b.giveUp(q, acts)
		}
	case policy.Outcome:
		q := b.open[e.ID]
		if q == nil {
			break
		}
		if e.Final || e.Result == policy.OK {
			delete(b.open, e.ID)
			break
		}
		never := []policy.Result{policy.Overloaded, policy.ConnectFailed, policy.Skipped, policy.Miss}
		q.tried[e.Attempt].ran = !slices.Contains(never, e.Result)
		return b.send(now, q, acts)
	}
	return acts
}

func (b *baseline) list(e policy.Members) {
	if e.Kind == policy.ListFull {
		b.members = nil
	}
	for _, m := range e.Entries {
		b.members = slices.DeleteFunc(b.members, func(x policy.Member) bool { return x.ID == m.ID })
		if m.State == policy.Ready {
			b.members = append(b.members, m)
		}
	}
	slices.SortFunc(b.members, func(x, y policy.Member) int { return cmp.Compare(x.ID, y.ID) })
}

// mayRepeat tells whether a request may go out again: the module's own rule.
func (b *baseline) mayRepeat(now policy.Time, q *baselineRequest) bool {
	c := b.set.Classes[q.Class]
	for _, t := range q.tried {
		if t.ran && (c.Idempotency == policy.NotIdempotent || c.Idempotency == policy.IdempotentByKey && now-t.sent >= c.DedupWindow) {
			return false
		}
	}
	return true
}

func (b *baseline) send(now policy.Time, q *baselineRequest, acts []policy.Action) []policy.Action {
	c := b.set.Classes[q.Class]
	if now >= q.due || len(q.tried) >= baselineTries || !b.mayRepeat(now, q) {
		return b.giveUp(q, acts)
	}
	to, ok := b.choose(q, func(m policy.Member) bool {
		return m.Zone == b.set.Zone && m.Kind != b.set.ParentKind && m.Kind != b.set.OriginKind
	})
	if !ok {
		return b.giveUp(q, acts)
	}
	src, ok := b.source(q, to)
	if !ok {
		return b.giveUp(q, acts)
	}
	q.tried = append(q.tried, baselineTry{to: to, src: src, sent: now, ran: true})
	g := policy.Fetch{ID: q.ID, Cache: to, Source: src, Timeout: q.due - now, RetainRank: 1}
	if at, purged := b.purged[q.Object]; c.Uncached {
		g.RetainRank = 0
	} else if purged && now-at <= 2*b.set.PurgeDuration {
		g.MaxAge = max(now-at, time.Microsecond)
	} else if b.set.CoalescesFills {
		g.Options = policy.Coalesce
	}
	return append(acts, g)
}

func (b *baseline) giveUp(q *baselineRequest, acts []policy.Action) []policy.Action {
	delete(b.open, q.ID)
	for _, t := range q.tried {
		if t.ran && b.set.Classes[q.Class].Idempotency == policy.NotIdempotent {
			return append(acts, policy.Fail{ID: q.ID})
		}
	}
	return append(acts, policy.Reject{ID: q.ID})
}

// source is where a miss is filled from.
func (b *baseline) source(q *baselineRequest, to policy.CacheID) (policy.CacheID, bool) {
	origin := func(m policy.Member) bool { return m.Kind == b.set.OriginKind }
	if !b.set.Classes[q.Class].Uncached {
		parent := func(m policy.Member) bool { return m.Kind == b.set.ParentKind }
		if id, ok := b.choose(q, parent); ok {
			return id, true
		}
	}
	return b.choose(q, origin)
}

// choose picks of the members that are fit, and were not tried, the best that it can see; without a view any.
func (b *baseline) choose(q *baselineRequest, fit func(policy.Member) bool) (best policy.CacheID, ok bool) {
	var list []policy.Member
	for _, m := range b.members {
		tried := slices.ContainsFunc(q.tried, func(t baselineTry) bool { return t.to == m.ID || t.src == m.ID && m.Kind == b.set.ParentKind })
		if fit(m) && !tried {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return 0, false
	}
	if b.view == nil {
		return list[b.rng.IntN(len(list))].ID, true
	}
	least, held := 0.0, false
	for _, m := range list {
		busy, up := b.view.Busy(m.ID)
		if !up {
			continue
		}
		// A holder that is full is no better than another: it would serve late what could be filled in time.
		holds := busy < 1 && b.view.Holds(m.ID, q.Object, q.Part)
		if !ok || holds && !held || holds == held && busy < least {
			best, least, held, ok = m.ID, busy, holds, true
		}
	}
	return best, ok
}
