package policy

import (
	"testing"
	"time"
)

// A cache over its limit yields only to a cache with half of its slots free.
func TestCacheOverLimitYieldsOnlyToHalfEmptyCache(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	h.router.servers[fetch.Server].Limit = 0.5 // below its one attempt, whatever the draw and the limit fraction
	next := h.requireFetch(h.handle(newRequest("b", "o")))
	if next.Server == fetch.Server {
		t.Fatal("a cache over its limit did not yield")
	}
	for _, cache := range h.router.caches {
		if cache.ID != fetch.Server {
			cache.Limit = 1.5
		}
	}
	h.requireFetch(h.handle(newRequest("c", "o")))
	if _, ok := findAction[Reject](h.handle(newRequest("d", "o"))); !ok {
		t.Error("yielded to a cache that was not half empty")
	}
}

// Caches that are only over their limits are not bypassed; with none up they are.
func TestBypassOnlyWithNoCacheUp(t *testing.T) {
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
