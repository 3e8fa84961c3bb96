package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Late answers lower the concurrency limit, and requests beyond it are rejected at once, with a Retry-After.
func TestLateAnswersLowerLimit(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	var gets []Fetch
	for i := range 10 {
		gets = append(gets, s.fetch(s.handle(newRequest(string(rune('A'+i)), "o"))))
	}
	c := s.r.servers[gets[0].Server]
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
	if a, ok := find[Reject](s.handle(newRequest("z", "o"))); !ok || a.RetryAfter <= 0 {
		t.Error("with every cache at its limit the request was not rejected with a Retry-After")
	}
}

// A late answer of a mostly idle cache is taken for a large object and leaves the limit as it is.
func TestLateAnswerAtIdleCacheKeepsLimit(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	g := s.fetch(s.handle(newRequest("a", "o")))
	c := s.r.servers[g.Server]
	c.inFlight[0].late = true
	s.answer("a", g, NoteHit, 5*time.Second)
	if c.Limit != cacheLimitStart {
		t.Errorf("the limit is %v", c.Limit)
	}
}

// A cache without a slot for a fill still serves hits.
func TestNoFillSlotStillServesHits(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	g := s.fetch(s.handle(newRequest("a", "o")))
	s.handle(Outcome{ID: "a", Server: g.Server, Result: Overloaded, Note: NoteNoFillSlot})
	if h := s.fetch(s.handle(newRequest("b", "o"))); h.Server != g.Server || h.Source != g.Server {
		t.Errorf("got %+v, want cache %d asked only for its copy", h, g.Server)
	}
}

// Timeouts lower the limit of the server involved that is late most often, be it the parent, the cache or the
// origin: a server that answers some requests is never marked down for silence.
func TestTimeoutsLowerLimitOfMostOverdueServer(t *testing.T) {
	for _, bad := range []ServerID{1, 11, 20} {
		s := startRouter(t, settings(), fleet())
		watched := []*server{s.r.servers[11], s.r.origin}
		for _, w := range watched {
			w.Limit = 1.5 // so that few attempts reach it
		}
		for i := range 90 {
			id := fmt.Sprint(i)
			g, sent := find[Fetch](s.handle(newRequest(id, fmt.Sprint("o", i))))
			if s.now += 200 * ms; !sent {
				continue // the draw was above the limit
			}
			deep := i%2 == 0 // every second object is missing at its parent
			switch by := s.r.servers[g.Server]; {
			case g.Server == bad || g.Source == bad && g.Server != bad || bad == 20 && deep && g.Options&CachedOnly == 0:
				by.LastAnswer = s.now
				s.handle(Outcome{ID: id, Server: g.Server, Result: TimedOut, Latency: 2900 * ms})
			case g.Source == g.Server || i%3 == 0:
				s.answer(id, g, NoteHit, 50*ms)
			case deep:
				s.answer(id, g, NoteFilledOrigin, 50*ms)
			default:
				s.answer(id, g, NoteFilled, 50*ms)
			}
		}
		for _, w := range watched {
			if (w.Limit < 1.2) != (w.ID == bad) {
				t.Errorf("%d times out; the limit of %d went from 1.5 to %v", bad, w.ID, w.Limit)
			}
		}
	}
}

// An attempt lowers a limit as soon as its objective has passed, with the weight of the time since the last
// answer.
func TestMissedObjectiveLowersLimitBeforeOutcome(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	slow := s.r.servers[11]
	slow.Limit, slow.LateRate, slow.LimitUpdated = 1.5, 0.5, s.now
	for i := range 8 {
		acts := s.handle(newRequest(fmt.Sprint(i), fmt.Sprint("o", i)))
		g, sent := find[Fetch](acts)
		if !sent || g.Source != 11 {
			continue
		}
		s.now = slow.LimitUpdated + 2*time.Second
		for token, due := range s.r.timers {
			if due.kind == objectiveTimer {
				s.handle(Timer{Token: token})
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
	for _, late := range []Fraction{0, 1} { // late rate of the link so far
		s := startRouter(t, settings(), fleet())
		g := s.fetch(s.handle(newRequest("a", "o")))
		link, source, deep := s.r.link, s.r.servers[g.Source], s.r.origin
		for _, x := range []*server{link, source, deep} {
			x.Limit, x.LimitUpdated = 0.4, s.now
		}
		link.LateRate, source.LateRate = late, 0.5
		s.r.requests["a"].attempts[0].late = true
		s.handle(Outcome{ID: "a", Server: g.Server, Result: OK, Note: NoteFilledOrigin, Latency: time.Second, SourceWait: 20 * ms})
		if (link.Limit != 0.4) != (late == 1) || (source.Limit < 0.4) != (late == 0) || deep.Limit <= 0.4 {
			t.Errorf("link late %v: limits of link, parent, origin %v, %v, %v", late, link.Limit, source.Limit, deep.Limit)
		}
	}
}

// A parent that quickly answers that it has no copy does not lower its late rate by that.
func TestSourceMissKeepsLateRate(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	s.r.origin.Limit = 0.01
	s.r.servers[11].LateRate, s.r.servers[12].LateRate = 0.5, 0.5
	g := s.fetch(s.handle(newRequest("a", "o")))
	s.handle(Outcome{ID: "a", Server: g.Server, Result: Miss, Note: NoteSourceMiss})
	if got := s.r.servers[g.Source].LateRate; g.Options&CachedOnly == 0 || got != 0.5 {
		t.Errorf("after a source miss at %d (options %b) its late rate went from 0.5 to %v", g.Source, g.Options, got)
	}
}

// A parent's rejection, or its report of a failed origin, lowers the limits of both.
func TestRejectionLowersLimitsOfParentAndOrigin(t *testing.T) {
	for _, note := range []Note{NoteSourceRejected, NoteOriginFailed} {
		s := startRouter(t, settings(), fleet())
		g := s.fetch(s.handle(newRequest("a", "o")))
		s.r.origin.Limit, s.r.servers[g.Source].Limit = 0.5, 1
		s.handle(Outcome{ID: "a", Server: g.Server, Result: Overloaded, Note: note})
		if s.r.origin.Limit >= 0.5 || s.r.servers[g.Source].Limit >= 1 {
			t.Errorf("note %v: limits %v of the origin, %v of the parent", note, s.r.origin.Limit, s.r.servers[g.Source].Limit)
		}
	}
}

// Routers that share a zone begin with their part of a cache's limit.
func TestCacheLimitStartsAtRoutersPart(t *testing.T) {
	set := settings()
	set.ZoneRouters = []int{0, 0, 4, 1}
	s := startRouter(t, set, fleet())
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
		s := startRouter(t, set, fleet())
		for i := range 50 {
			s.now += time.Second
			s.answer(fmt.Sprint(i), s.fetch(s.handle(newRequest(fmt.Sprint(i), fmt.Sprint(i)))), NoteFilledOrigin, 50*ms)
		}
		if all := float64(routers) * s.r.origin.Limit; all > 1.1*max(16, float64(routers)) {
			t.Errorf("%d routers allow themselves %v fills at the origin", routers, all)
		}
	}
}

// Fills that are late after an early first byte lower the limit of the zone's link. While it is reached,
// caches are asked only for their copies.
func TestLinkAtLimitStopsFills(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	s.r.link.openFills = 20 // so that the limit decides
	was := s.r.link.Limit
	g := s.fetch(s.handle(newRequest("a", "o")))
	source := s.r.servers[g.Source]
	before := source.Limit
	s.r.requests["a"].attempts[0].late = true
	s.handle(Outcome{ID: "a", Server: g.Server, Result: OK, Note: NoteFilled, Latency: 2 * time.Second, SourceWait: 20 * ms})
	if s.r.link.Limit >= was || source.Limit != before {
		t.Fatalf("link %v to %v, source %v to %v", was, s.r.link.Limit, before, source.Limit)
	}
	s.r.link.Limit = 0
	if g := s.fetch(s.handle(newRequest("b", "p"))); g.Source != g.Server {
		t.Errorf("got %+v, want the cache asked only for its copy", g)
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
		if g, ok := find[Fetch](r.Handle(time.Minute, newRequest("a", "o"), nil)); ok && g.Source != g.Server {
			sent++
		}
	}
	if sent < routers/20 || sent > routers/5 {
		t.Errorf("%d of %d routers named a parent with a limit of a tenth", sent, routers)
	}
}

// An attempt that waits for a silent source occupies no slot at its cache, and frees none twice.
func TestWaitingForSilentSourceOccupiesNoSlot(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	g := s.fetch(s.handle(newRequest("a", "o")))
	c, a := s.r.servers[g.Server], s.r.requests["a"].attempts[0]
	s.now += time.Second
	c.LastAnswer = s.now
	if s.r.objectiveMissed(a); s.r.occupied(c) != 0 {
		t.Errorf("%v slots occupied while it waits", s.r.occupied(c))
	}
	s.handle(Outcome{ID: "a", Server: g.Server, Result: TimedOut})
	if c.exemptAttempts != 0 {
		t.Errorf("%d still counted as exempt from the limit", c.exemptAttempts)
	}
}

// Writes are sent to the origin regardless of its limit, and their quick answers do not raise it for fills.
func TestWritesDoNotRaiseLimits(t *testing.T) {
	for _, writes := range []int{0, 40} {
		s := startRouter(t, settings(), fleet())
		s.r.fillRate, s.r.originRate = 1, 1
		for round := range 20 {
			open := map[string]Fetch{}
			for i := range 10 {
				q := newRequest(fmt.Sprint("r", round, i), fmt.Sprint(round, i))
				if g, ok := find[Fetch](s.handle(q)); ok && g.Source != g.Server {
					open[q.ID] = g
				}
			}
			for i := range writes {
				q := newRequest(fmt.Sprint("w", round, i), "o")
				q.Class = 1
				s.answer(q.ID, s.fetch(s.handle(q)), NoteFilledOrigin, 100*ms)
				s.now += 100 * ms
			}
			s.now += 3 * time.Second
			for id, g := range open {
				s.r.requests[id].attempts[0].late = true
				s.handle(Outcome{ID: id, Server: g.Server, Result: OK, Note: NoteFilledOrigin, Latency: 3 * time.Second, SourceWait: time.Second, Final: true})
			}
		}
		if got := s.r.origin.Limit; got > 3 {
			t.Errorf("%d writes in time to ten fills that are late: the origin's limit is %.2f", writes, got)
		}
	}
}
