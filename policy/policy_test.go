package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings describe a location with parents and an origin; tests change what they are about.
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

// members: caches 1 to 3 of the location, parents 11 and 12, origin 20.
func fleet() Members {
	m := Members{Kind: ListCached}
	for _, id := range []CacheID{1, 2, 3} {
		m.Entries = append(m.Entries, Member{ID: id, Zone: 2, Weight: 10})
	}
	for _, id := range []CacheID{11, 12} {
		m.Entries = append(m.Entries, Member{ID: id, Zone: 0, Kind: 1, Weight: 20})
	}
	m.Entries = append(m.Entries, Member{ID: 20, Kind: 2, Weight: 50})
	return m
}

// script drives one router.
type script struct {
	t   *testing.T
	r   *Router
	now Time
}

func start(t *testing.T, s Settings, m Members) *script {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	sc := &script{t: t, r: r, now: time.Minute}
	sc.on(m)
	return sc
}

func (s *script) on(e Event) []Action { return s.r.Handle(s.now, e, nil) }

func find[A Action](acts []Action) (got A, ok bool) {
	for _, a := range acts {
		if x, is := a.(A); is {
			return x, true
		}
	}
	return got, false
}

func (s *script) get(acts []Action) Fetch {
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

// A miss is filled from the first parent, from the next one after a failed connection, and then from the
// origin.
func TestSourceChainFallsBackToNextParentThenOrigin(t *testing.T) {
	s := start(t, settings(), fleet())
	first := s.get(s.on(newRequest("a", "o")))
	if first.Source != 11 && first.Source != 12 {
		t.Fatalf("source %d is no parent", first.Source)
	}
	lost := Outcome{ID: "a", Cache: first.Cache, Result: Overloaded, Note: NoteSourceLost}
	second := s.get(s.on(lost))
	if second.Source == first.Source || second.Source == 20 {
		t.Fatalf("after parent %d came source %d", first.Source, second.Source)
	}
	lost.Attempt = 1
	if third := s.get(s.on(lost)); third.Source != 20 {
		t.Fatalf("with no parent up came source %d", third.Source)
	}
	// Both are down now: the next request goes to the origin at once.
	if g := s.get(s.on(newRequest("b", "p"))); g.Source != 20 {
		t.Fatalf("with no parent up came source %d", g.Source)
	}
	// After the interval one request is a trial; its filled answer marks the parent up.
	s.now += probeInterval
	g := s.get(s.on(newRequest("c", "o")))
	if g.Source != first.Source {
		t.Fatalf("the trial went to %d, not the default parent %d", g.Source, first.Source)
	}
	s.on(Outcome{ID: "c", Cache: g.Cache, Result: OK, Note: NoteFilled, Final: true})
	if s.r.servers[g.Source].Down {
		t.Error("a trial that was filled did not mark the parent up")
	}
}

// A failed connection marks a cache down, and the request is retried at the next cache in rendezvous order.
func TestConnectFailureMarksCacheDownAndRetries(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(newRequest("a", "o")))
	next := s.get(s.on(Outcome{ID: "a", Cache: g.Cache, Result: ConnectFailed}))
	if next.Cache == g.Cache {
		t.Fatal("the same cache again")
	}
	if again := s.get(s.on(newRequest("b", "o"))); again.Cache != next.Cache {
		t.Fatalf("cache %d, want %d", again.Cache, next.Cache)
	}
}

// A cache that is draining, or missing from a full list, gets no request and is named as no source.
func TestDrainingServersGetNoRequests(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(newRequest("a", "o")))
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: OK, Note: NoteHit, Final: true})
	s.on(Members{Kind: ListChanges, Entries: []Member{{ID: g.Cache, Zone: 2, State: Draining, Weight: 10}}})
	if g2 := s.get(s.on(newRequest("b", "o"))); g2.Cache == g.Cache || g2.Source == g.Cache {
		t.Fatalf("drained cache %d named: %+v", g.Cache, g2)
	}
	m := fleet()
	m.Kind, m.Entries = ListFull, m.Entries[3:]
	s.on(m)
	if acts := s.on(newRequest("c", "o")); len(acts) == 0 {
		t.Fatal("no answer")
	} else if _, ok := find[Reject](acts); !ok {
		t.Fatalf("no cache is left, and no refusal: %v", acts)
	}
}

// A purge sets a maximum age that excludes older copies and is never 0, and no fill that may have begun
// before it is joined.
func TestPurgeLimitsCopyAge(t *testing.T) {
	s := start(t, settings(), fleet())
	s.on(Purged{Object: "o", Group: 1, Age: 100 * ms})
	if g := s.get(s.on(newRequest("a", "o"))); g.MaxAge != 100*ms || g.Options&(Coalesce|RefreshInBackground) != 0 {
		t.Errorf("age %v, how %d", g.MaxAge, g.Options)
	}
	s.now += time.Second
	if g := s.get(s.on(newRequest("b", "o"))); g.MaxAge != 1100*ms {
		t.Errorf("age %v", g.MaxAge)
	}
	s.on(Purged{Group: 1})
	if g := s.get(s.on(newRequest("c", "p"))); g.MaxAge <= 0 || g.MaxAge > ms {
		t.Errorf("age %v after the group's purge", g.MaxAge)
	}
}

// While discovery is overdue, copies from before the last known time are not served, until discovery has
// caught up or no older copy is left. A later purge of the object still counts.
func TestDiscoveryOverdueLimitsCopyAge(t *testing.T) {
	s := start(t, settings(), fleet())
	s.on(DiscoveryOverdue{Overdue: true, Age: 200 * ms})
	if g := s.get(s.on(newRequest("a", "o"))); g.MaxAge != 200*ms || g.Options&(Coalesce|RefreshInBackground) != 0 {
		t.Errorf("age %v, how %d", g.MaxAge, g.Options)
	}
	s.now += 100 * ms
	s.on(Purged{Object: "o", Group: 1, Age: 50 * ms})
	if g := s.get(s.on(newRequest("b", "o"))); g.MaxAge != 50*ms {
		t.Errorf("age %v after a purge that is later", g.MaxAge)
	}
	if g := s.get(s.on(newRequest("c", "p"))); g.MaxAge != 300*ms {
		t.Errorf("age %v", g.MaxAge)
	}
	s.on(DiscoveryOverdue{})
	if g := s.get(s.on(newRequest("d", "p"))); g.MaxAge != 0 {
		t.Errorf("age %v once all is told", g.MaxAge)
	}
	if g := s.get(s.on(newRequest("e", "o"))); g.MaxAge != 50*ms {
		t.Errorf("age %v of what was purged", g.MaxAge)
	}
	s.on(DiscoveryOverdue{Overdue: true})
	s.now += 2*s.r.settings.PurgeDuration + ms
	if g := s.get(s.on(newRequest("f", "p"))); g.MaxAge != 0 {
		t.Errorf("age %v when no older copy is left", g.MaxAge)
	}
}

// A request that is not idempotent and may have been executed is neither retried nor rejected.
func TestNonIdempotentRequestIsNeitherRetriedNorRejected(t *testing.T) {
	for _, c := range []struct {
		result Result
		again  bool
	}{{TimedOut, false}, {Failed, false}, {Reset, false}, {Cancelled, false}, {Unknown, false}, {Overloaded, true}, {ConnectFailed, true}, {Miss, true}} {
		s := start(t, settings(), fleet())
		q := newRequest("a", "o")
		q.Class = 1
		g := s.get(s.on(q))
		if g.Source != 20 || g.RetainRank != 0 {
			t.Fatalf("an uncached request got source %d, keep %d", g.Source, g.RetainRank)
		}
		acts := s.on(Outcome{ID: "a", Cache: g.Cache, Result: c.result})
		_, sent := find[Fetch](acts)
		_, failed := find[Fail](acts)
		if sent != c.again || failed == c.again {
			t.Errorf("after result %d: %v", c.result, acts)
		}
	}
}

// A request whose outcomes never arrive gets its final answer at its deadline, once.
func TestDeadlineGivesOneFinalAnswer(t *testing.T) {
	s := start(t, settings(), fleet())
	acts := s.on(newRequest("a", "o"))
	tm, _ := find[SetTimer](acts)
	s.now += 3 * time.Second
	if _, ok := find[Reject](s.on(Timer{Token: tm.Token})); !ok {
		t.Fatal("no final answer")
	}
	if acts := s.on(Outcome{ID: "a", Result: TimedOut}); len(acts) != 0 {
		t.Fatalf("after the final answer: %v", acts)
	}
}

// All routers of a zone together keep a warming cache within its budget in any window, also where the part of
// one router is far below one attempt, and still use most of the budget.
func TestWarmUpBudgetIsSharedByRouters(t *testing.T) {
	const took, step = 300 * ms, 100 * ms
	for name, routers := range map[string]int{"one": 1, "a few": 5, "more than its transfers": 200} {
		t.Run(name, func(t *testing.T) {
			set := settings()
			set.Routers, set.ZoneRouters = routers, []int{0, 0, routers}
			m := fleet()
			m.Entries = append(m.Entries[:1], m.Entries[5])
			m.Entries[0].Started = time.Minute
			var all []*Router
			for i := range routers {
				r, err := New(set, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				r.Handle(time.Minute, m, nil)
				all = append(all, r)
			}
			var sent []int // by step
			for n := range 80 {
				now := time.Minute + time.Duration(n)*step
				sent = append(sent, 0)
				for i, r := range all {
					for k := range max(2, 60/routers) {
						id := fmt.Sprint(n, i, k)
						acts := r.Handle(now, newRequest(id, id), nil)
						if g, ok := find[Fetch](acts); ok && g.Cache == 1 {
							sent[n]++
							r.Handle(now, Outcome{ID: id, Cache: 1, Result: OK, Note: NoteHit, Latency: took}, nil)
						}
					}
				}
				asked := 0.0
				for _, s := range sent[max(0, n-19):] {
					asked += took.Seconds() * float64(s)
				}
				capacity := 10 * (0.2 + 0.8*float64(n)*step.Seconds()/16)
				if budget := 3 * capacity * 2; asked > budget || n == 79 && asked < budget/4 {
					t.Fatalf("at %v it was asked for %.1f s in 2 s, budget %.1f", now-time.Minute, asked, budget)
				}
			}
		})
	}
}

// The parts of an object are spread over the zone's caches, and are filled from one parent.
func TestPartsSpreadOverCachesAndShareParent(t *testing.T) {
	set := settings()
	set.Classes[0].Multipart = true
	s := start(t, set, fleet())
	caches, parents := map[CacheID]bool{}, map[CacheID]bool{}
	for part := range 12 {
		q := newRequest(string(rune('a'+part)), "o")
		q.Part = part
		g := s.get(s.on(q))
		caches[g.Cache], parents[g.Source] = true, true
	}
	if len(caches) < 2 || len(parents) != 1 {
		t.Errorf("parts went to caches %v and parents %v", caches, parents)
	}
}

// answer ends a fill as done with this note after this long.
func (s *script) answer(id string, g Fetch, note Note, took time.Duration) {
	s.on(Outcome{ID: id, Cache: g.Cache, Result: OK, Note: note, Latency: took, Final: true})
}

// Late answers lower the concurrency limit, and requests beyond it are rejected at once, with a Retry-After.
func TestLateAnswersLowerLimit(t *testing.T) {
	s := start(t, settings(), fleet())
	var gets []Fetch
	for i := range 10 {
		gets = append(gets, s.get(s.on(newRequest(string(rune('A'+i)), "o"))))
	}
	c := s.r.servers[gets[0].Cache]
	s.now += time.Second
	for _, a := range c.inFlight[:2] {
		a.late = true
	}
	s.answer("A", gets[0], NoteHit, time.Second)
	s.now += limitUpdateInterval
	s.answer("B", gets[1], NoteHit, time.Second)
	if c.Limit > cacheLimitStart*limitDecrease*limitDecrease+0.01 {
		t.Errorf("the limit is %v after two late answers", c.Limit)
	}
	for _, c := range s.r.caches {
		c.Limit = 0
	}
	if a, ok := find[Reject](s.on(newRequest("z", "o"))); !ok || a.RetryAfter <= 0 {
		t.Error("with every cache crowded the request was not refused with advice")
	}
}

// A late answer of a mostly idle cache is taken for a large object and leaves the limit as it is.
func TestLateAnswerAtIdleCacheKeepsLimit(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(newRequest("a", "o")))
	c := s.r.servers[g.Cache]
	c.inFlight[0].late = true
	s.answer("a", g, NoteHit, 5*time.Second)
	if c.Limit != cacheLimitStart {
		t.Errorf("the limit is %v", c.Limit)
	}
}

// A cache without a slot for a fill still serves hits.
func TestNoFillSlotStillServesHits(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(newRequest("a", "o")))
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: Overloaded, Note: NoteNoFillSlot})
	if h := s.get(s.on(newRequest("b", "o"))); h.Cache != g.Cache || h.Source != g.Cache {
		t.Errorf("got %+v, want cache %d asked for what it holds", h, g.Cache)
	}
}

// A lookup that found nothing at a warming parent stays charged to its budget in full.
func TestSourceMissIsChargedToWarmUpBudget(t *testing.T) {
	m := fleet()
	m.Entries = append(m.Entries[:4], m.Entries[5:]...) // one parent
	m.Entries[3].Started = time.Minute - 30*time.Second // after its ramp
	set := settings()
	set.ParentWarmUp.Duration = 40 * time.Second
	s := start(t, set, m)
	p := s.r.servers[11]
	p.Credit, p.CreditUpdated = 1, s.now
	s.r.peakLoad[roleParent] = 100
	s.r.withinWarmUpBudget(p)
	before := p.Credit
	g := s.get(s.on(newRequest("a", "o")))
	if g.Source != 11 {
		t.Fatalf("got %+v, want the parent as source", g)
	}
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: Miss, Note: NoteSourceMiss})
	if spent := before - p.Credit; spent < s.r.transferTime[0]*0.99 {
		t.Errorf("a look in vain left %v s booked, want %v", spent, s.r.transferTime[0])
	}
}

// A cache is marked down after a number of consecutive attempts past their objective, and what waits there is
// cancelled.
func TestOverdueAttemptsMarkCacheDown(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(newRequest("a", "o")))
	c := s.r.servers[g.Cache]
	c.Limit = 100
	for i := range maxConsecutiveOverdue - 1 {
		s.on(newRequest(string(rune('A'+i)), "o"))
	}
	s.now += time.Second
	cancelled := 0
	for _, a := range append([]*attempt(nil), c.inFlight...) {
		for k, tm := range s.r.timers {
			if tm.kind == objectiveTimer && tm.attempt == a {
				for _, x := range s.on(Timer{Token: k}) {
					if _, ok := x.(Cancel); ok {
						cancelled++
					}
				}
			}
		}
	}
	if !c.Down || cancelled != maxConsecutiveOverdue {
		t.Fatalf("down %v, %d called off", c.Down, cancelled)
	}
	// It was silent, not lost: when a trial is answered it is back, ramped but not cold.
	s.now += probeInterval
	g = s.get(s.on(newRequest("t", "o")))
	if g.Cache != c.ID {
		t.Fatalf("the trial went to %d", g.Cache)
	}
	s.answer("t", g, NoteHit, 10*ms)
	if c.Down || c.WarmingUp || !c.Ramping {
		t.Errorf("down %v, cold %v, ramp %v", c.Down, c.WarmingUp, c.Ramping)
	}
}

// Three overdue attempts are enough for a cache that each of many routers uses every twenty seconds.
func TestOverdueAttemptsMarkRarelyUsedCacheDown(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(newRequest("first", "o")))
	s.answer("first", g, NoteHit, 10*ms)
	c, lost := s.r.servers[g.Cache], 0
	for ; !c.Down && lost < maxConsecutiveOverdue; lost++ {
		s.now += 20 * time.Second
		id := fmt.Sprint(lost)
		s.on(newRequest(id, "o"))
		a := s.r.requests[id].attempts[0]
		s.r.objectiveMissed(a)
		s.on(Outcome{ID: id, Cache: g.Cache, Result: TimedOut, Final: true})
	}
	if lost != silentMinOverdue {
		t.Errorf("down after %d", lost)
	}
}

// A cache whose connections break again and again, or that fails requests which others serve, is marked down.
func TestFailureRateMarksCacheDown(t *testing.T) {
	for _, result := range []Result{Reset, Failed} {
		s := start(t, settings(), fleet())
		g := s.get(s.on(newRequest("a", "o")))
		c := s.r.servers[g.Cache]
		for i := range 8 {
			s.now += time.Second
			id := string(rune('A' + i))
			if g := s.get(s.on(newRequest(id, "o"))); g.Cache == c.ID {
				next := s.get(s.on(Outcome{ID: id, Cache: c.ID, Result: result}))
				s.on(Outcome{ID: id, Attempt: 1, Cache: next.Cache, Result: OK, Note: NoteHit})
			}
		}
		if !c.Down {
			t.Errorf("result %d: failing share %v and still up", result, c.FailureRate)
		}
		// Its process ran all the time, as no connection was refused: taken as cold, it would serve little.
		s.now += probeInterval
		s.on(newRequest("trial", "o"))
		s.on(Outcome{ID: "trial", Cache: c.ID, Result: OK, Note: NoteHit})
		if c.Down || c.WarmingUp {
			t.Errorf("result %d: after its trial down %v, cold %v", result, c.Down, c.WarmingUp)
		}
	}
}

// A request that fails at two caches is given up and counted against neither, so that invalid requests mark
// no cache down.
func TestRequestFailingEverywhereIsGivenUp(t *testing.T) {
	s := start(t, settings(), fleet())
	for i := range 20 {
		id := fmt.Sprint("bad", i)
		s.now += time.Second
		g := s.get(s.on(newRequest(id, "o")))
		g = s.get(s.on(Outcome{ID: id, Cache: g.Cache, Result: Failed}))
		if _, ok := find[Reject](s.on(Outcome{ID: id, Attempt: 1, Cache: g.Cache, Result: Failed})); !ok {
			t.Fatal("it was tried a third time")
		}
	}
	for _, c := range s.r.caches {
		if c.Down || c.FailureRate > 0 {
			t.Errorf("cache %d: down %v, failing share %v", c.ID, c.Down, c.FailureRate)
		}
	}
}

// A broken connection ends all its attempts and counts as one failure.
func TestBrokenConnectionCountsAsOneFailure(t *testing.T) {
	s := start(t, settings(), fleet())
	for i := range 12 {
		s.on(newRequest(fmt.Sprint(i), "o"))
	}
	c := s.r.requests["0"].attempts[0].server
	for i := range 12 {
		if a := s.r.requests[fmt.Sprint(i)].attempts[0]; a.server == c {
			s.on(Outcome{ID: fmt.Sprint(i), Cache: c.ID, Result: Reset})
		}
	}
	if c.Down || c.FailureRate != outcomeGain {
		t.Errorf("down %v, failing share %v", c.Down, c.FailureRate)
	}
}

// Timeouts lower the limit of the server involved that is late most often, be it the parent, the cache or the
// origin: a server that answers some requests is never marked down for silence.
func TestTimeoutsLowerLimitOfMostOverdueServer(t *testing.T) {
	for _, bad := range []CacheID{1, 11, 20} {
		s := start(t, settings(), fleet())
		watched := []*server{s.r.servers[11], s.r.origin}
		for _, w := range watched {
			w.Limit = 1.5 // one that is hardly used says nothing
		}
		for i := range 90 {
			id := fmt.Sprint(i)
			g, sent := find[Fetch](s.on(newRequest(id, fmt.Sprint("o", i))))
			if s.now += 200 * ms; !sent {
				continue // by chance: places are few
			}
			deep := i%2 == 0 // every second object is one that its parent lacks
			switch by := s.r.servers[g.Cache]; {
			case g.Cache == bad || g.Source == bad && g.Cache != bad || bad == 20 && deep && g.Options&CachedOnly == 0:
				by.LastAnswer = s.now
				s.on(Outcome{ID: id, Cache: g.Cache, Result: TimedOut, Latency: 2900 * ms})
			case g.Source == g.Cache || i%3 == 0:
				s.answer(id, g, NoteHit, 50*ms)
			case deep:
				s.answer(id, g, NoteFilledOrigin, 50*ms)
			default:
				s.answer(id, g, NoteFilled, 50*ms)
			}
		}
		for _, w := range watched {
			if (w.Limit < 1.2) != (w.ID == bad) {
				t.Errorf("%d times out, the limit of %d went from 1.5 to %v", bad, w.ID, w.Limit)
			}
		}
	}
}

// An attempt lowers a limit as soon as its objective has passed, with the weight of the time since the last
// answer.
func TestMissedObjectiveLowersLimitBeforeOutcome(t *testing.T) {
	s := start(t, settings(), fleet())
	slow := s.r.servers[11]
	slow.Limit, slow.LateRate, slow.LimitUpdated = 1.5, 0.5, s.now
	for i := range 8 {
		acts := s.on(newRequest(fmt.Sprint(i), fmt.Sprint("o", i)))
		g, sent := find[Fetch](acts)
		if !sent || g.Source != 11 {
			continue
		}
		s.now = slow.LimitUpdated + 2*time.Second
		for token, due := range s.r.timers {
			if due.kind == objectiveTimer {
				s.on(Timer{Token: token})
			}
		}
		if want := 1.5 * math.Pow(limitDecrease, limitMaxUpdateWeight/s.r.limitScale); math.Abs(slow.Limit-want) > 1e-9 {
			t.Errorf("overdue after 2 s of silence, the limit is %v, want %v", slow.Limit, want)
		}
		return
	}
	t.Fatal("no fill went to parent 11")
}

// A fill that is late after an early first byte lowers the limit of the parent, or of the zone's link if all
// fills are late. Bytes that the origin delivered in time do not lower the origin's limit.
func TestLateFillAfterEarlyFirstByteLowersLinkLimit(t *testing.T) {
	for _, late := range []average{0, 1} { // of fills over the location's link so far
		s := start(t, settings(), fleet())
		g := s.get(s.on(newRequest("a", "o")))
		link, source, deep := s.r.link, s.r.servers[g.Source], s.r.origin
		for _, x := range []*server{link, source, deep} {
			x.Limit, x.LimitUpdated = 0.4, s.now
		}
		link.LateRate, source.LateRate = late, 0.5
		s.r.requests["a"].attempts[0].late = true
		s.on(Outcome{ID: "a", Cache: g.Cache, Result: OK, Note: NoteFilledOrigin, Latency: time.Second, SourceWait: 20 * ms})
		if (link.Limit != 0.4) != (late == 1) || (source.Limit < 0.4) != (late == 0) || deep.Limit <= 0.4 {
			t.Errorf("link late %v: limits of link, parent, origin %v, %v, %v", late, link.Limit, source.Limit, deep.Limit)
		}
	}
}

// A parent that quickly answers that it has no copy does not lower its late rate by that.
func TestSourceMissKeepsLateRate(t *testing.T) {
	s := start(t, settings(), fleet())
	s.r.origin.Limit = 0.01
	s.r.servers[11].LateRate, s.r.servers[12].LateRate = 0.5, 0.5
	g := s.get(s.on(newRequest("a", "o")))
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: Miss, Note: NoteSourceMiss})
	if got := s.r.servers[g.Source].LateRate; g.Options&CachedOnly == 0 || got != 0.5 {
		t.Errorf("after a look in vain at %d (how %b) its share of time-outs went from 0.5 to %v", g.Source, g.Options, got)
	}
}

// Once a router's part of the origin's capacity is taken, parents are asked only for their copies, in a fleet
// of three routers or of three hundred.
func TestOriginAtLimitStillAllowsParentHits(t *testing.T) {
	for _, routers := range []int{1, 3, 300} {
		set, list := settings(), fleet()
		set.Routers, set.ZoneRouters, set.WeightsKnown = routers, []int{0, 0, routers}, true
		s := start(t, set, list)
		for _, c := range s.r.caches {
			c.Limit = cacheLimitStart // the origin's limit alone is looked at
		}
		s.r.link.Limit, s.r.servers[11].Limit, s.r.servers[12].Limit = cacheLimitStart, cacheLimitStart, cacheLimitStart
		if most := sourceLimitStart; s.r.origin.Limit > most || s.r.origin.Limit > 40/float64(routers) {
			t.Errorf("%d routers: each starts with %v fills at the origin", routers, s.r.origin.Limit)
		}
		s.r.origin.Limit = 0.01
		g := s.get(s.on(newRequest("a", "o")))
		if g.Options&CachedOnly == 0 {
			t.Errorf("%d routers: a fill went to the origin behind %d while it was jammed", routers, g.Source)
		}
		s.r.origin.Limit = sourceLimitStart
		if g = s.get(s.on(newRequest("b", "o"))); g.Options&CachedOnly != 0 {
			t.Errorf("%d routers: the origin is free, and the fill may not use it", routers)
		}
	}
}

// A parent's rejection, or its report of a failed origin, lowers the limits of both.
func TestRejectionLowersLimitsOfParentAndOrigin(t *testing.T) {
	for _, note := range []Note{NoteSourceRejected, NoteOriginFailed} {
		s := start(t, settings(), fleet())
		g := s.get(s.on(newRequest("a", "o")))
		s.r.origin.Limit, s.r.servers[g.Source].Limit = 0.5, 1
		s.on(Outcome{ID: "a", Cache: g.Cache, Result: Overloaded, Note: note})
		if s.r.origin.Limit >= 0.5 || s.r.servers[g.Source].Limit >= 1 {
			t.Errorf("note %v: limits %v of the origin, %v of the parent", note, s.r.origin.Limit, s.r.servers[g.Source].Limit)
		}
	}
}

// A cache over its limit yields only to a cache with half of its slots free.
func TestCacheOverLimitYieldsOnlyToHalfEmptyCache(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(newRequest("a", "o")))
	s.r.servers[g.Cache].Limit = 0.5 // below its one attempt, whatever the draw and the class's standing
	next := s.get(s.on(newRequest("b", "o")))
	if next.Cache == g.Cache {
		t.Fatal("a crowded cache did not yield")
	}
	for _, c := range s.r.caches {
		if c.ID != g.Cache {
			c.Limit = 1.5
		}
	}
	s.get(s.on(newRequest("c", "o")))
	if _, ok := find[Reject](s.on(newRequest("d", "o"))); !ok {
		t.Error("yielded to a cache with no room to spare")
	}
}

// A cache that answered a hit is named as the source when another cache gets the request.
func TestRecentHitServerBecomesSource(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(newRequest("a", "o")))
	s.answer("a", g, NoteHit, 10*ms)
	s.r.servers[g.Cache].Limit = 0
	if n := s.get(s.on(newRequest("b", "o"))); n.Source != g.Cache || n.Options&CachedOnly == 0 {
		t.Errorf("got %+v, want holder %d as source", n, g.Cache)
	}
	s.now += recentHitMaxAge + ms
	if n := s.get(s.on(newRequest("c", "o"))); n.Source == g.Cache {
		t.Error("the memory outlived its age")
	}
}

// Memory stays bounded while servers are replaced and while discovery fails repeatedly.
func TestReplacedServersAreForgotten(t *testing.T) {
	set := settings()
	set.WatchDiscovery = true
	s := start(t, set, Members{Kind: ListCached})
	for i := range 1000 {
		m := fleet()
		m.Kind, m.Entries[0].ID = ListFull, CacheID(1000+i)
		s.on(m)
	}
	if n := len(s.r.servers); n > 7 {
		t.Errorf("%d machines are held", n)
	}
	tm, ok := find[SetTimer](s.on(Members{Kind: ListFailed}))
	if !ok {
		t.Fatal("no further call after discovery failed")
	}
	if w, ok := find[Watch](s.on(Timer{Token: tm.Token})); !ok || !w.On {
		t.Error("discovery was not asked again")
	}
}

// A request with an idempotency key that may have been executed is retried only in its deduplication scope
// and window.
func TestKeyedRequestIsRetriedWithinDedupScopeAndWindow(t *testing.T) {
	set := settings()
	set.Classes[0].Idempotency, set.Classes[0].DedupScope, set.Classes[0].DedupWindow = IdempotentByKey, DedupCell, time.Second
	for name, c := range map[string]struct {
		cell func(CacheID) int
		wait time.Duration
		sent bool
	}{
		"others in the cell":    {func(CacheID) int { return 1 }, 0, true},
		"none in the cell":      {func(id CacheID) int { return int(id) }, 0, true}, // the same cache again
		"the window has passed": {func(CacheID) int { return 1 }, time.Second, false},
	} {
		m := fleet()
		for i := range m.Entries {
			m.Entries[i].Cell = c.cell(m.Entries[i].ID)
		}
		s := start(t, set, m)
		g := s.get(s.on(newRequest("a", "o")))
		s.now += c.wait
		acts := s.on(Outcome{ID: "a", Cache: g.Cache, Result: Reset})
		n, sent := find[Fetch](acts)
		if sent != c.sent || sent && c.cell(n.Cache) != c.cell(g.Cache) {
			t.Errorf("%s: %v", name, acts)
		}
		if _, refused := find[Reject](acts); refused {
			t.Errorf("%s: refused though it may have run", name)
		}
	}
}

// Routers that share a zone begin with their part of a cache's limit.
func TestCacheLimitStartsAtRoutersPart(t *testing.T) {
	set := settings()
	set.ZoneRouters = []int{0, 0, 4, 1}
	s := start(t, set, fleet())
	if got := s.r.servers[1].Limit; got != cacheLimitStart/4 {
		t.Errorf("the limit starts at %v", got)
	}
}

// Routers that have one fill in flight now and then leave the origin's limit at their part: all together
// would otherwise overload it after a purge of everything.
func TestRarelyUsedSourceKeepsFirstLimit(t *testing.T) {
	for _, routers := range []int{1, 80, 800} {
		set := settings()
		set.Routers, set.ZoneRouters = routers, []int{0, 0, min(7, routers)}
		s := start(t, set, fleet())
		for i := range 50 {
			s.now += time.Second
			s.answer(fmt.Sprint(i), s.get(s.on(newRequest(fmt.Sprint(i), fmt.Sprint(i)))), NoteFilledOrigin, 50*ms)
		}
		if all := float64(routers) * s.r.origin.Limit; all > 1.1*max(16, float64(routers)) {
			t.Errorf("%d routers let themselves have %v fills out at the origin", routers, all)
		}
	}
}

// Fills that are late after an early first byte lower the limit of the zone's link. While it is reached,
// caches are asked only for their copies.
func TestLinkAtLimitStopsFills(t *testing.T) {
	s := start(t, settings(), fleet())
	s.r.link.openFills = 20 // so that the limit is what decides
	was := s.r.link.Limit
	g := s.get(s.on(newRequest("a", "o")))
	source := s.r.servers[g.Source]
	before := source.Limit
	s.r.requests["a"].attempts[0].late = true
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: OK, Note: NoteFilled, Latency: 2 * time.Second, SourceWait: 20 * ms})
	if s.r.link.Limit >= was || source.Limit != before {
		t.Fatalf("link %v to %v, source %v to %v", was, s.r.link.Limit, before, source.Limit)
	}
	s.r.link.Limit = 0
	if g := s.get(s.on(newRequest("b", "p"))); g.Source != g.Cache {
		t.Errorf("got %+v, want the cache asked for what it holds", g)
	}
}

// A limit below one attempt admits a matching fraction of requests.
func TestLimitBelowOneAdmitsFraction(t *testing.T) {
	const routers = 200
	sent := 0
	for i := range routers {
		r, err := New(settings(), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(time.Minute, fleet(), nil)
		for _, p := range r.parents {
			p.Limit = 0.1
		}
		r.origin.Limit = 0
		if g, ok := find[Fetch](r.Handle(time.Minute, newRequest("a", "o"), nil)); ok && g.Source != g.Cache {
			sent++
		}
	}
	if sent < routers/20 || sent > routers/5 {
		t.Errorf("%d of %d routers named a parent with a limit of a tenth", sent, routers)
	}
}

// A source that rejects is at its limit, also where a cache reports it, and two such rejections end a
// request.
func TestRejectingSourceIsAvoided(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(newRequest("a", "o")))
	source := s.r.servers[g.Source]
	source.Limit = 1
	refused := Outcome{ID: "a", Cache: g.Cache, Result: Overloaded, Note: NoteSourceRejected}
	acts := s.on(refused)
	if source.Limit >= 1 {
		t.Errorf("its limit is %v after a refusal", source.Limit)
	}
	next := s.get(acts)
	refused.Attempt, refused.Cache = 1, next.Cache
	if _, ok := find[Reject](s.on(refused)); !ok {
		t.Error("no final answer after two refusals")
	}
}

// An attempt that waits for a silent source occupies no slot at its cache, and frees none twice.
func TestWaitingForSilentSourceOccupiesNoSlot(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(newRequest("a", "o")))
	c, a := s.r.servers[g.Cache], s.r.requests["a"].attempts[0]
	s.now += time.Second
	c.LastAnswer = s.now
	if s.r.objectiveMissed(a); s.r.occupied(c) != 0 {
		t.Errorf("%v places taken while it waits", s.r.occupied(c))
	}
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: TimedOut})
	if c.passThrough != 0 {
		t.Errorf("%d still booked as passing through", c.passThrough)
	}
}

// Caches that are only over their limits are not bypassed; with none up they are.
func TestBypassOnlyWithNoCacheUp(t *testing.T) {
	set := settings()
	set.MayBypassCaches = true
	s := start(t, set, fleet())
	for _, c := range s.r.caches {
		c.Limit = 0
	}
	if _, ok := find[Reject](s.on(newRequest("a", "o"))); !ok {
		t.Error("a jam went past its caches")
	}
	for _, c := range s.r.caches {
		c.Down, c.NextProbe = true, s.now+time.Minute
	}
	if g := s.get(s.on(newRequest("b", "o"))); g.Cache != 11 && g.Cache != 12 {
		t.Errorf("got %+v, want a parent", g)
	}
}

// Many small objects between few large ones do not lower the estimated transfer time, on which warm-up
// budgets rest.
func TestTransferTimeOfHeavyTailedSizes(t *testing.T) {
	set := settings()
	set.TransferKBPerS = 1000
	s := start(t, set, fleet())
	for i := range 2000 {
		e := newRequest(fmt.Sprint(i), "o")
		if e.SizeKB = 50; i%10 == 0 {
			e.SizeKB = 2550 // the mean is 0.3 s
		}
		g := s.get(s.on(e))
		s.now += 20 * ms
		s.on(Outcome{ID: e.ID, Cache: g.Cache, Result: OK, Note: NoteHit, Latency: 10 * ms})
	}
	if m := s.r.transferTime[0]; m < 0.2 || m > 0.4 {
		t.Errorf("the mean sending time came out at %.3f s, want 0.3", m)
	}
}

// When nothing is in flight no slot is occupied, also after outcomes that are late, repeated, or from
// replaced caches.
func TestNothingInFlightOccupiesNoSlots(t *testing.T) {
	set := settings()
	set.Routers, set.ZoneRouters = 200, []int{0, 0, 12}
	s := start(t, set, fleet())
	notes := []Note{NoteHit, NoteFilled, NoteFilledOrigin, NoteSourceLost, NoteSourceRejected, NoteNoFillSlot, NoteSourceMiss}
	results := []Result{OK, OK, OK, Overloaded, Overloaded, Overloaded, Miss}
	type attempted struct {
		id    string
		no    int
		cache CacheID
	}
	var waiting []attempted
	sent := map[string]int{}
	take := func(acts []Action) {
		for _, a := range acts {
			if g, ok := a.(Fetch); ok {
				waiting = append(waiting, attempted{g.ID, sent[g.ID], g.Cache})
				sent[g.ID]++
			}
		}
	}
	for i := range 300 {
		s.now += 10 * ms
		e := newRequest(fmt.Sprint(i), fmt.Sprint("o", i%40))
		e.Class = i % 3
		take(s.on(e))
		if i == 150 {
			m := fleet()
			m.Kind, m.Entries[0].ID, m.Entries[0].Started = ListFull, 4, s.now
			take(s.on(m))
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
		o := Outcome{ID: w.id, Attempt: w.no, Cache: w.cache, Result: results[n%7], Note: notes[n%7], Latency: 300 * ms}
		take(s.on(o))
		take(s.on(o)) // twice
	}
	for id, c := range s.r.servers {
		if len(c.inFlight)+c.openFills+c.passThrough != 0 {
			t.Errorf("%d: %d out, %d fills, %d passing through", id, len(c.inFlight), c.openFills, c.passThrough)
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
			t.Errorf("place %d still holds attempt %d", i, a.index)
		}
	}
}

// Writes are sent to the origin regardless of its limit, and their quick answers do not raise it for fills.
func TestWritesDoNotRaiseLimits(t *testing.T) {
	for _, writes := range []int{0, 40} {
		s := start(t, settings(), fleet())
		s.r.fillRate, s.r.originRate = 1, 1
		for round := range 20 {
			open := map[string]Fetch{}
			for i := range 10 {
				q := newRequest(fmt.Sprint("r", round, i), fmt.Sprint(round, i))
				if g, ok := find[Fetch](s.on(q)); ok && g.Source != g.Cache {
					open[q.ID] = g
				}
			}
			for i := range writes {
				q := newRequest(fmt.Sprint("w", round, i), "o")
				q.Class = 1
				s.answer(q.ID, s.get(s.on(q)), NoteFilledOrigin, 100*ms)
				s.now += 100 * ms
			}
			s.now += 3 * time.Second
			for id, g := range open {
				s.r.requests[id].attempts[0].late = true
				s.on(Outcome{ID: id, Cache: g.Cache, Result: OK, Note: NoteFilledOrigin, Latency: 3 * time.Second, SourceWait: time.Second, Final: true})
			}
		}
		if got := s.r.origin.Limit; got > 3 {
			t.Errorf("%d writes in time to ten fills that are late: the origin's limit is %.2f", writes, got)
		}
	}
}
