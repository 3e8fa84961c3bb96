package policy

import (
	"fmt"
	"testing"
	"time"
)

// A failed connection marks a cache down, and the request is retried at the next cache in rendezvous order.
func TestConnectFailureMarksCacheDownAndRetries(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	next := h.requireFetch(h.handle(Outcome{ID: "a", Server: fetch.Server, Result: ConnectFailed}))
	if next.Server == fetch.Server {
		t.Fatal("the retry went to the cache that refused the connection")
	}
	if again := h.requireFetch(h.handle(newRequest("b", "o"))); again.Server != next.Server {
		t.Fatalf("the next request went to cache %d, want cache %d", again.Server, next.Server)
	}
}

// A cache is marked down after maxConsecutiveUnanswered attempts that are past their latency objectives, and
// its open attempts are cancelled.
func TestUnansweredAttemptsMarkCacheDown(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	cache := h.router.servers[fetch.Server]
	cache.Limit = 100
	for i := range maxConsecutiveUnanswered - 1 {
		h.handle(newRequest(string(rune('A'+i)), "o"))
	}
	h.now += time.Second
	cancelled := 0
	for _, waiting := range append([]*attempt(nil), cache.inFlight...) {
		for token, timer := range h.router.timers {
			if timer.kind == objectiveTimer && timer.attempt == waiting {
				for _, action := range h.handle(Timer{Token: token}) {
					if _, ok := action.(Cancel); ok {
						cancelled++
					}
				}
			}
		}
	}
	if !cache.Down || cancelled != maxConsecutiveUnanswered {
		t.Fatalf("cache down %v, %d attempts cancelled; want it down and all cancelled", cache.Down, cancelled)
	}
	// The cache was reachable but did not answer. After a successful probe it has a ramp but no warm-up.
	h.now += probeInterval
	fetch = h.requireFetch(h.handle(newRequest("t", "o")))
	if fetch.Server != cache.ID {
		t.Fatalf("the probe went to cache %d", fetch.Server)
	}
	h.answer("t", fetch, NoteHit, 10*ms)
	if cache.Down || cache.WarmingUp || !cache.Ramping {
		t.Errorf("after the probe: down %v, warming up %v, ramping %v; want only ramping", cache.Down, cache.WarmingUp, cache.Ramping)
	}
}

// Three unanswered attempts mark a cache down that a router uses only every twenty seconds, as each router of
// a large fleet may.
func TestUnansweredAttemptsMarkRarelyUsedCacheDown(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("first", "o")))
	h.answer("first", fetch, NoteHit, 10*ms)
	cache, unanswered := h.router.servers[fetch.Server], 0
	for ; !cache.Down && unanswered < maxConsecutiveUnanswered; unanswered++ {
		h.now += 20 * time.Second
		id := fmt.Sprint(unanswered)
		h.handle(newRequest(id, "o"))
		attempt := h.router.requests[id].attempts[0]
		h.router.objectiveMissed(attempt)
		h.handle(Outcome{ID: id, Server: fetch.Server, Result: TimedOut, Final: true})
	}
	if unanswered != rarelyUsedMaxUnanswered {
		t.Errorf("the cache was marked down after %d unanswered attempts", unanswered)
	}
}

// A cache whose connections break repeatedly, or that fails requests that other caches serve, is marked down.
func TestFailureRateMarksCacheDown(t *testing.T) {
	for _, result := range []Result{Reset, Failed} {
		h := startRouter(t, testSettings(), testMembers())
		fetch := h.requireFetch(h.handle(newRequest("a", "o")))
		cache := h.router.servers[fetch.Server]
		for i := range 8 {
			h.now += time.Second
			id := string(rune('A' + i))
			if fetch := h.requireFetch(h.handle(newRequest(id, "o"))); fetch.Server == cache.ID {
				next := h.requireFetch(h.handle(Outcome{ID: id, Server: cache.ID, Result: result}))
				h.handle(Outcome{ID: id, Attempt: 1, Server: next.Server, Result: OK, Note: NoteHit})
			}
		}
		if !cache.Down {
			t.Errorf("result %d: the cache is up at failure rate %v, want it down", result, cache.FailureRate)
		}
		// No connection was refused, so the cache's process has not restarted and needs no warm-up.
		h.now += probeInterval
		h.handle(newRequest("probe", "o"))
		h.handle(Outcome{ID: "probe", Server: cache.ID, Result: OK, Note: NoteHit})
		if cache.Down || cache.WarmingUp {
			t.Errorf("result %d: after the probe, down %v and warming up %v, want neither", result, cache.Down, cache.WarmingUp)
		}
	}
}

// A request that fails at two caches is given up and does not count as a failure of either, so that invalid
// requests do not mark caches down.
func TestRequestFailingEverywhereIsGivenUp(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	for i := range 20 {
		id := fmt.Sprint("bad", i)
		h.now += time.Second
		fetch := h.requireFetch(h.handle(newRequest(id, "o")))
		fetch = h.requireFetch(h.handle(Outcome{ID: id, Server: fetch.Server, Result: Failed}))
		if _, ok := findAction[Reject](h.handle(Outcome{ID: id, Attempt: 1, Server: fetch.Server, Result: Failed})); !ok {
			t.Fatal("the request was not rejected after its second failure")
		}
	}
	for _, cache := range h.router.caches {
		if cache.Down || cache.FailureRate > 0 {
			t.Errorf("cache %d: down %v, failure rate %v, want it up and 0", cache.ID, cache.Down, cache.FailureRate)
		}
	}
}

// A broken connection ends all attempts on it, which count as one failure.
func TestBrokenConnectionCountsAsOneFailure(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	for i := range 12 {
		h.handle(newRequest(fmt.Sprint(i), "o"))
	}
	cache := h.router.requests["0"].attempts[0].server
	for i := range 12 {
		if attempt := h.router.requests[fmt.Sprint(i)].attempts[0]; attempt.server == cache {
			h.handle(Outcome{ID: fmt.Sprint(i), Server: cache.ID, Result: Reset})
		}
	}
	if cache.Down || cache.FailureRate != outcomeGain {
		t.Errorf("down %v, failure rate %v, want one failure", cache.Down, cache.FailureRate)
	}
}
