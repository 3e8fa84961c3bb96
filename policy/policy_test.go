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
			{Target: 400 * ms, AimStretch: 2, Deadline: 6 * time.Second, Worth: 2},
			{Target: 800 * ms, Deadline: 3 * time.Second, Worth: 3, Effect: Unsafe, Uncached: true},
			{Target: 400 * ms, Deadline: 3 * time.Second, Worth: 1, Fresh: 8 * time.Second, StaleFor: 20 * time.Second},
		},
		Siblings: ReachLocation, SharesFills: true, Details: DetailAll, PurgeTakes: 6 * time.Second,
		PurgeNotice: 300 * ms, MaxTries: 6, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second,
		ConnectWithin: 400 * ms, WeightsTold: true, AnswerSlack: 8 * ms, DrainGrace: 500 * ms,
		CacheFall:  Fall{ColdFrom: 0.2, WarmWithin: 16 * time.Second, Multiple: 3, Within: 2 * time.Second},
		ParentFall: Fall{ColdFrom: 0.06, WarmWithin: 20 * time.Second, Multiple: 2, Within: 2 * time.Second},
	}
}

// members: caches 1 to 3 of the location, parents 11 and 12, origin 20.
func fleet() Members {
	m := Members{Kind: ListStored}
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

func (s *script) get(acts []Action) Get {
	s.t.Helper()
	g, ok := find[Get](acts)
	if !ok {
		s.t.Fatalf("no fill was sent: %v", acts)
	}
	return g
}

func req(id, object string) Request {
	return Request{ID: id, Object: object, Left: 3 * time.Second, Group: 1}
}

func TestNewNamesTheField(t *testing.T) {
	for name, s := range map[string]Settings{
		"Settings.Classes is empty":    {},
		"Settings.Classes[0].Effect":   {Classes: []Class{{Effect: 9, Deadline: 1}}},
		"Settings.Classes[0].Deadline": {Classes: []Class{{}}},
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

// The chain: default parent, next parent up after a failed connection, then the origin.
func TestChainWalk(t *testing.T) {
	s := start(t, settings(), fleet())
	first := s.get(s.on(req("a", "o")))
	if first.Source != 11 && first.Source != 12 {
		t.Fatalf("source %d is no parent", first.Source)
	}
	lost := Outcome{ID: "a", Cache: first.Cache, Result: Full, Note: NoteSourceLost}
	second := s.get(s.on(lost))
	if second.Source == first.Source || second.Source == 20 {
		t.Fatalf("after parent %d came source %d", first.Source, second.Source)
	}
	lost.Attempt = 1
	if third := s.get(s.on(lost)); third.Source != 20 {
		t.Fatalf("with no parent up came source %d", third.Source)
	}
	// Both are down now: the next request goes to the origin at once.
	if g := s.get(s.on(req("b", "p"))); g.Source != 20 {
		t.Fatalf("with no parent up came source %d", g.Source)
	}
	// After the interval one request is a trial; its filled answer marks the parent up.
	s.now += trialEvery
	g := s.get(s.on(req("c", "o")))
	if g.Source != first.Source {
		t.Fatalf("the trial went to %d, not the default parent %d", g.Source, first.Source)
	}
	s.on(Outcome{ID: "c", Cache: g.Cache, Result: OK, Note: NoteFilled, Closed: true})
	if s.r.known[g.Source].Down {
		t.Error("a trial that was filled did not mark the parent up")
	}
}

// A failed connection marks a cache down, and the request goes on to the next in hash order.
func TestCacheDown(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(req("a", "o")))
	next := s.get(s.on(Outcome{ID: "a", Cache: g.Cache, Result: ConnectFailed}))
	if next.Cache == g.Cache {
		t.Fatal("the same cache again")
	}
	if again := s.get(s.on(req("b", "o"))); again.Cache != next.Cache {
		t.Fatalf("cache %d, want %d", again.Cache, next.Cache)
	}
}

// Nothing is sent to, or filled from, a cache that drains or is missing from a whole list.
func TestDrain(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(req("a", "o")))
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: OK, Note: NoteHit, Closed: true})
	s.on(Members{Kind: ListChanges, Entries: []Member{{ID: g.Cache, Zone: 2, State: Draining, Weight: 10}}})
	if g2 := s.get(s.on(req("b", "o"))); g2.Cache == g.Cache || g2.Source == g.Cache {
		t.Fatalf("drained cache %d named: %+v", g.Cache, g2)
	}
	m := fleet()
	m.Kind, m.Entries = ListWhole, m.Entries[3:]
	s.on(m)
	if acts := s.on(req("c", "o")); len(acts) == 0 {
		t.Fatal("no answer")
	} else if _, ok := find[Refuse](acts); !ok {
		t.Fatalf("no cache is left, and no refusal: %v", acts)
	}
}

// A purge sets an age that shuts out older copies, never 0, and joins nothing begun before.
func TestPurgeAge(t *testing.T) {
	s := start(t, settings(), fleet())
	s.on(Purged{Object: "o", Group: 1, Age: 100 * ms})
	if g := s.get(s.on(req("a", "o"))); g.Age != 100*ms || g.How&(Join|Renew) != 0 {
		t.Errorf("age %v, how %d", g.Age, g.How)
	}
	s.now += time.Second
	if g := s.get(s.on(req("b", "o"))); g.Age != 1100*ms {
		t.Errorf("age %v", g.Age)
	}
	s.on(Purged{Group: 1})
	if g := s.get(s.on(req("c", "p"))); g.Age <= 0 || g.Age > ms {
		t.Errorf("age %v after the group's purge", g.Age)
	}
}

// Discovery is overdue: whatever was made until a time may be purged, so copies from before it do for nobody, until all is told
// or no older copy is left anywhere. What a purge says of an object goes on counting where it is later.
func TestDiscoveryOverdue(t *testing.T) {
	s := start(t, settings(), fleet())
	s.on(Overdue{On: true, Age: 200 * ms})
	if g := s.get(s.on(req("a", "o"))); g.Age != 200*ms || g.How&(Join|Renew) != 0 {
		t.Errorf("age %v, how %d", g.Age, g.How)
	}
	s.now += 100 * ms
	s.on(Purged{Object: "o", Group: 1, Age: 50 * ms})
	if g := s.get(s.on(req("b", "o"))); g.Age != 50*ms {
		t.Errorf("age %v after a purge that is later", g.Age)
	}
	if g := s.get(s.on(req("c", "p"))); g.Age != 300*ms {
		t.Errorf("age %v", g.Age)
	}
	s.on(Overdue{})
	if g := s.get(s.on(req("d", "p"))); g.Age != 0 {
		t.Errorf("age %v once all is told", g.Age)
	}
	if g := s.get(s.on(req("e", "o"))); g.Age != 50*ms {
		t.Errorf("age %v of what was purged", g.Age)
	}
	s.on(Overdue{On: true})
	s.now += 2*s.r.set.PurgeTakes + ms
	if g := s.get(s.on(req("f", "p"))); g.Age != 0 {
		t.Errorf("age %v when no older copy is left", g.Age)
	}
}

// An unsafe request that may have run is neither sent again nor refused.
func TestUnsafe(t *testing.T) {
	for _, c := range []struct {
		result Result
		again  bool
	}{{TimedOut, false}, {Failed, false}, {Reset, false}, {Cancelled, false}, {Unknown, false}, {Full, true}, {ConnectFailed, true}, {Miss, true}} {
		s := start(t, settings(), fleet())
		q := req("a", "o")
		q.Class = 1
		g := s.get(s.on(q))
		if g.Source != 20 || g.Keep != 0 {
			t.Fatalf("an uncached request got source %d, keep %d", g.Source, g.Keep)
		}
		acts := s.on(Outcome{ID: "a", Cache: g.Cache, Result: c.result})
		_, sent := find[Get](acts)
		_, failed := find[Fail](acts)
		if sent != c.again || failed == c.again {
			t.Errorf("after result %d: %v", c.result, acts)
		}
	}
}

// A request whose outcomes never come still gets its final answer at its deadline, once.
func TestDeadline(t *testing.T) {
	s := start(t, settings(), fleet())
	acts := s.on(req("a", "o"))
	tm, _ := find[SetTimer](acts)
	s.now += 3 * time.Second
	if _, ok := find[Refuse](s.on(Timer{Token: tm.Token})); !ok {
		t.Fatal("no final answer")
	}
	if acts := s.on(Outcome{ID: "a", Result: TimedOut}); len(acts) != 0 {
		t.Fatalf("after the final answer: %v", acts)
	}
}

// All routers of a location together keep a cold cache within its budget in any window, also where the part
// of one is far below a single attempt, and still use most of it.
func TestColdBudget(t *testing.T) {
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
						acts := r.Handle(now, req(id, id), nil)
						if g, ok := find[Get](acts); ok && g.Cache == 1 {
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

// The parts of an object spread over the location's caches, and still meet at one parent.
func TestPartsSpread(t *testing.T) {
	set := settings()
	set.Classes[0].InParts = true
	s := start(t, set, fleet())
	caches, parents := map[CacheID]bool{}, map[CacheID]bool{}
	for part := range 12 {
		q := req(string(rune('a'+part)), "o")
		q.Part = part
		g := s.get(s.on(q))
		caches[g.Cache], parents[g.Source] = true, true
	}
	if len(caches) < 2 || len(parents) != 1 {
		t.Errorf("parts went to caches %v and parents %v", caches, parents)
	}
}

// answer ends a fill as done with this note after this long.
func (s *script) answer(id string, g Get, note Note, took time.Duration) {
	s.on(Outcome{ID: id, Cache: g.Cache, Result: OK, Note: note, Latency: took, Closed: true})
}

// A jam must not feed itself: late answers shrink what a router lets itself have out, and the rest is
// refused at once, with advice.
func TestLateAnswersShrinkTheLimit(t *testing.T) {
	s := start(t, settings(), fleet())
	var gets []Get
	for i := range 10 {
		gets = append(gets, s.get(s.on(req(string(rune('A'+i)), "o"))))
	}
	c := s.r.known[gets[0].Cache]
	s.now += time.Second
	for _, a := range c.out[:2] {
		a.late = true
	}
	s.answer("A", gets[0], NoteHit, time.Second)
	s.now += limitEvery
	s.answer("B", gets[1], NoteHit, time.Second)
	if c.Limit > limitStart*limitShrink*limitShrink+0.01 {
		t.Errorf("the limit is %v after two late answers", c.Limit)
	}
	for _, c := range s.r.caches {
		c.Limit = 0
	}
	if a, ok := find[Refuse](s.on(req("z", "o"))); !ok || a.RetryAfter <= 0 {
		t.Error("with every cache crowded the request was not refused with advice")
	}
}

// A late answer at a cache that is mostly idle is a large object, no jam: the limit stays.
func TestIdleCacheKeepsItsLimit(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(req("a", "o")))
	c := s.r.known[g.Cache]
	c.out[0].late = true
	s.answer("a", g, NoteHit, 5*time.Second)
	if c.Limit != limitStart {
		t.Errorf("the limit is %v", c.Limit)
	}
}

// No place for a fill is no reason to turn hits away.
func TestNoPlaceForFillStillServesHits(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(req("a", "o")))
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: Full, Note: NoteNoPlace})
	if h := s.get(s.on(req("b", "o"))); h.Cache != g.Cache || h.Source != g.Cache {
		t.Errorf("got %+v, want cache %d asked for what it holds", h, g.Cache)
	}
}

// A fill that found nothing stays booked in full on a cold parent's budget.
func TestLookInVainIsBooked(t *testing.T) {
	m := fleet()
	m.Entries = append(m.Entries[:4], m.Entries[5:]...) // one parent
	m.Entries[3].Started = time.Minute - 30*time.Second // after its ramp
	set := settings()
	set.ParentFall.WarmWithin = 40 * time.Second
	s := start(t, set, m)
	p := s.r.known[11]
	p.Credit, p.CreditAt = 1, s.now
	s.r.linkSeen[parent] = 100
	s.r.affords(p)
	before := p.Credit
	g := s.get(s.on(req("a", "o")))
	if g.Source != 11 {
		t.Fatalf("got %+v, want the parent as source", g)
	}
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: Miss, Note: NoteSourceLacks})
	if spent := before - p.Credit; spent < s.r.meanSend[0]*0.99 {
		t.Errorf("a look in vain left %v s booked, want %v", spent, s.r.meanSend[0])
	}
}

// Silence marks a cache down after so many in a row past their aim, and what waits there is called off.
func TestSilence(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(req("a", "o")))
	c := s.r.known[g.Cache]
	c.Limit = 100
	for i := range unansweredCount - 1 {
		s.on(req(string(rune('A'+i)), "o"))
	}
	s.now += time.Second
	cancelled := 0
	for _, a := range append([]*attempt(nil), c.out...) {
		for k, tm := range s.r.timers {
			if tm.kind == atAim && tm.a == a {
				for _, x := range s.on(Timer{Token: k}) {
					if _, ok := x.(Cancel); ok {
						cancelled++
					}
				}
			}
		}
	}
	if !c.Down || cancelled != unansweredCount {
		t.Fatalf("down %v, %d called off", c.Down, cancelled)
	}
	// It was silent, not lost: when a trial is answered it is back, ramped but not cold.
	s.now += trialEvery
	g = s.get(s.on(req("t", "o")))
	if g.Cache != c.ID {
		t.Fatalf("the trial went to %d", g.Cache)
	}
	s.answer("t", g, NoteHit, 10*ms)
	if c.Down || c.Colds || !c.Ramps {
		t.Errorf("down %v, cold %v, ramp %v", c.Down, c.Colds, c.Ramps)
	}
}

// A cache that hangs and that each of many routers meets every twenty seconds: three requests are late, not twenty.
func TestSilenceOfOneMetSeldom(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(req("first", "o")))
	s.answer("first", g, NoteHit, 10*ms)
	c, lost := s.r.known[g.Cache], 0
	for ; !c.Down && lost < unansweredCount; lost++ {
		s.now += 20 * time.Second
		id := fmt.Sprint(lost)
		s.on(req(id, "o"))
		a := s.r.reqs[id].attempts[0]
		s.r.overdue(a)
		s.on(Outcome{ID: id, Cache: g.Cache, Result: TimedOut, Closed: true})
	}
	if lost != silentCount {
		t.Errorf("down after %d", lost)
	}
}

// One that breaks off again and again, or fails what others serve, is down, whatever it connects.
func TestFailingShare(t *testing.T) {
	for _, result := range []Result{Reset, Failed} {
		s := start(t, settings(), fleet())
		g := s.get(s.on(req("a", "o")))
		c := s.r.known[g.Cache]
		for i := range 8 {
			s.now += time.Second
			id := string(rune('A' + i))
			if g := s.get(s.on(req(id, "o"))); g.Cache == c.ID {
				next := s.get(s.on(Outcome{ID: id, Cache: c.ID, Result: result}))
				s.on(Outcome{ID: id, Attempt: 1, Cache: next.Cache, Result: OK, Note: NoteHit})
			}
		}
		if !c.Down {
			t.Errorf("result %d: failing share %v and still up", result, c.FailShare)
		}
		// Its process ran all the time, as no connection was refused: taken as cold, it would serve little.
		s.now += trialEvery
		s.on(req("trial", "o"))
		s.on(Outcome{ID: "trial", Cache: c.ID, Result: OK, Note: NoteHit})
		if c.Down || c.Colds {
			t.Errorf("result %d: after its trial down %v, cold %v", result, c.Down, c.Colds)
		}
	}
}

// A request that crashes wherever it goes is given up at the second cache, and blamed on none: clients that
// ask for what can't be used once marked every cache down.
func TestRequestThatCrashes(t *testing.T) {
	s := start(t, settings(), fleet())
	for i := range 20 {
		id := fmt.Sprint("bad", i)
		s.now += time.Second
		g := s.get(s.on(req(id, "o")))
		g = s.get(s.on(Outcome{ID: id, Cache: g.Cache, Result: Failed}))
		if _, ok := find[Refuse](s.on(Outcome{ID: id, Attempt: 1, Cache: g.Cache, Result: Failed})); !ok {
			t.Fatal("it was tried a third time")
		}
	}
	for _, c := range s.r.caches {
		if c.Down || c.FailShare > 0 {
			t.Errorf("cache %d: down %v, failing share %v", c.ID, c.Down, c.FailShare)
		}
	}
}

// A connection that breaks off ends all that is open on it: one failure, however many they were.
func TestOneBreak(t *testing.T) {
	s := start(t, settings(), fleet())
	for i := range 12 {
		s.on(req(fmt.Sprint(i), "o"))
	}
	c := s.r.reqs["0"].attempts[0].to
	for i := range 12 {
		if a := s.r.reqs[fmt.Sprint(i)].attempts[0]; a.to == c {
			s.on(Outcome{ID: fmt.Sprint(i), Cache: c.ID, Result: Reset})
		}
	}
	if c.Down || c.FailShare != failGain {
		t.Errorf("down %v, failing share %v", c.Down, c.FailShare)
	}
}

// One that answers a part of what it is asked never trips the count of silence. A parent of that kind kept its
// limit while another took as many fills, and eighty routers went on waiting at it; when its time-outs were
// blamed on the origin as well, a cache of that kind shut the parents and the origin of sound ones.
func TestTimeOutsBlameWhoHasTheMost(t *testing.T) {
	for _, bad := range []CacheID{1, 11, 20} {
		s := start(t, settings(), fleet())
		watched := []*target{s.r.known[11], s.r.origin}
		for _, w := range watched {
			w.Limit = 1.5 // one that is hardly used says nothing
		}
		for i := range 90 {
			id := fmt.Sprint(i)
			g, sent := find[Get](s.on(req(id, fmt.Sprint("o", i))))
			if s.now += 200 * ms; !sent {
				continue // by chance: places are few
			}
			deep := i%2 == 0 // every second object is one that its parent lacks
			switch by := s.r.known[g.Cache]; {
			case g.Cache == bad || g.Source == bad && g.Cache != bad || bad == 20 && deep && g.How&HeldOnly == 0:
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

// A router that sees a parent once a second learned of its silence when the clients had left, two seconds later:
// an attempt speaks once its aim has passed, and for the silence before it.
func TestOverdueSpeaksAtOnce(t *testing.T) {
	s := start(t, settings(), fleet())
	slow := s.r.known[11]
	slow.Limit, slow.LateShare, slow.Heard = 1.5, 0.5, s.now
	for i := range 8 {
		acts := s.on(req(fmt.Sprint(i), fmt.Sprint("o", i)))
		g, sent := find[Get](acts)
		if !sent || g.Source != 11 {
			continue
		}
		s.now = slow.Heard + 2*time.Second
		for token, due := range s.r.timers {
			if due.kind == atAim {
				s.on(Timer{Token: token})
			}
		}
		if want := 1.5 * math.Pow(limitShrink, limitSpeaks/s.r.scale); math.Abs(slow.Limit-want) > 1e-9 {
			t.Errorf("overdue after 2 s of silence, the limit is %v, want %v", slow.Limit, want)
		}
		return
	}
	t.Fatal("no fill went to parent 11")
}

// A fill whose first byte came soon was late: its parent's link, or the location's where all fills are late. What the
// origin gave in time behind that parent does not lower the origin's limit.
func TestLateBytesBlameTheLinkOfOne(t *testing.T) {
	for _, late := range []share{0, 1} { // of fills over the location's link so far
		s := start(t, settings(), fleet())
		g := s.get(s.on(req("a", "o")))
		link, source, deep := s.r.link, s.r.known[g.Source], s.r.origin
		for _, x := range []*target{link, source, deep} {
			x.Limit, x.Heard = 0.4, s.now
		}
		link.LateShare, source.LateShare = late, 0.5
		s.r.reqs["a"].attempts[0].late = true
		s.on(Outcome{ID: "a", Cache: g.Cache, Result: OK, Note: NoteFilledOrigin, Latency: time.Second, Waited: 20 * ms})
		if (link.Limit != 0.4) != (late == 1) || (source.Limit < 0.4) != (late == 0) || deep.Limit <= 0.4 {
			t.Errorf("link late %v: limits of link, parent, origin %v, %v, %v", late, link.Limit, source.Limit, deep.Limit)
		}
	}
}

// A parent that is asked only for what it holds says at once what it lacks. Taken for answers in time, such
// looks cleared a jammed parent, and its time-outs were blamed on the idle origin behind it.
func TestLooksInVainClearNoSource(t *testing.T) {
	s := start(t, settings(), fleet())
	s.r.origin.Limit = 0.01
	s.r.known[11].LateShare, s.r.known[12].LateShare = 0.5, 0.5
	g := s.get(s.on(req("a", "o")))
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: Miss, Note: NoteSourceLacks})
	if got := s.r.known[g.Source].LateShare; g.How&HeldOnly == 0 || got != 0.5 {
		t.Errorf("after a look in vain at %d (how %b) its share of time-outs went from 0.5 to %v", g.Source, g.How, got)
	}
}

// A fleet of routers whose parents are asked for more than the origin bears: each asks them for what they hold
// alone once its own part of the origin is taken, whether it is one of three or of three hundred.
func TestJammedOriginLeavesParentsTheirHits(t *testing.T) {
	for _, routers := range []int{1, 3, 300} {
		set, list := settings(), fleet()
		set.Routers, set.ZoneRouters, set.WeightsTold = routers, []int{0, 0, routers}, true
		s := start(t, set, list)
		for _, c := range s.r.caches {
			c.Limit = limitStart // the origin's limit alone is looked at
		}
		s.r.link.Limit, s.r.known[11].Limit, s.r.known[12].Limit = limitStart, limitStart, limitStart
		if most := sourceStart; s.r.origin.Limit > most || s.r.origin.Limit > 40/float64(routers) {
			t.Errorf("%d routers: each starts with %v fills at the origin", routers, s.r.origin.Limit)
		}
		s.r.origin.Limit = 0.01
		g := s.get(s.on(req("a", "o")))
		if g.How&HeldOnly == 0 {
			t.Errorf("%d routers: a fill went to the origin behind %d while it was jammed", routers, g.Source)
		}
		s.r.origin.Limit = sourceStart
		if g = s.get(s.on(req("b", "o"))); g.How&HeldOnly != 0 {
			t.Errorf("%d routers: the origin is free, and the fill may not use it", routers)
		}
	}
}

// Whose limit falls when a parent refuses, or says that the origin failed: its own and the origin's.
func TestRefusalSpeaksForTheOrigin(t *testing.T) {
	for _, note := range []Note{NoteSourceRefused, NoteOriginFailed} {
		s := start(t, settings(), fleet())
		g := s.get(s.on(req("a", "o")))
		s.r.origin.Limit, s.r.known[g.Source].Limit = 0.5, 1
		s.on(Outcome{ID: "a", Cache: g.Cache, Result: Full, Note: note})
		if s.r.origin.Limit >= 0.5 || s.r.known[g.Source].Limit >= 1 {
			t.Errorf("note %v: limits %v of the origin, %v of the parent", note, s.r.origin.Limit, s.r.known[g.Source].Limit)
		}
	}
}

// A crowded pick yields only to a cache with half of its places free.
func TestYield(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(req("a", "o")))
	s.r.known[g.Cache].Limit = 0.5 // below its one attempt, whatever the draw and the class's standing
	next := s.get(s.on(req("b", "o")))
	if next.Cache == g.Cache {
		t.Fatal("a crowded cache did not yield")
	}
	for _, c := range s.r.caches {
		if c.ID != g.Cache {
			c.Limit = 1.5
		}
	}
	s.get(s.on(req("c", "o")))
	if _, ok := find[Refuse](s.on(req("d", "o"))); !ok {
		t.Error("yielded to a cache with no room to spare")
	}
}

// A hit makes its cache a holder, which is named as source when the pick has moved on.
func TestHolder(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(req("a", "o")))
	s.answer("a", g, NoteHit, 10*ms)
	s.r.known[g.Cache].Limit = 0
	if n := s.get(s.on(req("b", "o"))); n.Source != g.Cache || n.How&HeldOnly == 0 {
		t.Errorf("got %+v, want holder %d as source", n, g.Cache)
	}
	s.now += memoryAge + ms
	if n := s.get(s.on(req("c", "o"))); n.Source == g.Cache {
		t.Error("the memory outlived its age")
	}
}

// Memory stays bounded while a fleet replaces its machines, and while discovery fails and is asked again.
func TestReplacedMachinesAreForgotten(t *testing.T) {
	set := settings()
	set.AskDiscovery = true
	s := start(t, set, Members{Kind: ListStored})
	for i := range 1000 {
		m := fleet()
		m.Kind, m.Entries[0].ID = ListWhole, CacheID(1000+i)
		s.on(m)
	}
	if n := len(s.r.known); n > 7 {
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

// A keyed request that may have run goes only to its group, and only within its window.
func TestKeyedGroup(t *testing.T) {
	set := settings()
	set.Classes[0].Effect, set.Classes[0].Group, set.Classes[0].Window = Keyed, GroupCell, time.Second
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
		g := s.get(s.on(req("a", "o")))
		s.now += c.wait
		acts := s.on(Outcome{ID: "a", Cache: g.Cache, Result: Reset})
		n, sent := find[Get](acts)
		if sent != c.sent || sent && c.cell(n.Cache) != c.cell(g.Cache) {
			t.Errorf("%s: %v", name, acts)
		}
		if _, refused := find[Refuse](acts); refused {
			t.Errorf("%s: refused though it may have run", name)
		}
	}
}

// Routers that share a location start with their part of a cache's limit: together they filled it thrice.
func TestLimitStartsAtThisRoutersPart(t *testing.T) {
	set := settings()
	set.ZoneRouters = []int{0, 0, 4, 1}
	s := start(t, set, fleet())
	if got := s.r.known[1].Limit; got != limitStart/4 {
		t.Errorf("the limit starts at %v", got)
	}
}

// Routers that each have one fill out now and then leave the origin's limit at their part of the links: with room for
// two each, a fleet of them had ten times what the origin serves in time out at once when all copies went void.
func TestSeldomMetSourceKeepsItsPart(t *testing.T) {
	for _, routers := range []int{1, 80, 800} {
		set := settings()
		set.Routers, set.ZoneRouters = routers, []int{0, 0, min(7, routers)}
		s := start(t, set, fleet())
		for i := range 50 {
			s.now += time.Second
			s.answer(fmt.Sprint(i), s.get(s.on(req(fmt.Sprint(i), fmt.Sprint(i)))), NoteFilledOrigin, 50*ms)
		}
		if all := float64(routers) * s.r.origin.Limit; all > 1.1*max(16, float64(routers)) {
			t.Errorf("%d routers let themselves have %v fills out at the origin", routers, all)
		}
	}
}

// Fills late after a quick first byte lower the limit of the location's link, not the source's; while it is
// reached caches are asked for what they hold, so that fills without a client do not keep the link full.
func TestFullLinkStopsFills(t *testing.T) {
	s := start(t, settings(), fleet())
	s.r.link.fills = 20 // so that the limit is what decides
	was := s.r.link.Limit
	g := s.get(s.on(req("a", "o")))
	source := s.r.known[g.Source]
	before := source.Limit
	s.r.reqs["a"].attempts[0].late = true
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: OK, Note: NoteFilled, Latency: 2 * time.Second, Waited: 20 * ms})
	if s.r.link.Limit >= was || source.Limit != before {
		t.Fatalf("link %v to %v, source %v to %v", was, s.r.link.Limit, before, source.Limit)
	}
	s.r.link.Limit = 0
	if g := s.get(s.on(req("b", "p"))); g.Source != g.Cache {
		t.Errorf("got %+v, want the cache asked for what it holds", g)
	}
}

// A limit below one attempt lets its part through: many routers together neither stop nor flood the target.
func TestLimitBelowOneAttempt(t *testing.T) {
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
		if g, ok := find[Get](r.Handle(time.Minute, req("a", "o"), nil)); ok && g.Source != g.Cache {
			sent++
		}
	}
	if sent < routers/20 || sent > routers/5 {
		t.Errorf("%d of %d routers named a parent with a limit of a tenth", sent, routers)
	}
}

// A source that refuses is over its limit, at second hand too, and two such refusals end a request.
func TestRefusingSource(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(req("a", "o")))
	source := s.r.known[g.Source]
	source.Limit = 1
	refused := Outcome{ID: "a", Cache: g.Cache, Result: Full, Note: NoteSourceRefused}
	acts := s.on(refused)
	if source.Limit >= 1 {
		t.Errorf("its limit is %v after a refusal", source.Limit)
	}
	next := s.get(acts)
	refused.Attempt, refused.Cache = 1, next.Cache
	if _, ok := find[Refuse](s.on(refused)); !ok {
		t.Error("no final answer after two refusals")
	}
}

// What waits for a source that has been silent takes no place at its cache, and gives none back twice.
func TestWaitForSilentSourceTakesNoPlace(t *testing.T) {
	s := start(t, settings(), fleet())
	g := s.get(s.on(req("a", "o")))
	c, a := s.r.known[g.Cache], s.r.reqs["a"].attempts[0]
	s.now += time.Second
	c.LastAnswer = s.now
	if s.r.overdue(a); s.r.places(c) != 0 {
		t.Errorf("%v places taken while it waits", s.r.places(c))
	}
	s.on(Outcome{ID: "a", Cache: g.Cache, Result: TimedOut})
	if c.through != 0 {
		t.Errorf("%d still booked as passing through", c.through)
	}
}

// Past caches that are only crowded nothing goes to the parents; with none up it does.
func TestPassByOnlyWithNoCacheUp(t *testing.T) {
	set := settings()
	set.MayPassBy = true
	s := start(t, set, fleet())
	for _, c := range s.r.caches {
		c.Limit = 0
	}
	if _, ok := find[Refuse](s.on(req("a", "o"))); !ok {
		t.Error("a jam went past its caches")
	}
	for _, c := range s.r.caches {
		c.Down, c.TrialAt = true, s.now+time.Minute
	}
	if g := s.get(s.on(req("b", "o"))); g.Cache != 11 && g.Cache != 12 {
		t.Errorf("got %+v, want a parent", g)
	}
}

// A mean is not pulled down by many small objects between few large ones: a cold parent's budget rests on it.
func TestMeanOfHeavyTail(t *testing.T) {
	set := settings()
	set.FlowKBPerS = 1000
	s := start(t, set, fleet())
	for i := range 2000 {
		e := req(fmt.Sprint(i), "o")
		if e.SizeKB = 50; i%10 == 0 {
			e.SizeKB = 2550 // the mean is 0.3 s
		}
		g := s.get(s.on(e))
		s.now += 20 * ms
		s.on(Outcome{ID: e.ID, Cache: g.Cache, Result: OK, Note: NoteHit, Latency: 10 * ms})
	}
	if m := s.r.meanSend[0]; m < 0.2 || m > 0.4 {
		t.Errorf("the mean sending time came out at %.3f s, want 0.3", m)
	}
}

// When nothing is out no place is taken: not by an outcome that comes late, twice, or for a cache since replaced.
func TestBooksBalance(t *testing.T) {
	set := settings()
	set.Routers, set.ZoneRouters = 200, []int{0, 0, 12}
	s := start(t, set, fleet())
	notes := []Note{NoteHit, NoteFilled, NoteFilledOrigin, NoteSourceLost, NoteSourceRefused, NoteNoPlace, NoteSourceLacks}
	results := []Result{OK, OK, OK, Full, Full, Full, Miss}
	type attempted struct {
		id    string
		no    int
		cache CacheID
	}
	var waiting []attempted
	sent := map[string]int{}
	take := func(acts []Action) {
		for _, a := range acts {
			if g, ok := a.(Get); ok {
				waiting = append(waiting, attempted{g.ID, sent[g.ID], g.Cache})
				sent[g.ID]++
			}
		}
	}
	for i := range 300 {
		s.now += 10 * ms
		e := req(fmt.Sprint(i), fmt.Sprint("o", i%40))
		e.Class = i % 3
		take(s.on(e))
		if i == 150 {
			m := fleet()
			m.Kind, m.Entries[0].ID, m.Entries[0].Started = ListWhole, 4, s.now
			take(s.on(m))
		}
		if i%5 == 0 {
			for _, tm := range s.r.timers {
				if tm.kind == atAim && tm.a.open {
					s.r.overdue(tm.a)
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
	for id, c := range s.r.known {
		if len(c.out)+c.fills+c.through != 0 {
			t.Errorf("%d: %d out, %d fills, %d passing through", id, len(c.out), c.fills, c.through)
		}
	}
	if s.r.link.fills != 0 {
		t.Errorf("%d fills left on the link", s.r.link.fills)
	}
}

// An attempt that has its outcome is held by nothing: one left behind the end of a target's list kept its request and what that
// was sent to, and a fleet that replaces its machines would be remembered in a chain.
func TestEndedAttemptsAreLetGo(t *testing.T) {
	list := []*attempt{{no: 0}, {no: 1}, {no: 2}}
	for _, a := range slices.Clone(list) {
		list = without(list, a)
	}
	for i, a := range list[:cap(list)] {
		if a != nil {
			t.Errorf("place %d still holds attempt %d", i, a.no)
		}
	}
}

// What may not be repeated runs at the origin and is sent there past its limit. Answered in time by the hundred, small as it
// is, it raised the limit that fills keep to, while the largest of them waited for their bytes until their time was up.
func TestWritesRaiseNoLimit(t *testing.T) {
	for _, writes := range []int{0, 40} {
		s := start(t, settings(), fleet())
		s.r.fillShare, s.r.originShare = 1, 1
		for round := range 20 {
			open := map[string]Get{}
			for i := range 10 {
				q := req(fmt.Sprint("r", round, i), fmt.Sprint(round, i))
				if g, ok := find[Get](s.on(q)); ok && g.Source != g.Cache {
					open[q.ID] = g
				}
			}
			for i := range writes {
				q := req(fmt.Sprint("w", round, i), "o")
				q.Class = 1
				s.answer(q.ID, s.get(s.on(q)), NoteFilledOrigin, 100*ms)
				s.now += 100 * ms
			}
			s.now += 3 * time.Second
			for id, g := range open {
				s.r.reqs[id].attempts[0].late = true
				s.on(Outcome{ID: id, Cache: g.Cache, Result: OK, Note: NoteFilledOrigin, Latency: 3 * time.Second, Waited: time.Second, Closed: true})
			}
		}
		if got := s.r.origin.Limit; got > 3 {
			t.Errorf("%d writes in time to ten fills that are late: the origin's limit is %.2f", writes, got)
		}
	}
}
