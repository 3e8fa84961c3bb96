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
		t.Fatal("the same cache again")
	}
	if again := h.requireFetch(h.handle(newRequest("b", "o"))); again.Server != next.Server {
		t.Fatalf("cache %d, want %d", again.Server, next.Server)
	}
}

// A cache is marked down after a number of consecutive attempts past their objective, and what waits there is
// cancelled.
func TestOverdueAttemptsMarkCacheDown(t *testing.T) {
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
		t.Fatalf("down %v, %d cancelled", cache.Down, cancelled)
	}
	// It was silent, not unreachable: after a successful probe it is in its ramp but not in a warm-up.
	h.now += probeInterval
	fetch = h.requireFetch(h.handle(newRequest("t", "o")))
	if fetch.Server != cache.ID {
		t.Fatalf("the probe went to %d", fetch.Server)
	}
	h.answer("t", fetch, NoteHit, 10*ms)
	if cache.Down || cache.WarmingUp || !cache.Ramping {
		t.Errorf("down %v, warming up %v, ramping %v", cache.Down, cache.WarmingUp, cache.Ramping)
	}
}

// Three overdue attempts are enough for a cache that each of many routers uses every twenty seconds.
func TestOverdueAttemptsMarkRarelyUsedCacheDown(t *testing.T) {
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
		t.Errorf("down after %d", unanswered)
	}
}

// A cache whose connections break again and again, or that fails requests which others serve, is marked down.
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
			t.Errorf("result %d: failure rate %v and still up", result, cache.FailureRate)
		}
		// No connection was refused, so its process has not restarted and needs no warm-up.
		h.now += probeInterval
		h.handle(newRequest("probe", "o"))
		h.handle(Outcome{ID: "probe", Server: cache.ID, Result: OK, Note: NoteHit})
		if cache.Down || cache.WarmingUp {
			t.Errorf("result %d: after its probe down %v, warming up %v", result, cache.Down, cache.WarmingUp)
		}
	}
}

// A request that fails at two caches is given up and counted against neither, so that invalid requests mark
// no cache down.
func TestRequestFailingEverywhereIsGivenUp(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	for i := range 20 {
		id := fmt.Sprint("bad", i)
		h.now += time.Second
		fetch := h.requireFetch(h.handle(newRequest(id, "o")))
		fetch = h.requireFetch(h.handle(Outcome{ID: id, Server: fetch.Server, Result: Failed}))
		if _, ok := findAction[Reject](h.handle(Outcome{ID: id, Attempt: 1, Server: fetch.Server, Result: Failed})); !ok {
			t.Fatal("it was tried a third time")
		}
	}
	for _, cache := range h.router.caches {
		if cache.Down || cache.FailureRate > 0 {
			t.Errorf("cache %d: down %v, failure rate %v", cache.ID, cache.Down, cache.FailureRate)
		}
	}
}

// A broken connection ends all its attempts and counts as one failure.
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
		t.Errorf("down %v, failure rate %v", cache.Down, cache.FailureRate)
	}
}
