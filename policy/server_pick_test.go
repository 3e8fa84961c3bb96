package policy

import (
	"testing"
	"time"
)

// A request for a cache over its limit goes only to a cache with at least half of its slots free.
func TestSpilloverGoesOnlyToHalfEmptyCache(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	h.router.servers[fetch.Server].Limit = 0.5 // below one attempt with any admissionDraw
	next := h.requireFetch(h.handle(newRequest("b", "o")))
	if next.Server == fetch.Server {
		t.Fatal("the request went to a cache over its limit")
	}
	for _, cache := range h.router.caches {
		if cache.ID != fetch.Server {
			cache.Limit = 1.5
		}
	}
	h.requireFetch(h.handle(newRequest("c", "o")))
	if _, ok := findAction[Reject](h.handle(newRequest("d", "o"))); !ok {
		t.Error("the request was not rejected, though no cache was half empty")
	}
}

// Caches are bypassed while none of them is up, but not while they are only over their limits.
func TestCachesAreBypassedOnlyWithNoneUp(t *testing.T) {
	settings := testSettings()
	settings.MayBypassCaches = true
	h := startRouter(t, settings, testMembers())
	for _, cache := range h.router.caches {
		cache.Limit = 0
	}
	if _, ok := findAction[Reject](h.handle(newRequest("a", "o"))); !ok {
		t.Error("caches at their limits were bypassed")
	}
	for _, cache := range h.router.caches {
		cache.Down, cache.NextProbe = true, h.now+time.Minute
	}
	if fetch := h.requireFetch(h.handle(newRequest("b", "o"))); fetch.Server != 11 && fetch.Server != 12 {
		t.Errorf("got %+v, want a parent", fetch)
	}
}
