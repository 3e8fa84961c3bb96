package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Late answers lower the concurrency limit, and requests beyond it are rejected at once, with a Retry-After.
func TestLateAnswersLowerLimit(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	var fetches []Fetch
	for i := range 10 {
		fetches = append(fetches, h.requireFetch(h.handle(newRequest(string(rune('A'+i)), "o"))))
	}
	cache := h.router.servers[fetches[0].Server]
	h.now += time.Second
	for _, a := range cache.inFlight[:2] {
		a.late = true
	}
	h.answer("A", fetches[0], NoteHit, time.Second)
	h.now += limitUpdateInterval
	h.answer("B", fetches[1], NoteHit, time.Second)
	if cache.Limit > cacheLimitStart*limitDecrease*limitDecrease+0.01 {
		t.Errorf("the limit is %v after two late answers", cache.Limit)
	}
	for _, cache := range h.router.caches {
		cache.Limit = 0
	}
	if a, ok := findAction[Reject](h.handle(newRequest("z", "o"))); !ok || a.RetryAfter <= 0 {
		t.Error("with every cache at its limit the request was not rejected with a Retry-After")
	}
}

// A late answer of a mostly idle cache is taken for a large object and leaves the limit as it is.
func TestLateAnswerAtIdleCacheKeepsLimit(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	cache := h.router.servers[fetch.Server]
	cache.inFlight[0].late = true
	h.answer("a", fetch, NoteHit, 5*time.Second)
	if cache.Limit != cacheLimitStart {
		t.Errorf("the limit is %v", cache.Limit)
	}
}

// A cache without a slot for a fill still serves hits.
func TestNoFillSlotStillServesHits(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	h.handle(Outcome{ID: "a", Server: fetch.Server, Result: Overloaded, Note: NoteNoFillSlot})
	if next := h.requireFetch(h.handle(newRequest("b", "o"))); next.Server != fetch.Server || next.Source != fetch.Server {
		t.Errorf("got %+v, want cache %d asked only for its copy", next, fetch.Server)
	}
}

// Timeouts lower the limit of the server involved that is late most often, be it the parent, the cache or the
// origin: a server that answers some requests is never marked down for silence.
func TestTimeoutsLowerLimitOfMostOverdueServer(t *testing.T) {
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
				continue // the draw was above the limit
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
				t.Errorf("%d times out; the limit of %d went from 1.5 to %v", failing, server.ID, server.Limit)
			}
		}
	}
}

// An attempt lowers a limit as soon as its objective has passed, with the weight of the time since the last
// answer.
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
			t.Errorf("overdue after 2 s of silence, the limit is %v, want %v", parent.Limit, want)
		}
		return
	}
	t.Fatal("no fill went to parent 11")
}

// A fill that is late after an early first byte lowers the limit of the parent, or of the zone's link if all
// fills are late. Bytes that the origin delivered in time do not lower the origin's limit.
func TestLateFillAfterEarlyFirstByteLowersLinkLimit(t *testing.T) {
	for _, linkLateRate := range []Fraction{0, 1} { // late rate of the link so far
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
			t.Errorf("link late %v: limits of link, parent, origin %v, %v, %v", linkLateRate, link.Limit, source.Limit, origin.Limit)
		}
	}
}

// A parent that quickly answers that it has no copy does not lower its late rate by that.
func TestSourceMissKeepsLateRate(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	h.router.origin.Limit = 0.01
	h.router.servers[11].LateRate, h.router.servers[12].LateRate = 0.5, 0.5
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	h.handle(Outcome{ID: "a", Server: fetch.Server, Result: Miss, Note: NoteSourceMiss})
	if lateRate := h.router.servers[fetch.Source].LateRate; fetch.Options&CachedOnly == 0 || lateRate != 0.5 {
		t.Errorf("after a source miss at %d (options %b) its late rate went from 0.5 to %v", fetch.Source, fetch.Options, lateRate)
	}
}

// A parent's rejection, or its report of a failed origin, lowers the limits of both.
func TestRejectionLowersLimitsOfParentAndOrigin(t *testing.T) {
	for _, note := range []Note{NoteSourceRejected, NoteOriginFailed} {
		h := startRouter(t, testSettings(), testMembers())
		fetch := h.requireFetch(h.handle(newRequest("a", "o")))
		h.router.origin.Limit, h.router.servers[fetch.Source].Limit = 0.5, 1
		h.handle(Outcome{ID: "a", Server: fetch.Server, Result: Overloaded, Note: note})
		if h.router.origin.Limit >= 0.5 || h.router.servers[fetch.Source].Limit >= 1 {
			t.Errorf("note %v: limits %v of the origin, %v of the parent", note, h.router.origin.Limit, h.router.servers[fetch.Source].Limit)
		}
	}
}

// Routers that share a zone begin with their part of a cache's limit.
func TestCacheLimitStartsAtRoutersPart(t *testing.T) {
	settings := testSettings()
	settings.ZoneRouters = []int{0, 0, 4, 1}
	h := startRouter(t, settings, testMembers())
	if limit := h.router.servers[1].Limit; limit != cacheLimitStart/4 {
		t.Errorf("the limit starts at %v", limit)
	}
}

// Routers that have one fill in flight now and then leave the origin's limit at their part: all together
// would otherwise overload it after a purge of everything.
func TestRarelyUsedSourceKeepsFirstLimit(t *testing.T) {
	for _, routers := range []int{1, 80, 800} {
		settings := testSettings()
		settings.Routers, settings.ZoneRouters = routers, []int{0, 0, min(7, routers)}
		h := startRouter(t, settings, testMembers())
		for i := range 50 {
			h.now += time.Second
			h.answer(fmt.Sprint(i), h.requireFetch(h.handle(newRequest(fmt.Sprint(i), fmt.Sprint(i)))), NoteFilledOrigin, 50*ms)
		}
		if total := float64(routers) * h.router.origin.Limit; total > 1.1*max(16, float64(routers)) {
			t.Errorf("%d routers allow themselves %v fills at the origin", routers, total)
		}
	}
}

// Fills that are late after an early first byte lower the limit of the zone's link. While it is reached,
// caches are asked only for their copies.
func TestLinkAtLimitStopsFills(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	h.router.link.openFills = 20 // so that the limit decides
	linkLimitBefore := h.router.link.Limit
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	source := h.router.servers[fetch.Source]
	sourceLimitBefore := source.Limit
	h.router.requests["a"].attempts[0].late = true
	h.handle(Outcome{ID: "a", Server: fetch.Server, Result: OK, Note: NoteFilled, Latency: 2 * time.Second, SourceWait: 20 * ms})
	if h.router.link.Limit >= linkLimitBefore || source.Limit != sourceLimitBefore {
		t.Fatalf("link %v to %v, source %v to %v", linkLimitBefore, h.router.link.Limit, sourceLimitBefore, source.Limit)
	}
	h.router.link.Limit = 0
	if fetch := h.requireFetch(h.handle(newRequest("b", "p"))); fetch.Source != fetch.Server {
		t.Errorf("got %+v, want the cache asked only for its copy", fetch)
	}
}

// A limit below one attempt admits a matching fraction of requests.
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
		t.Errorf("%d of %d routers named a parent with a limit of a tenth", sent, routers)
	}
}

// An attempt that waits for a silent source occupies no slot at its cache, and frees none twice.
func TestWaitingForSilentSourceOccupiesNoSlot(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	cache, attempt := h.router.servers[fetch.Server], h.router.requests["a"].attempts[0]
	h.now += time.Second
	cache.LastAnswer = h.now
	if h.router.objectiveMissed(attempt); h.router.occupied(cache) != 0 {
		t.Errorf("%v slots occupied while it waits", h.router.occupied(cache))
	}
	h.handle(Outcome{ID: "a", Server: fetch.Server, Result: TimedOut})
	if cache.exemptAttempts != 0 {
		t.Errorf("%d still counted as exempt from the limit", cache.exemptAttempts)
	}
}

// Writes are sent to the origin regardless of its limit, and their quick answers do not raise it for fills.
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
			t.Errorf("%d writes in time to ten fills that are late: the origin's limit is %.2f", writes, limit)
		}
	}
}
