package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Late answers lower a cache's limit. Requests are rejected at once, with a Retry-After, while all caches are
// at their limits.
func TestLateAnswersLowerLimit(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	var fetches []Fetch
	for i := range 10 {
		fetches = append(fetches, h.requireFetch(h.handle(newRequest(string(rune('A'+i)), "o"))))
	}
	cache := h.router.servers[fetches[0].Server]
	h.now += time.Second
	for _, attempt := range cache.inFlight[:2] {
		attempt.late = true
	}
	h.answer("A", fetches[0], NoteHit, time.Second)
	h.now += limitUpdateInterval
	h.answer("B", fetches[1], NoteHit, time.Second)
	if cache.Limit > cacheLimitStart*limitDecrease*limitDecrease+0.01 {
		t.Errorf("got limit %v after two late answers, want two steps down", cache.Limit)
	}
	for _, cache := range h.router.caches {
		cache.Limit = 0
	}
	if reject, ok := findAction[Reject](h.handle(newRequest("z", "o"))); !ok || reject.RetryAfter <= 0 {
		t.Error("with every cache at its limit the request was not rejected with a Retry-After")
	}
}

// A late answer of a mostly idle cache is attributed to a large object and does not change the limit.
func TestLateAnswerAtIdleCacheKeepsLimit(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	cache := h.router.servers[fetch.Server]
	cache.inFlight[0].late = true
	h.answer("a", fetch, NoteHit, 5*time.Second)
	if cache.Limit != cacheLimitStart {
		t.Errorf("got limit %v, want it unchanged", cache.Limit)
	}
}

// A cache that has no slot for a fill still serves hits.
func TestCacheWithoutFillSlotStillServesHits(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	h.handle(Outcome{ID: "a", Server: fetch.Server, Result: Overloaded, Note: NoteNoFillSlot})
	if next := h.requireFetch(h.handle(newRequest("b", "o"))); next.Server != fetch.Server || next.Source != fetch.Server {
		t.Errorf("got %+v, want a fetch from cache %d without a fill", next, fetch.Server)
	}
}

// Timeouts lower the limit of the involved server with the highest late rate: the cache, the parent or the
// origin. A server that answers some of its requests is never marked down for those it does not answer, so
// its limit must fall.
func TestTimeoutsLowerLimitOfServerWithHighestLateRate(t *testing.T) {
	for _, failing := range []ServerID{1, 11, 20} {
		h := startRouter(t, testSettings(), testMembers())
		observed := []*server{h.router.servers[11], h.router.origin}
		for _, server := range observed {
			server.Limit = 1.5 // so that few attempts reach it
		}
		for i := range 90 {
			id := fmt.Sprint(i)
			fetch, sent := findAction[Fetch](h.handle(newRequest(id, fmt.Sprint("o", i))))
			if h.now += 200 * ms; !sent {
				continue // the request's admissionDraw exceeded the limit
			}
			parentMisses := i%2 == 0 // every second object is missing at its parent
			switch cache := h.router.servers[fetch.Server]; {
			case fetch.Server == failing || fetch.Source == failing && fetch.Server != failing || failing == 20 && parentMisses && fetch.Options&CachedOnly == 0:
				cache.LastAnswer = h.now
				h.handle(Outcome{ID: id, Server: fetch.Server, Result: TimedOut, Latency: 2900 * ms})
			case fetch.Source == fetch.Server || i%3 == 0:
				h.answer(id, fetch, NoteHit, 50*ms)
			case parentMisses:
				h.answer(id, fetch, NoteFilledOrigin, 50*ms)
			default:
				h.answer(id, fetch, NoteFilled, 50*ms)
			}
		}
		for _, server := range observed {
			if (server.Limit < 1.2) != (server.ID == failing) {
				t.Errorf("requests at server %d time out: the limit of server %d went from 1.5 to %v", failing, server.ID, server.Limit)
			}
		}
	}
}

// An attempt lowers a limit as soon as its latency objective has passed, before it has an outcome. Its weight
// grows with the time since the limit was last adjusted.
func TestMissedObjectiveLowersLimitBeforeOutcome(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	parent := h.router.servers[11]
	parent.Limit, parent.LateRate, parent.LimitUpdated = 1.5, 0.5, h.now
	for i := range 8 {
		actions := h.handle(newRequest(fmt.Sprint(i), fmt.Sprint("o", i)))
		fetch, sent := findAction[Fetch](actions)
		if !sent || fetch.Source != 11 {
			continue
		}
		h.now = parent.LimitUpdated + 2*time.Second
		for token, timer := range h.router.timers {
			if timer.kind == objectiveTimer {
				h.handle(Timer{Token: token})
			}
		}
		if want := 1.5 * math.Pow(limitDecrease, limitMaxUpdateWeight/h.router.limitScale); math.Abs(parent.Limit-want) > 1e-9 {
			t.Errorf("got limit %v for an attempt that is late 2 s after the last adjustment, want %v", parent.Limit, want)
		}
		return
	}
	t.Fatal("no fill went to parent 11")
}

// A late fill whose first byte came early lowers the limit of the parent, or of the zone's link if that has
// the higher late rate. It does not lower the limit of the origin, which delivered its bytes in time.
func TestLateFillAfterEarlyFirstByteLowersLinkLimit(t *testing.T) {
	for _, linkLateRate := range []Fraction{0, 1} {
		h := startRouter(t, testSettings(), testMembers())
		fetch := h.requireFetch(h.handle(newRequest("a", "o")))
		link, source, origin := h.router.link, h.router.servers[fetch.Source], h.router.origin
		for _, limited := range []*server{link, source, origin} {
			limited.Limit, limited.LimitUpdated = 0.4, h.now
		}
		link.LateRate, source.LateRate = linkLateRate, 0.5
		h.router.requests["a"].attempts[0].late = true
		h.handle(Outcome{ID: "a", Server: fetch.Server, Result: OK, Note: NoteFilledOrigin, Latency: time.Second, SourceWait: 20 * ms})
		if (link.Limit != 0.4) != (linkLateRate == 1) || (source.Limit < 0.4) != (linkLateRate == 0) || origin.Limit <= 0.4 {
			t.Errorf("late rate %v of the link: limits of link, parent and origin went from 0.4 to %v, %v and %v", linkLateRate, link.Limit, source.Limit, origin.Limit)
		}
	}
}

// The quick answer of a parent that it has no copy does not lower the parent's late rate.
func TestSourceMissKeepsLateRate(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	h.router.origin.Limit = 0.01
	h.router.servers[11].LateRate, h.router.servers[12].LateRate = 0.5, 0.5
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	h.handle(Outcome{ID: "a", Server: fetch.Server, Result: Miss, Note: NoteSourceMiss})
	if lateRate := h.router.servers[fetch.Source].LateRate; fetch.Options&CachedOnly == 0 || lateRate != 0.5 {
		t.Errorf("after a source miss at parent %d (options %b), the late rate went from 0.5 to %v, want it unchanged", fetch.Source, fetch.Options, lateRate)
	}
}

// A parent's rejection, or its report that the origin failed, lowers the limits of both the parent and the
// origin.
func TestRejectionLowersLimitsOfParentAndOrigin(t *testing.T) {
	for _, note := range []Note{NoteSourceRejected, NoteOriginFailed} {
		h := startRouter(t, testSettings(), testMembers())
		fetch := h.requireFetch(h.handle(newRequest("a", "o")))
		h.router.origin.Limit, h.router.servers[fetch.Source].Limit = 0.5, 1
		h.handle(Outcome{ID: "a", Server: fetch.Server, Result: Overloaded, Note: note})
		if h.router.origin.Limit >= 0.5 || h.router.servers[fetch.Source].Limit >= 1 {
			t.Errorf("note %v: the origin's limit went from 0.5 to %v and the parent's from 1 to %v, want both lower", note, h.router.origin.Limit, h.router.servers[fetch.Source].Limit)
		}
	}
}

// A router of a zone with several routers starts with its share of a cache's limit.
func TestCacheLimitStartsAtRoutersShare(t *testing.T) {
	settings := testSettings()
	settings.ZoneRouters = []int{0, 0, 4, 1}
	h := startRouter(t, settings, testMembers())
	if limit := h.router.servers[1].Limit; limit != cacheLimitStart/4 {
		t.Errorf("got initial limit %v, want a quarter of cacheLimitStart", limit)
	}
}

// A router that only now and then has a fill in flight does not raise its limit for the origin. Otherwise all
// routers together would overload the origin after a purge of everything.
func TestRarelyUsedSourceKeepsInitialLimit(t *testing.T) {
	for _, routers := range []int{1, 80, 800} {
		settings := testSettings()
		settings.Routers, settings.ZoneRouters = routers, []int{0, 0, min(7, routers)}
		h := startRouter(t, settings, testMembers())
		for i := range 50 {
			h.now += time.Second
			h.answer(fmt.Sprint(i), h.requireFetch(h.handle(newRequest(fmt.Sprint(i), fmt.Sprint(i)))), NoteFilledOrigin, 50*ms)
		}
		if total := float64(routers) * h.router.origin.Limit; total > 1.1*max(16, float64(routers)) {
			t.Errorf("the limits of %d routers for the origin add up to %v fills", routers, total)
		}
	}
}

// A late fill whose first byte came early lowers the limit of the zone's link. While the link is at its
// limit, caches serve requests only from their copies.
func TestLinkAtLimitStopsFills(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	h.router.link.openFills = 20 // enough that the limit changes
	linkLimitBefore := h.router.link.Limit
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	source := h.router.servers[fetch.Source]
	sourceLimitBefore := source.Limit
	h.router.requests["a"].attempts[0].late = true
	h.handle(Outcome{ID: "a", Server: fetch.Server, Result: OK, Note: NoteFilled, Latency: 2 * time.Second, SourceWait: 20 * ms})
	if h.router.link.Limit >= linkLimitBefore || source.Limit != sourceLimitBefore {
		t.Fatalf("the link's limit went from %v to %v, the source's from %v to %v; want only the link's lower", linkLimitBefore, h.router.link.Limit, sourceLimitBefore, source.Limit)
	}
	h.router.link.Limit = 0
	if fetch := h.requireFetch(h.handle(newRequest("b", "p"))); fetch.Source != fetch.Server {
		t.Errorf("got %+v, want a fetch without a fill", fetch)
	}
}

// A limit below one slot admits that fraction of requests.
func TestLimitBelowOneAdmitsFraction(t *testing.T) {
	const routers = 200
	sent := 0
	for i := range routers {
		router, err := New(testSettings(), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		router.Handle(time.Minute, testMembers(), nil)
		for _, parent := range router.parents {
			parent.Limit = 0.1
		}
		router.origin.Limit = 0
		if fetch, ok := findAction[Fetch](router.Handle(time.Minute, newRequest("a", "o"), nil)); ok && fetch.Source != fetch.Server {
			sent++
		}
	}
	if sent < routers/20 || sent > routers/5 {
		t.Errorf("%d of %d routers named a parent with limit 0.1 as the source, want a tenth of them", sent, routers)
	}
}

// An attempt whose source does not answer occupies no slot at its cache, and its outcome does not free the
// slot a second time.
func TestAttemptWaitingForSourceOccupiesNoSlot(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	cache, attempt := h.router.servers[fetch.Server], h.router.requests["a"].attempts[0]
	h.now += time.Second
	cache.LastAnswer = h.now
	if h.router.objectiveMissed(attempt); h.router.occupied(cache) != 0 {
		t.Errorf("got %v occupied slots while the attempt waits for its source, want none", h.router.occupied(cache))
	}
	h.handle(Outcome{ID: "a", Server: fetch.Server, Result: TimedOut})
	if cache.exemptAttempts != 0 {
		t.Errorf("got %d exempt attempts after the outcome, want none", cache.exemptAttempts)
	}
}

// Writes are sent to the origin regardless of its limit, so their quick answers do not raise the limit for
// fills.
func TestWritesDoNotRaiseLimits(t *testing.T) {
	for _, writes := range []int{0, 40} {
		h := startRouter(t, testSettings(), testMembers())
		h.router.fillRate, h.router.originRate = 1, 1
		for round := range 20 {
			open := map[string]Fetch{}
			for i := range 10 {
				request := newRequest(fmt.Sprint("r", round, i), fmt.Sprint(round, i))
				if fetch, ok := findAction[Fetch](h.handle(request)); ok && fetch.Source != fetch.Server {
					open[request.ID] = fetch
				}
			}
			for i := range writes {
				request := newRequest(fmt.Sprint("w", round, i), "o")
				request.Class = 1
				h.answer(request.ID, h.requireFetch(h.handle(request)), NoteFilledOrigin, 100*ms)
				h.now += 100 * ms
			}
			h.now += 3 * time.Second
			for id, fetch := range open {
				h.router.requests[id].attempts[0].late = true
				h.handle(Outcome{ID: id, Server: fetch.Server, Result: OK, Note: NoteFilledOrigin, Latency: 3 * time.Second, SourceWait: time.Second, Final: true})
			}
		}
		if limit := h.router.origin.Limit; limit > 3 {
			t.Errorf("with %d writes in time for every ten late fills, the origin's limit is %.2f, want at most 3", writes, limit)
		}
	}
}
