package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings describe a zone with parents and an origin; tests change what they need.
func settings() Settings {
	return Settings{
		Routers: 2, Zone: 2, ZoneRouters: []int{0, 0, 1, 1}, ParentKind: 1, OriginKind: 2,
		Classes: []Class{
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 6 * time.Second, PriorityWeight: 2},
			{LatencyObjective: 800 * ms, Deadline: 3 * time.Second, PriorityWeight: 3, Idempotency: NotIdempotent, Uncached: true},
			{LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 1, FreshFor: 8 * time.Second, StaleFor: 20 * time.Second},
		},
		SiblingFills: SiblingsInZone, CoalescesFills: true, OutcomeDetail: DetailAll, PurgeDuration: 6 * time.Second,
		PurgeGrace: 300 * ms, MaxAttempts: 6, CanCancel: true, SendsRetryAfter: true, MaxRetryAfter: time.Second,
		ConnectTimeout: 400 * ms, WeightsKnown: true, FinalAnswerGrace: 8 * ms, DrainGrace: 500 * ms,
		CacheWarmUp:  WarmUp{InitialCapacity: 0.2, Duration: 16 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second},
		ParentWarmUp: WarmUp{InitialCapacity: 0.06, Duration: 20 * time.Second, OverloadMultiple: 2, OverloadWindow: 2 * time.Second},
	}
}

// fleet returns caches 1 to 3 of the zone, parents 11 and 12 and origin 20.
func fleet() Members {
	m := Members{Kind: ListCached}
	for _, id := range []ServerID{1, 2, 3} {
		m.Entries = append(m.Entries, Member{ID: id, Zone: 2, Weight: 10})
	}
	for _, id := range []ServerID{11, 12} {
		m.Entries = append(m.Entries, Member{ID: id, Zone: 0, Kind: 1, Weight: 20})
	}
	m.Entries = append(m.Entries, Member{ID: 20, Kind: 2, Weight: 50})
	return m
}

// script drives one router with events at its own time.
type script struct {
	t   *testing.T
	r   *Router
	now Time
}

func startRouter(t *testing.T, s Settings, m Members) *script {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	sc := &script{t: t, r: r, now: time.Minute}
	sc.handle(m)
	return sc
}

func (s *script) handle(e Event) []Action { return s.r.Handle(s.now, e, nil) }

func find[A Action](acts []Action) (got A, ok bool) {
	for _, a := range acts {
		if x, is := a.(A); is {
			return x, true
		}
	}
	return got, false
}

func (s *script) fetch(acts []Action) Fetch {
	s.t.Helper()
	g, ok := find[Fetch](acts)
	if !ok {
		s.t.Fatalf("no fill was sent: %v", acts)
	}
	return g
}

func newRequest(id, object string) Request {
	return Request{ID: id, Object: object, TimeLeft: 3 * time.Second, Group: 1}
}

// New reports which setting is invalid.
func TestNewReportsInvalidField(t *testing.T) {
	for name, s := range map[string]Settings{
		"Settings.Classes is empty":       {},
		"Settings.Classes[0].Idempotency": {Classes: []Class{{Idempotency: 9, Deadline: 1}}},
		"Settings.Classes[0].Deadline":    {Classes: []Class{{}}},
	} {
		if _, err := New(s, 1); err == nil || !contains(err.Error(), name) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func contains(s, sub string) bool {
	for i := 0; i+len(sub) <= len(s); i++ {
		if s[i:i+len(sub)] == sub {
			return true
		}
	}
	return false
}

// answer ends a fetch with the given note after the given latency.
func (s *script) answer(id string, g Fetch, note Note, latency time.Duration) {
	s.handle(Outcome{ID: id, Server: g.Server, Result: OK, Note: note, Latency: latency, Final: true})
}

// When nothing is in flight no slot is occupied, also after outcomes that are late, repeated, or from
// replaced caches.
func TestNothingInFlightOccupiesNoSlots(t *testing.T) {
	set := settings()
	set.Routers, set.ZoneRouters = 200, []int{0, 0, 12}
	s := startRouter(t, set, fleet())
	notes := []Note{NoteHit, NoteFilled, NoteFilledOrigin, NoteSourceLost, NoteSourceRejected, NoteNoFillSlot, NoteSourceMiss}
	results := []Result{OK, OK, OK, Overloaded, Overloaded, Overloaded, Miss}
	type attempted struct {
		id    string
		no    int
		cache ServerID
	}
	var waiting []attempted
	sent := map[string]int{}
	take := func(acts []Action) {
		for _, a := range acts {
			if g, ok := a.(Fetch); ok {
				waiting = append(waiting, attempted{g.ID, sent[g.ID], g.Server})
				sent[g.ID]++
			}
		}
	}
	for i := range 300 {
		s.now += 10 * ms
		e := newRequest(fmt.Sprint(i), fmt.Sprint("o", i%40))
		e.Class = i % 3
		take(s.handle(e))
		if i == 150 {
			m := fleet()
			m.Kind, m.Entries[0].ID, m.Entries[0].Started = ListFull, 4, s.now
			take(s.handle(m))
		}
		if i%5 == 0 {
			for _, tm := range s.r.timers {
				if tm.kind == objectiveTimer && tm.attempt.open {
					s.r.objectiveMissed(tm.attempt)
				}
			}
		}
	}
	for n := 0; len(waiting) > 0; n++ {
		w := waiting[0]
		waiting = waiting[1:]
		o := Outcome{ID: w.id, Attempt: w.no, Server: w.cache, Result: results[n%7], Note: notes[n%7], Latency: 300 * ms}
		take(s.handle(o))
		take(s.handle(o)) // twice
	}
	for id, c := range s.r.servers {
		if len(c.inFlight)+c.openFills+c.exemptAttempts != 0 {
			t.Errorf("%d: %d in flight, %d fills, %d exempt from the limit", id, len(c.inFlight), c.openFills, c.exemptAttempts)
		}
	}
	if s.r.link.openFills != 0 {
		t.Errorf("%d fills left on the link", s.r.link.openFills)
	}
}

// An attempt with an outcome is not reachable any more from the list of attempts in flight.
func TestEndedAttemptsAreNotRetained(t *testing.T) {
	list := []*attempt{{index: 0}, {index: 1}, {index: 2}}
	for _, a := range slices.Clone(list) {
		list = removeFirst(list, a)
	}
	for i, a := range list[:cap(list)] {
		if a != nil {
			t.Errorf("slot %d still refers to attempt %d", i, a.index)
		}
	}
}
