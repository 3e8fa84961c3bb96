package policy

import (
	"fmt"
	"testing"
	"time"
)

// sized is a request whose own bytes take so long at a transfer's best pace.
func sized(id string, own time.Duration) Request {
	q := newRequest(id, "o"+id)
	q.SizeKB = own.Seconds() * sizedFlow
	return q
}

// sizedFlow is the pace of a transfer in KB a second where sizes are told.
const sizedFlow = 1000

func sizedSettings() Settings {
	set := settings()
	set.TransferKBPerS = sizedFlow
	return set
}

// A request whose transfer alone would take longer than the time left is answered at once, and one that just
// fits is sent.
func TestRequestTooLargeForDeadlineIsGivenUp(t *testing.T) {
	s := start(t, sizedSettings(), fleet())
	acts := s.on(sized("a", 3100*ms))
	if a, ok := find[Reject](acts); !ok || a.RetryAfter <= 0 {
		t.Errorf("got %v, want a refusal with advice at once", acts)
	}
	if len(s.r.requests) != 0 {
		t.Error("the request is still held")
	}
	g := s.get(s.on(sized("b", 2900*ms)))
	// A second attempt has less time left, and the same bytes to come.
	s.now += 200 * ms
	if _, ok := find[Reject](s.on(Outcome{ID: "b", Cache: g.Cache, Result: ConnectFailed})); !ok {
		t.Error("what no longer fits was sent again")
	}
}

// admitted is how many of a hundred routers take a request where places of its limit are taken: of caches, the location's link,
// or the sources. The places are set so that a whole limit has room for it and lowStanding of it has none.
func admitted(t *testing.T, set Settings, q Request, at func(r *Router) []*server) (count int) {
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
		if g, ok := find[Fetch](r.Handle(time.Minute, q, nil)); ok && g.Source != g.Cache {
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
	repeat := sized("r", 50*ms)
	repeat.ClientRetry = true
	for name, at := range places {
		set := sizedSettings()
		for what, c := range map[string]struct {
			q           Request
			least, most int
		}{
			"small": {sized("s", 50*ms), 100, 100}, "large": {sized("l", 1200*ms), 0, 0}, "repeat": {repeat, 0, 0},
		} {
			if got := admitted(t, set, c.q, at); got < c.least || got > c.most {
				t.Errorf("%s jammed: %d of 100 took the %s one, want %d to %d", name, got, what, c.least, c.most)
			}
		}
	}
}

// The high weight of writes, which no limit binds, does not lower the fraction of a limit that other classes
// may use.
func TestWritesDoNotAffectLimitFraction(t *testing.T) {
	for _, worth := range []float64{0.001, 1000} {
		set := sizedSettings()
		set.Classes[1].PriorityWeight = worth
		s := start(t, set, fleet())
		s.on(sized("a", 50*ms))
		if got := s.r.limitFraction(s.r.requests["a"]); got != 1 {
			t.Errorf("writes worth %v leave a small object %v of a limit, want all", worth, got)
		}
	}
}

// The fraction of a limit that a request may use falls in steps with its value, and is never 0.
func TestLimitFractionFallsInSteps(t *testing.T) {
	s := start(t, sizedSettings(), fleet())
	before := 1.0
	for i, own := range []time.Duration{50 * ms, 700 * ms, 2500 * ms} {
		id := fmt.Sprint(i)
		s.on(sized(id, own))
		got := s.r.limitFraction(s.r.requests[id])
		if i > 0 && got >= before || got <= 0.4 {
			t.Errorf("an object of %v has standing %v, after %v", own, got, before)
		}
		before = got
	}
}

// With no cache of the zone up, a request sent to a parent that is down is a probe: one at a time, with a
// probe's timeout, and its answer marks the parent up.
func TestBypassToDownParentIsProbe(t *testing.T) {
	set := settings()
	set.MayBypassCaches = true
	s := start(t, set, fleet())
	for _, c := range s.r.caches {
		c.Down, c.NextProbe = true, s.now+time.Minute
	}
	for _, p := range s.r.parents {
		p.Down, p.NextProbe = true, s.now
	}
	g := s.get(s.on(newRequest("a", "o")))
	parent := s.r.servers[g.Cache]
	if parent.role != 1 || !parent.probing || g.Timeout > 1500*ms {
		t.Fatalf("got %+v, want a parent on trial for half of the time at most", g)
	}
	if again := s.get(s.on(newRequest("b", "o"))); again.Cache == g.Cache {
		t.Errorf("parent %d has a second trial beside the first", again.Cache)
	}
	s.answer("a", g, NoteFilledOrigin, 10*ms)
	if parent.Down {
		t.Error("the trial's answer did not mark the parent up")
	}
}

// A parent or the origin that is asked directly gets no rank for the copy, as only caches have ranks.
func TestRetainRankIsSetOnlyAtCaches(t *testing.T) {
	set := settings()
	set.MayBypassCaches = true
	s := start(t, set, fleet())
	if g := s.get(s.on(newRequest("a", "o"))); g.RetainRank == 0 {
		t.Errorf("got %+v, want a copy kept at the cache", g)
	}
	for _, c := range s.r.caches {
		c.Down, c.NextProbe = true, s.now+time.Minute
	}
	if g := s.get(s.on(newRequest("b", "p"))); s.r.servers[g.Cache].role != roleParent || g.RetainRank != 0 {
		t.Errorf("got %+v, want a parent asked with no rank", g)
	}
}

// A write whose connection to the origin failed is retried after a pause, as the origin may be restarting.
func TestWriteRetriesAfterPauseWhenOriginConnectionFails(t *testing.T) {
	set := settings()
	set.MayBypassCaches, set.MaxAttempts = true, 8
	s := start(t, set, fleet())
	q := newRequest("a", "o")
	q.Class = 1
	acts := s.on(q)
	if a, ok := find[Lookup](acts); !ok || a.Cache != 20 {
		t.Fatalf("got %v, want the origin asked", acts)
	}
	acts = s.on(Outcome{ID: "a", Cache: 20, Result: ConnectFailed})
	for _, a := range acts {
		switch a := a.(type) {
		case Lookup:
			t.Errorf("asked %d again at once", a.Cache)
		case Fetch:
			if a.Source == 20 {
				t.Errorf("asked the origin again at once, by cache %d", a.Cache)
			}
		}
	}
}
