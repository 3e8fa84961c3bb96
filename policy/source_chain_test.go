package policy

import (
	"testing"
)

// A miss is filled from the first parent in rendezvous order, from the next parent if the connection to that
// fails, and then from the origin.
func TestSourceChainFallsBackToNextParentThenOrigin(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	first := h.requireFetch(h.handle(newRequest("a", "o")))
	if first.Source != 11 && first.Source != 12 {
		t.Fatalf("got source %d, want a parent", first.Source)
	}
	sourceLost := Outcome{ID: "a", Server: first.Server, Result: Overloaded, Note: NoteSourceLost}
	second := h.requireFetch(h.handle(sourceLost))
	if second.Source == first.Source || second.Source == 20 {
		t.Fatalf("after the connection to parent %d failed, the source was %d, want the other parent", first.Source, second.Source)
	}
	sourceLost.Attempt = 1
	if third := h.requireFetch(h.handle(sourceLost)); third.Source != 20 {
		t.Fatalf("with no parent up, the source was %d, want the origin", third.Source)
	}
	// Both parents are down now, so the first attempt of the next request is filled from the origin.
	if fetch := h.requireFetch(h.handle(newRequest("b", "p"))); fetch.Source != 20 {
		t.Fatalf("with no parent up, the source was %d, want the origin", fetch.Source)
	}
	// After probeInterval one request probes the parent, and its answer marks the parent up.
	h.now += probeInterval
	fetch := h.requireFetch(h.handle(newRequest("c", "o")))
	if fetch.Source != first.Source {
		t.Fatalf("the probe went to source %d, want parent %d, the first in rendezvous order", fetch.Source, first.Source)
	}
	h.handle(Outcome{ID: "c", Server: fetch.Server, Result: OK, Note: NoteFilled, Final: true})
	if h.router.servers[fetch.Source].Down {
		t.Error("the parent is down after its probe was answered")
	}
}

// While the origin is at the limit of a router, parents may answer fills only from their copies. This holds
// for a single router, for three routers and for three hundred.
func TestOriginAtLimitStillAllowsParentHits(t *testing.T) {
	for _, routers := range []int{1, 3, 300} {
		settings, members := testSettings(), testMembers()
		settings.Routers, settings.ZoneRouters, settings.WeightsKnown = routers, []int{0, 0, routers}, true
		h := startRouter(t, settings, members)
		for _, cache := range h.router.caches {
			cache.Limit = cacheLimitStart // so that only the origin's limit matters
		}
		h.router.link.Limit, h.router.servers[11].Limit, h.router.servers[12].Limit = cacheLimitStart, cacheLimitStart, cacheLimitStart
		if maxLimit := sourceLimitStart; h.router.origin.Limit > maxLimit || h.router.origin.Limit > 40/float64(routers) {
			t.Errorf("%d routers: the initial limit for the origin is %v fills", routers, h.router.origin.Limit)
		}
		h.router.origin.Limit = 0.01
		fetch := h.requireFetch(h.handle(newRequest("a", "o")))
		if fetch.Options&CachedOnly == 0 {
			t.Errorf("%d routers: a fill at parent %d may reach the origin, which is at its limit", routers, fetch.Source)
		}
		h.router.origin.Limit = sourceLimitStart
		if fetch = h.requireFetch(h.handle(newRequest("b", "o"))); fetch.Options&CachedOnly != 0 {
			t.Errorf("%d routers: the fill may not reach the origin, which is below its limit", routers)
		}
	}
}

// A cache that answered a hit is the source of a fill at another cache, until recentHitMaxAge has passed.
func TestRecentHitServerBecomesSource(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	h.answer("a", fetch, NoteHit, 10*ms)
	h.router.servers[fetch.Server].Limit = 0
	if next := h.requireFetch(h.handle(newRequest("b", "o"))); next.Source != fetch.Server || next.Options&CachedOnly == 0 {
		t.Errorf("got %+v, want cache %d as the source", next, fetch.Server)
	}
	h.now += recentHitMaxAge + ms
	if next := h.requireFetch(h.handle(newRequest("c", "o"))); next.Source == fetch.Server {
		t.Error("the cache is the source although its hit is older than recentHitMaxAge")
	}
}

// A source that rejects a fill has its limit lowered, although only the cache reports the rejection. After
// two such rejections the request is rejected.
func TestSourceRejectionsLowerLimitAndEndRequest(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	source := h.router.servers[fetch.Source]
	source.Limit = 1
	rejected := Outcome{ID: "a", Server: fetch.Server, Result: Overloaded, Note: NoteSourceRejected}
	actions := h.handle(rejected)
	if source.Limit >= 1 {
		t.Errorf("the source's limit is %v after a rejection, want it lower than 1", source.Limit)
	}
	next := h.requireFetch(actions)
	rejected.Attempt, rejected.Server = 1, next.Server
	if _, ok := findAction[Reject](h.handle(rejected)); !ok {
		t.Error("the request was not rejected after two rejections by sources")
	}
}
