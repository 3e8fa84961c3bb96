package policy

import (
	"fmt"
	"testing"
	"time"
)

// A failed connection marks a cache down, and the request is retried at the next cache in rendezvous order.
func TestConnectFailureMarksCacheDownAndRetries(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	g := s.fetch(s.handle(newRequest("a", "o")))
	next := s.fetch(s.handle(Outcome{ID: "a", Server: g.Server, Result: ConnectFailed}))
	if next.Server == g.Server {
		t.Fatal("the same cache again")
	}
	if again := s.fetch(s.handle(newRequest("b", "o"))); again.Server != next.Server {
		t.Fatalf("cache %d, want %d", again.Server, next.Server)
	}
}

// A cache is marked down after a number of consecutive attempts past their objective, and what waits there is
// cancelled.
func TestOverdueAttemptsMarkCacheDown(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	g := s.fetch(s.handle(newRequest("a", "o")))
	c := s.r.servers[g.Server]
	c.Limit = 100
	for i := range maxConsecutiveUnanswered - 1 {
		s.handle(newRequest(string(rune('A'+i)), "o"))
	}
	s.now += time.Second
	cancelled := 0
	for _, a := range append([]*attempt(nil), c.inFlight...) {
		for k, tm := range s.r.timers {
			if tm.kind == objectiveTimer && tm.attempt == a {
				for _, x := range s.handle(Timer{Token: k}) {
					if _, ok := x.(Cancel); ok {
						cancelled++
					}
				}
			}
		}
	}
	if !c.Down || cancelled != maxConsecutiveUnanswered {
		t.Fatalf("down %v, %d cancelled", c.Down, cancelled)
	}
	// It was silent, not unreachable: after a successful probe it is in its ramp but not in a warm-up.
	s.now += probeInterval
	g = s.fetch(s.handle(newRequest("t", "o")))
	if g.Server != c.ID {
		t.Fatalf("the probe went to %d", g.Server)
	}
	s.answer("t", g, NoteHit, 10*ms)
	if c.Down || c.WarmingUp || !c.Ramping {
		t.Errorf("down %v, warming up %v, ramping %v", c.Down, c.WarmingUp, c.Ramping)
	}
}

// Three overdue attempts are enough for a cache that each of many routers uses every twenty seconds.
func TestOverdueAttemptsMarkRarelyUsedCacheDown(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	g := s.fetch(s.handle(newRequest("first", "o")))
	s.answer("first", g, NoteHit, 10*ms)
	c, lost := s.r.servers[g.Server], 0
	for ; !c.Down && lost < maxConsecutiveUnanswered; lost++ {
		s.now += 20 * time.Second
		id := fmt.Sprint(lost)
		s.handle(newRequest(id, "o"))
		a := s.r.requests[id].attempts[0]
		s.r.objectiveMissed(a)
		s.handle(Outcome{ID: id, Server: g.Server, Result: TimedOut, Final: true})
	}
	if lost != rarelyUsedMaxUnanswered {
		t.Errorf("down after %d", lost)
	}
}

// A cache whose connections break again and again, or that fails requests which others serve, is marked down.
func TestFailureRateMarksCacheDown(t *testing.T) {
	for _, result := range []Result{Reset, Failed} {
		s := startRouter(t, settings(), fleet())
		g := s.fetch(s.handle(newRequest("a", "o")))
		c := s.r.servers[g.Server]
		for i := range 8 {
			s.now += time.Second
			id := string(rune('A' + i))
			if g := s.fetch(s.handle(newRequest(id, "o"))); g.Server == c.ID {
				next := s.fetch(s.handle(Outcome{ID: id, Server: c.ID, Result: result}))
				s.handle(Outcome{ID: id, Attempt: 1, Server: next.Server, Result: OK, Note: NoteHit})
			}
		}
		if !c.Down {
			t.Errorf("result %d: failure rate %v and still up", result, c.FailureRate)
		}
		// No connection was refused, so its process has not restarted and needs no warm-up.
		s.now += probeInterval
		s.handle(newRequest("probe", "o"))
		s.handle(Outcome{ID: "probe", Server: c.ID, Result: OK, Note: NoteHit})
		if c.Down || c.WarmingUp {
			t.Errorf("result %d: after its probe down %v, warming up %v", result, c.Down, c.WarmingUp)
		}
	}
}

// A request that fails at two caches is given up and counted against neither, so that invalid requests mark
// no cache down.
func TestRequestFailingEverywhereIsGivenUp(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	for i := range 20 {
		id := fmt.Sprint("bad", i)
		s.now += time.Second
		g := s.fetch(s.handle(newRequest(id, "o")))
		g = s.fetch(s.handle(Outcome{ID: id, Server: g.Server, Result: Failed}))
		if _, ok := find[Reject](s.handle(Outcome{ID: id, Attempt: 1, Server: g.Server, Result: Failed})); !ok {
			t.Fatal("it was tried a third time")
		}
	}
	for _, c := range s.r.caches {
		if c.Down || c.FailureRate > 0 {
			t.Errorf("cache %d: down %v, failure rate %v", c.ID, c.Down, c.FailureRate)
		}
	}
}

// A broken connection ends all its attempts and counts as one failure.
func TestBrokenConnectionCountsAsOneFailure(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	for i := range 12 {
		s.handle(newRequest(fmt.Sprint(i), "o"))
	}
	c := s.r.requests["0"].attempts[0].server
	for i := range 12 {
		if a := s.r.requests[fmt.Sprint(i)].attempts[0]; a.server == c {
			s.handle(Outcome{ID: fmt.Sprint(i), Server: c.ID, Result: Reset})
		}
	}
	if c.Down || c.FailureRate != outcomeGain {
		t.Errorf("down %v, failure rate %v", c.Down, c.FailureRate)
	}
}
