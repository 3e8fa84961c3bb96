package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"sync"
	"testing"
	"time"
)

// ruleChecker checks the actions of one router against the rules of the protocol. It knows events only, not
// the load of servers.
type ruleChecker struct {
	set        Settings
	reqs       map[string]*entry
	state      map[ServerID]State
	notifiedAt map[ServerID]Time
	members    map[ServerID]Member
	purged     map[string][2]Time // object: time of the purge, time of its notice
}

// entry is a request as the checker sees it.
type entry struct {
	q     Request
	due   Time
	over  bool
	sends []sent
}

type sent struct {
	cache     ServerID
	at        Time
	open, ran bool
}

func newRuleChecker(s Settings) *ruleChecker {
	return &ruleChecker{set: s, reqs: map[string]*entry{}, state: map[ServerID]State{}, notifiedAt: map[ServerID]Time{},
		members: map[ServerID]Member{}, purged: map[string][2]Time{}}
}

func (b *ruleChecker) event(now Time, e Event) {
	switch e := e.(type) {
	case Members:
		listed := map[ServerID]bool{}
		for _, m := range e.Entries {
			listed[m.ID] = true
			if m.State != b.state[m.ID] {
				b.notifiedAt[m.ID] = now
			}
			b.state[m.ID], b.members[m.ID] = m.State, m
		}
		if e.Kind == ListFull || e.Kind == ListCached {
			for id := range b.members {
				if !listed[id] && b.state[id] != Gone {
					b.state[id], b.notifiedAt[id] = Gone, now
				}
			}
		}
	case Request:
		if b.reqs[e.ID] == nil {
			b.reqs[e.ID] = &entry{q: e, due: now + e.TimeLeft}
		}
	case Outcome:
		q := b.reqs[e.ID]
		if q == nil || e.Attempt >= len(q.sends) || !q.sends[e.Attempt].open {
			return
		}
		s := &q.sends[e.Attempt]
		s.open = false
		s.ran = e.Result != Overloaded && e.Result != ConnectFailed && e.Result != Skipped && e.Result != Miss
		q.over = q.over || e.Final
	case ClientLeft:
		if q := b.reqs[e.ID]; q != nil {
			q.over = true
		}
	case Purged:
		b.purged[e.Object] = [2]Time{now - e.Age, now}
	}
}

// action checks one action and applies it.
func (b *ruleChecker) action(now Time, a Action) error {
	switch a := a.(type) {
	case Reject:
		return b.finalAnswer(a.ID, true)
	case Fail:
		return b.finalAnswer(a.ID, false)
	case Lookup:
		return b.send(now, a.ID, a.Server, a.Server, 0, b.members[a.Server].Kind == b.set.OriginKind)
	case Fetch:
		return b.send(now, a.ID, a.Server, a.Source, a.MaxAge, false)
	}
	return nil
}

// finalAnswer checks that there is one final answer, and that a rejection is harmless.
func (b *ruleChecker) finalAnswer(id string, reject bool) error {
	q := b.reqs[id]
	if q == nil || q.over {
		return fmt.Errorf("second final answer for %s", id)
	}
	q.over = true
	c := b.set.Classes[q.q.Class]
	harmless := c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupAll
	if reject && !harmless {
		for _, s := range q.sends {
			if s.open || s.ran {
				return fmt.Errorf("%s rejected though it may have been executed", id)
			}
		}
	}
	return nil
}

// send checks an attempt with the given maximum age. origin says that it goes straight to the origin.
func (b *ruleChecker) send(now Time, id string, cache, source ServerID, age time.Duration, origin bool) error {
	q := b.reqs[id]
	if q == nil || q.over {
		return fmt.Errorf("%s sent after its final answer", id)
	}
	for _, t := range []ServerID{cache, source} {
		if m, known := b.members[t]; !known || b.state[t] != Ready && now-b.notifiedAt[t] > b.set.DrainGrace {
			return fmt.Errorf("%s names %d (%+v), which is draining or unknown", id, t, m)
		}
	}
	if b.set.MaxAttempts > 0 && len(q.sends) >= b.set.MaxAttempts {
		return fmt.Errorf("%s exceeds the attempt limit", id)
	}
	if err := b.retry(now, q, cache); err != nil {
		return err
	}
	uncached := b.set.Classes[q.q.Class].Uncached
	if p, ok := b.purged[q.q.Object]; ok && !origin && !uncached && now-p[1] > b.set.PurgeGrace &&
		now-p[0] < b.set.PurgeDuration && (age == 0 || age > now-p[0]) && now > p[0] {
		return fmt.Errorf("%s may be answered from before its purge: age %v", id, age)
	}
	q.sends = append(q.sends, sent{cache: cache, at: now, open: true})
	return nil
}

// retry checks that another attempt at a cache can have no second effect.
func (b *ruleChecker) retry(now Time, q *entry, cache ServerID) error {
	c := b.set.Classes[q.q.Class]
	for _, s := range q.sends {
		if s.open {
			return fmt.Errorf("%s has two attempts in flight", q.q.ID)
		}
		if (s.open || s.ran) && (c.Idempotency == NotIdempotent || c.Idempotency == IdempotentByKey && (now-s.at >= c.DedupWindow ||
			c.DedupScope == DedupZone && b.members[cache].Zone != b.members[s.cache].Zone ||
			c.DedupScope == DedupCell && b.members[cache].Cell != b.members[s.cache].Cell)) {
			return fmt.Errorf("%s retried though it may have been executed", q.q.ID)
		}
	}
	return nil
}

// runRandomEvents generates valid events from a seed and returns all actions, or the first violation of a
// rule.
func runRandomEvents(seed int64) ([]Action, error) {
	rnd := rand.New(rand.NewSource(seed))
	set := settings()
	set.MayBypassCaches = rnd.Intn(2) == 0
	set.SiblingFills, set.OutcomeDetail = SiblingScope(rnd.Intn(3)), OutcomeDetail(rnd.Intn(3))
	set.WeightsKnown, set.MaxAttempts = rnd.Intn(2) == 0, 1+rnd.Intn(8)
	set.Classes = append(set.Classes,
		Class{LatencyObjective: 200 * ms, Deadline: 3 * time.Second, Idempotency: IdempotentByKey, DedupScope: DedupScope(rnd.Intn(3)), DedupWindow: time.Second})
	r, err := New(set, uint64(seed))
	if err != nil {
		return nil, err
	}
	b, now := newRuleChecker(set), Time(seed%7)*time.Second
	var all []Action
	type due struct {
		at    Time
		token uint64
	}
	var timers []due
	var open []Outcome
	handle := func(e Event) error {
		b.event(now, e)
		for _, a := range r.Handle(now, e, nil) {
			all = append(all, a)
			if err := b.action(now, a); err != nil {
				return err
			}
			switch a := a.(type) {
			case SetTimer:
				timers = append(timers, due{now + a.After, a.Token})
			case Lookup:
				open = append(open, Outcome{ID: a.ID, Attempt: len(b.reqs[a.ID].sends) - 1, Server: a.Server})
			case Fetch:
				open = append(open, Outcome{ID: a.ID, Attempt: len(b.reqs[a.ID].sends) - 1, Server: a.Server})
			}
		}
		return nil
	}
	list := fleet()
	if err := handle(list); err != nil {
		return nil, err
	}
	for step := range 1500 {
		now += time.Duration(rnd.Intn(20)) * ms
		for i := 0; i < len(timers); i++ {
			if t := timers[i]; t.at <= now {
				timers = append(timers[:i], timers[i+1:]...)
				i--
				if err := handle(Timer{Token: t.token}); err != nil {
					return nil, err
				}
			}
		}
		var e Event
		switch k := rnd.Intn(20); {
		case k < 8:
			e = Request{ID: fmt.Sprint(step), Class: rnd.Intn(len(set.Classes)), Object: fmt.Sprint(rnd.Intn(20)),
				TimeLeft: time.Duration(1+rnd.Intn(3000)) * ms, Group: rnd.Intn(4)}
		case k < 16 && len(open) > 0:
			i := rnd.Intn(len(open))
			o := open[i]
			open = append(open[:i], open[i+1:]...)
			o.Result, o.Note = Result(rnd.Intn(10)), Note(rnd.Intn(11))
			o.Latency = time.Duration(rnd.Intn(900)) * ms
			o.Final = o.Result == OK || b.reqs[o.ID].over
			e = o
		case k == 16:
			m := list.Entries[rnd.Intn(len(list.Entries)-1)]
			m.State = State(rnd.Intn(3))
			if m.State == Ready && rnd.Intn(2) == 0 {
				m.Started = now
			}
			e = Members{Kind: ListChanges, Entries: []Member{m}}
		case k == 17:
			e = Members{Kind: ListFull, Entries: list.Entries[rnd.Intn(4):]}
		case k == 18:
			e = Purged{Object: fmt.Sprint(rnd.Intn(20)), Group: -1, Age: time.Duration(rnd.Intn(300)) * ms}
		default:
			e = ClientLeft{ID: fmt.Sprint(rnd.Intn(step + 1))}
		}
		if err := handle(e); err != nil {
			return nil, fmt.Errorf("step %d: %w", step, err)
		}
		for id, q := range b.reqs {
			if !q.over && now > q.due+20*ms {
				return nil, fmt.Errorf("step %d: %s has no final answer at its deadline", step, id)
			}
		}
	}
	return all, nil
}

// The rules of the protocol hold for arbitrary events, and equal events yield equal actions, alone or beside
// other routers.
func TestRulesHoldUnderArbitraryEvents(t *testing.T) {
	const seeds = 60
	alone := make([][]Action, seeds)
	for seed := range alone {
		acts, err := runRandomEvents(int64(seed))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		alone[seed] = acts
	}
	beside := make([][]Action, seeds)
	var all sync.WaitGroup
	for seed := range beside {
		all.Go(func() { beside[seed], _ = runRandomEvents(int64(seed)) })
	}
	all.Wait()
	for seed := range alone {
		if !reflect.DeepEqual(alone[seed], beside[seed]) {
			t.Errorf("seed %d: equal events gave different actions", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) {
		if _, err := runRandomEvents(seed); err != nil {
			t.Fatal(err)
		}
	})
}

// The checker detects each kind of wrong action.
func TestCheckerDetectsViolations(t *testing.T) {
	set := settings()
	for name, c := range map[string]struct {
		before []Event
		acts   []Action
	}{
		"two answers":                 {nil, []Action{Fail{ID: "a"}, Fail{ID: "a"}}},
		"sent after its final answer": {nil, []Action{Fail{ID: "a"}, Fetch{ID: "a", Server: 1, Source: 11}}},
		"two in flight":               {nil, []Action{Fetch{ID: "a", Server: 1, Source: 11}, Fetch{ID: "a", Server: 2, Source: 11}}},
		"non-idempotent rejected":     {nil, []Action{Fetch{ID: "u", Server: 1, Source: 20}, Reject{ID: "u"}}},
		"draining cache":              {[]Event{Members{Entries: []Member{{ID: 1, State: Draining}}}}, []Action{Fetch{ID: "a", Server: 1, Source: 11}}},
		"draining source":             {[]Event{Members{Entries: []Member{{ID: 11, State: Gone}}}}, []Action{Fetch{ID: "a", Server: 1, Source: 11}}},
		"purged, any age":             {[]Event{Purged{Object: "o"}}, []Action{Fetch{ID: "a", Server: 1, Source: 11}}},
	} {
		b := newRuleChecker(set)
		b.event(0, fleet())
		b.event(0, newRequest("a", "o"))
		u := newRequest("u", "p")
		u.Class = 1
		b.event(0, u)
		for _, e := range c.before {
			b.event(0, e)
		}
		var err error
		for _, a := range c.acts {
			if e := b.action(time.Second, a); e != nil {
				err = e
			}
		}
		if err == nil {
			t.Errorf("%s: not detected", name)
		}
	}
}
