package policy

import (
	"testing"
)

// A miss is filled from the first parent, from the next one after a failed connection, and then from the
// origin.
func TestSourceChainFallsBackToNextParentThenOrigin(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	first := h.requireFetch(h.handle(newRequest("a", "o")))
	if first.Source != 11 && first.Source != 12 {
		t.Fatalf("source %d is no parent", first.Source)
	}
	sourceLost := Outcome{ID: "a", Server: first.Server, Result: Overloaded, Note: NoteSourceLost}
	second := h.requireFetch(h.handle(sourceLost))
	if second.Source == first.Source || second.Source == 20 {
		t.Fatalf("after parent %d came source %d", first.Source, second.Source)
	}
	sourceLost.Attempt = 1
	if third := h.requireFetch(h.handle(sourceLost)); third.Source != 20 {
		t.Fatalf("with no parent up came source %d", third.Source)
	}
	// Both are down now: the next request goes to the origin at once.
	if fetch := h.requireFetch(h.handle(newRequest("b", "p"))); fetch.Source != 20 {
		t.Fatalf("with no parent up came source %d", fetch.Source)
	}
	// After the interval one request is a probe; its answer marks the parent up.
	h.now += probeInterval
	fetch := h.requireFetch(h.handle(newRequest("c", "o")))
	if fetch.Source != first.Source {
		t.Fatalf("the probe went to %d, not the default parent %d", fetch.Source, first.Source)
	}
	h.handle(Outcome{ID: "c", Server: fetch.Server, Result: OK, Note: NoteFilled, Final: true})
	if h.router.servers[fetch.Source].Down {
		t.Error("a probe that was answered did not mark the parent up")
	}
}

// Once a router's part of the origin's capacity is taken, parents are asked only for their copies, in a fleet
// of three routers or of three hundred.
func TestOriginAtLimitStillAllowsParentHits(t *testing.T) {
	for _, routers := range []int{1, 3, 300} {
		settings, members := testSettings(), testMembers()
		settings.Routers, settings.ZoneRouters, settings.WeightsKnown = routers, []int{0, 0, routers}, true
		h := startRouter(t, settings, members)
		for _, cache := range h.router.caches {
			cache.Limit = cacheLimitStart // only the origin's limit counts here
		}
		h.router.link.Limit, h.router.servers[11].Limit, h.router.servers[12].Limit = cacheLimitStart, cacheLimitStart, cacheLimitStart
		if most := sourceLimitStart; h.router.origin.Limit > most || h.router.origin.Limit > 40/float64(routers) {
			t.Errorf("%d routers: each starts with %v fills at the origin", routers, h.router.origin.Limit)
		}
		h.router.origin.Limit = 0.01
		fetch := h.requireFetch(h.handle(newRequest("a", "o")))
		if fetch.Options&CachedOnly == 0 {
			t.Errorf("%d routers: a fill went to the origin behind %d while it was at its limit", routers, fetch.Source)
		}
		h.router.origin.Limit = sourceLimitStart
		if fetch = h.requireFetch(h.handle(newRequest("b", "o"))); fetch.Options&CachedOnly != 0 {
			t.Errorf("%d routers: the origin is free, and the fill may not use it", routers)
		}
	}
}

// A cache that answered a hit is named as the source when another cache gets the request.
func TestRecentHitServerBecomesSource(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	h.answer("a", fetch, NoteHit, 10*ms)
	h.router.servers[fetch.Server].Limit = 0
	if next := h.requireFetch(h.handle(newRequest("b", "o"))); next.Source != fetch.Server || next.Options&CachedOnly == 0 {
		t.Errorf("got %+v, want cache %d as source", next, fetch.Server)
	}
	h.now += recentHitMaxAge + ms
	if next := h.requireFetch(h.handle(newRequest("c", "o"))); next.Source == fetch.Server {
		t.Error("a hit was used after recentHitMaxAge")
	}
}

// A source that rejects is at its limit, also where a cache reports it, and two such rejections end a
// request.
func TestRejectingSourceIsAvoided(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	source := h.router.servers[fetch.Source]
	source.Limit = 1
	rejected := Outcome{ID: "a", Server: fetch.Server, Result: Overloaded, Note: NoteSourceRejected}
	actions := h.handle(rejected)
	if source.Limit >= 1 {
		t.Errorf("its limit is %v after a rejection", source.Limit)
	}
	next := h.requireFetch(actions)
	rejected.Attempt, rejected.Server = 1, next.Server
	if _, ok := findAction[Reject](h.handle(rejected)); !ok {
		t.Error("no final answer after two rejections")
	}
}
