package policy

import (
	"testing"
)

// A miss is filled from the first parent, from the next one after a failed connection, and then from the
// origin.
func TestSourceChainFallsBackToNextParentThenOrigin(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	first := s.fetch(s.handle(newRequest("a", "o")))
	if first.Source != 11 && first.Source != 12 {
		t.Fatalf("source %d is no parent", first.Source)
	}
	lost := Outcome{ID: "a", Server: first.Server, Result: Overloaded, Note: NoteSourceLost}
	second := s.fetch(s.handle(lost))
	if second.Source == first.Source || second.Source == 20 {
		t.Fatalf("after parent %d came source %d", first.Source, second.Source)
	}
	lost.Attempt = 1
	if third := s.fetch(s.handle(lost)); third.Source != 20 {
		t.Fatalf("with no parent up came source %d", third.Source)
	}
	// Both are down now: the next request goes to the origin at once.
	if g := s.fetch(s.handle(newRequest("b", "p"))); g.Source != 20 {
		t.Fatalf("with no parent up came source %d", g.Source)
	}
	// After the interval one request is a probe; its answer marks the parent up.
	s.now += probeInterval
	g := s.fetch(s.handle(newRequest("c", "o")))
	if g.Source != first.Source {
		t.Fatalf("the probe went to %d, not the default parent %d", g.Source, first.Source)
	}
	s.handle(Outcome{ID: "c", Server: g.Server, Result: OK, Note: NoteFilled, Final: true})
	if s.r.servers[g.Source].Down {
		t.Error("a probe that was answered did not mark the parent up")
	}
}

// Once a router's part of the origin's capacity is taken, parents are asked only for their copies, in a fleet
// of three routers or of three hundred.
func TestOriginAtLimitStillAllowsParentHits(t *testing.T) {
	for _, routers := range []int{1, 3, 300} {
		set, list := settings(), fleet()
		set.Routers, set.ZoneRouters, set.WeightsKnown = routers, []int{0, 0, routers}, true
		s := startRouter(t, set, list)
		for _, c := range s.r.caches {
			c.Limit = cacheLimitStart // only the origin's limit counts here
		}
		s.r.link.Limit, s.r.servers[11].Limit, s.r.servers[12].Limit = cacheLimitStart, cacheLimitStart, cacheLimitStart
		if most := sourceLimitStart; s.r.origin.Limit > most || s.r.origin.Limit > 40/float64(routers) {
			t.Errorf("%d routers: each starts with %v fills at the origin", routers, s.r.origin.Limit)
		}
		s.r.origin.Limit = 0.01
		g := s.fetch(s.handle(newRequest("a", "o")))
		if g.Options&CachedOnly == 0 {
			t.Errorf("%d routers: a fill went to the origin behind %d while it was at its limit", routers, g.Source)
		}
		s.r.origin.Limit = sourceLimitStart
		if g = s.fetch(s.handle(newRequest("b", "o"))); g.Options&CachedOnly != 0 {
			t.Errorf("%d routers: the origin is free, and the fill may not use it", routers)
		}
	}
}

// A cache that answered a hit is named as the source when another cache gets the request.
func TestRecentHitServerBecomesSource(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	g := s.fetch(s.handle(newRequest("a", "o")))
	s.answer("a", g, NoteHit, 10*ms)
	s.r.servers[g.Server].Limit = 0
	if n := s.fetch(s.handle(newRequest("b", "o"))); n.Source != g.Server || n.Options&CachedOnly == 0 {
		t.Errorf("got %+v, want cache %d as source", n, g.Server)
	}
	s.now += recentHitMaxAge + ms
	if n := s.fetch(s.handle(newRequest("c", "o"))); n.Source == g.Server {
		t.Error("a hit was used after recentHitMaxAge")
	}
}

// A source that rejects is at its limit, also where a cache reports it, and two such rejections end a
// request.
func TestRejectingSourceIsAvoided(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	g := s.fetch(s.handle(newRequest("a", "o")))
	source := s.r.servers[g.Source]
	source.Limit = 1
	refused := Outcome{ID: "a", Server: g.Server, Result: Overloaded, Note: NoteSourceRejected}
	acts := s.handle(refused)
	if source.Limit >= 1 {
		t.Errorf("its limit is %v after a rejection", source.Limit)
	}
	next := s.fetch(acts)
	refused.Attempt, refused.Server = 1, next.Server
	if _, ok := find[Reject](s.handle(refused)); !ok {
		t.Error("no final answer after two rejections")
	}
}
