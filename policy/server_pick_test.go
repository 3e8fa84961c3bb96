package policy

import (
	"testing"
	"time"
)

// A cache over its limit yields only to a cache with half of its slots free.
func TestCacheOverLimitYieldsOnlyToHalfEmptyCache(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	g := s.fetch(s.handle(newRequest("a", "o")))
	s.r.servers[g.Server].Limit = 0.5 // below its one attempt, whatever the draw and the limit fraction
	next := s.fetch(s.handle(newRequest("b", "o")))
	if next.Server == g.Server {
		t.Fatal("a cache over its limit did not yield")
	}
	for _, c := range s.r.caches {
		if c.ID != g.Server {
			c.Limit = 1.5
		}
	}
	s.fetch(s.handle(newRequest("c", "o")))
	if _, ok := find[Reject](s.handle(newRequest("d", "o"))); !ok {
		t.Error("yielded to a cache that was not half empty")
	}
}

// Caches that are only over their limits are not bypassed; with none up they are.
func TestBypassOnlyWithNoCacheUp(t *testing.T) {
	set := settings()
	set.MayBypassCaches = true
	s := startRouter(t, set, fleet())
	for _, c := range s.r.caches {
		c.Limit = 0
	}
	if _, ok := find[Reject](s.handle(newRequest("a", "o"))); !ok {
		t.Error("caches at their limits were bypassed")
	}
	for _, c := range s.r.caches {
		c.Down, c.NextProbe = true, s.now+time.Minute
	}
	if g := s.fetch(s.handle(newRequest("b", "o"))); g.Server != 11 && g.Server != 12 {
		t.Errorf("got %+v, want a parent", g)
	}
}
