package policy

import (
	"fmt"
	"testing"
	"time"
)

// sizedRequest is a request whose transfer takes the given time.
func sizedRequest(id string, own time.Duration) Request {
	q := newRequest(id, "o"+id)
	q.SizeKB = own.Seconds() * sizedTransferKBPerS
	return q
}

// sizedTransferKBPerS is the pace of a transfer in KB/s where sizes are known.
const sizedTransferKBPerS = 1000

func sizedSettings() Settings {
	set := settings()
	set.TransferKBPerS = sizedTransferKBPerS
	return set
}

// A request whose transfer alone would take longer than the time left is answered at once, and one that just
// fits is sent.
func TestRequestTooLargeForDeadlineIsGivenUp(t *testing.T) {
	s := startRouter(t, sizedSettings(), fleet())
	acts := s.handle(sizedRequest("a", 3100*ms))
	if a, ok := find[Reject](acts); !ok || a.RetryAfter <= 0 {
		t.Errorf("got %v, want a rejection with a Retry-After at once", acts)
	}
	if len(s.r.requests) != 0 {
		t.Error("the request was not forgotten")
	}
	g := s.fetch(s.handle(sizedRequest("b", 2900*ms)))
	// A second attempt has less time left, and the same bytes to come.
	s.now += 200 * ms
	if _, ok := find[Reject](s.handle(Outcome{ID: "b", Server: g.Server, Result: ConnectFailed})); !ok {
		t.Error("a transfer longer than the time left was sent again")
	}
}

// countAdmitted is how many of a hundred routers send a request where slots are occupied: of caches, the
// zone's link or the sources. So many are occupied that a whole limit admits it and lowValueLimitFraction of
// it does not.
func countAdmitted(t *testing.T, set Settings, q Request, at func(r *Router) []*server) (count int) {
	t.Helper()
	for seed := range 100 {
		r, err := New(set, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(time.Minute, fleet(), nil)
		for _, target := range at(r) {
			target.openFills, target.Limit, r.fillRate = 10, 12, 1
			r.limitScale = 1
			if target.role == roleCache && target != r.link {
				target.inFlight = make([]*attempt, 10)
				target.openFills = 0
			}
		}
		if g, ok := find[Fetch](r.Handle(time.Minute, q, nil)); ok && g.Source != g.Server {
			count++
		}
	}
	return count
}

// When a cache, the link or all sources are at their limits, requests with the most weight per transfer time
// are admitted, judged by their own size; client retries are not.
func TestOverloadAdmitsHighestValue(t *testing.T) {
	places := map[string]func(r *Router) []*server{
		"caches": func(r *Router) []*server { return r.caches },
		"link":   func(r *Router) []*server { return []*server{r.link} },
		"sources": func(r *Router) []*server {
			return append([]*server{r.origin}, r.parents...)
		},
	}
	repeat := sizedRequest("r", 50*ms)
	repeat.ClientRetry = true
	for name, at := range places {
		set := sizedSettings()
		for what, c := range map[string]struct {
			q           Request
			least, most int
		}{
			"small": {sizedRequest("s", 50*ms), 100, 100}, "large": {sizedRequest("l", 1200*ms), 0, 0}, "repeat": {repeat, 0, 0},
		} {
			if got := countAdmitted(t, set, c.q, at); got < c.least || got > c.most {
				t.Errorf("%s at their limits: %d of 100 admitted the %s one, want %d to %d", name, got, what, c.least, c.most)
			}
		}
	}
}

// The high weight of writes, which no limit binds, does not lower the fraction of a limit that other classes
// may use.
func TestWritesDoNotAffectLimitFraction(t *testing.T) {
	for _, weight := range []float64{0.001, 1000} {
		set := sizedSettings()
		set.Classes[1].PriorityWeight = weight
		s := startRouter(t, set, fleet())
		s.handle(sizedRequest("a", 50*ms))
		if got := s.r.limitFraction(s.r.requests["a"]); got != 1 {
			t.Errorf("writes of weight %v leave a small object %v of a limit, want all", weight, got)
		}
	}
}

// The fraction of a limit that a request may use falls in steps with its value, and is never 0.
func TestLimitFractionFallsInSteps(t *testing.T) {
	s := startRouter(t, sizedSettings(), fleet())
	before := 1.0
	for i, own := range []time.Duration{50 * ms, 700 * ms, 2500 * ms} {
		id := fmt.Sprint(i)
		s.handle(sizedRequest(id, own))
		got := s.r.limitFraction(s.r.requests[id])
		if i > 0 && got >= before || got <= 0.4 {
			t.Errorf("an object of %v may use %v of a limit, after %v", own, got, before)
		}
		before = got
	}
}

// With no cache of the zone up, a request sent to a parent that is down is a probe: one at a time, with a
// probe's timeout, and its answer marks the parent up.
func TestBypassToDownParentIsProbe(t *testing.T) {
	set := settings()
	set.MayBypassCaches = true
	s := startRouter(t, set, fleet())
	for _, c := range s.r.caches {
		c.Down, c.NextProbe = true, s.now+time.Minute
	}
	for _, p := range s.r.parents {
		p.Down, p.NextProbe = true, s.now
	}
	g := s.fetch(s.handle(newRequest("a", "o")))
	parent := s.r.servers[g.Server]
	if parent.role != 1 || !parent.probing || g.Timeout > 1500*ms {
		t.Fatalf("got %+v, want a probe of a parent for half of the time at most", g)
	}
	if again := s.fetch(s.handle(newRequest("b", "o"))); again.Server == g.Server {
		t.Errorf("parent %d is probed twice at once", again.Server)
	}
	s.answer("a", g, NoteFilledOrigin, 10*ms)
	if parent.Down {
		t.Error("the probe's answer did not mark the parent up")
	}
}

// A parent or the origin that is asked directly gets no rank for the copy, as only caches have ranks.
func TestRetainRankIsSetOnlyAtCaches(t *testing.T) {
	set := settings()
	set.MayBypassCaches = true
	s := startRouter(t, set, fleet())
	if g := s.fetch(s.handle(newRequest("a", "o"))); g.RetainRank == 0 {
		t.Errorf("got %+v, want a copy retained at the cache", g)
	}
	for _, c := range s.r.caches {
		c.Down, c.NextProbe = true, s.now+time.Minute
	}
	if g := s.fetch(s.handle(newRequest("b", "p"))); s.r.servers[g.Server].role != roleParent || g.RetainRank != 0 {
		t.Errorf("got %+v, want a parent and no rank", g)
	}
}

// A write whose connection to the origin failed is retried after a pause, as the origin may be restarting.
func TestWriteRetriesAfterPauseWhenOriginConnectionFails(t *testing.T) {
	set := settings()
	set.MayBypassCaches, set.MaxAttempts = true, 8
	s := startRouter(t, set, fleet())
	q := newRequest("a", "o")
	q.Class = 1
	acts := s.handle(q)
	if a, ok := find[Lookup](acts); !ok || a.Server != 20 {
		t.Fatalf("got %v, want an attempt at the origin", acts)
	}
	acts = s.handle(Outcome{ID: "a", Server: 20, Result: ConnectFailed})
	for _, a := range acts {
		switch a := a.(type) {
		case Lookup:
			t.Errorf("%d retried at once", a.Server)
		case Fetch:
			if a.Source == 20 {
				t.Errorf("origin retried at once, by cache %d", a.Server)
			}
		}
	}
}
