package policy

import (
	"fmt"
	"testing"
	"time"
)

// sizedRequest is a request whose transfer takes the given time.
func sizedRequest(id string, transferTime time.Duration) Request {
	request := newRequest(id, "o"+id)
	request.SizeKB = transferTime.Seconds() * sizedTransferKBPerS
	return request
}

// sizedTransferKBPerS is the pace of a transfer in KB/s where sizes are known.
const sizedTransferKBPerS = 1000

func sizedSettings() Settings {
	settings := testSettings()
	settings.TransferKBPerS = sizedTransferKBPerS
	return settings
}

// A request whose transfer alone would take longer than the time left is answered at once, and one that just
// fits is sent.
func TestRequestTooLargeForDeadlineIsGivenUp(t *testing.T) {
	h := startRouter(t, sizedSettings(), testMembers())
	actions := h.handle(sizedRequest("a", 3100*ms))
	if reject, ok := findAction[Reject](actions); !ok || reject.RetryAfter <= 0 {
		t.Errorf("got %v, want a rejection with a Retry-After at once", actions)
	}
	if len(h.router.requests) != 0 {
		t.Error("the request was not forgotten")
	}
	fetch := h.requireFetch(h.handle(sizedRequest("b", 2900*ms)))
	// A second attempt has less time left, and the same bytes to come.
	h.now += 200 * ms
	if _, ok := findAction[Reject](h.handle(Outcome{ID: "b", Server: fetch.Server, Result: ConnectFailed})); !ok {
		t.Error("a transfer longer than the time left was sent again")
	}
}

// countAdmitted is how many of a hundred routers send a request where slots are occupied: of caches, the
// zone's link or the sources. So many are occupied that a whole limit admits it and lowValueLimitFraction of
// it does not.
func countAdmitted(t *testing.T, settings Settings, request Request, serversAtLimit func(router *Router) []*server) (count int) {
	t.Helper()
	for seed := range 100 {
		router, err := New(settings, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		router.Handle(time.Minute, testMembers(), nil)
		for _, server := range serversAtLimit(router) {
			server.openFills, server.Limit, router.fillRate = 10, 12, 1
			router.limitScale = 1
			if server.role == roleCache && server != router.link {
				server.inFlight = make([]*attempt, 10)
				server.openFills = 0
			}
		}
		if fetch, ok := findAction[Fetch](router.Handle(time.Minute, request, nil)); ok && fetch.Source != fetch.Server {
			count++
		}
	}
	return count
}

// When a cache, the link or all sources are at their limits, requests with the most weight per transfer time
// are admitted, judged by their own size; client retries are not.
func TestOverloadAdmitsHighestValue(t *testing.T) {
	cases := map[string]func(r *Router) []*server{
		"caches": func(r *Router) []*server { return r.caches },
		"link":   func(r *Router) []*server { return []*server{r.link} },
		"sources": func(r *Router) []*server {
			return append([]*server{r.origin}, r.parents...)
		},
	}
	clientRetry := sizedRequest("r", 50*ms)
	clientRetry.ClientRetry = true
	for name, serversAtLimit := range cases {
		settings := sizedSettings()
		for kind, test := range map[string]struct {
			q           Request
			least, most int
		}{
			"small": {sizedRequest("s", 50*ms), 100, 100}, "large": {sizedRequest("l", 1200*ms), 0, 0}, "repeat": {clientRetry, 0, 0},
		} {
			if admitted := countAdmitted(t, settings, test.q, serversAtLimit); admitted < test.least || admitted > test.most {
				t.Errorf("%s at their limits: %d of 100 admitted the %s one, want %d to %d", name, admitted, kind, test.least, test.most)
			}
		}
	}
}

// The high weight of writes, which no limit binds, does not lower the fraction of a limit that other classes
// may use.
func TestWritesDoNotAffectLimitFraction(t *testing.T) {
	for _, weight := range []float64{0.001, 1000} {
		settings := sizedSettings()
		settings.Classes[1].PriorityWeight = weight
		h := startRouter(t, settings, testMembers())
		h.handle(sizedRequest("a", 50*ms))
		if fraction := h.router.limitFraction(h.router.requests["a"]); fraction != 1 {
			t.Errorf("writes of weight %v leave a small object %v of a limit, want all", weight, fraction)
		}
	}
}

// The fraction of a limit that a request may use falls in steps with its value, and is never 0.
func TestLimitFractionFallsInSteps(t *testing.T) {
	h := startRouter(t, sizedSettings(), testMembers())
	previous := 1.0
	for i, transferTime := range []time.Duration{50 * ms, 700 * ms, 2500 * ms} {
		id := fmt.Sprint(i)
		h.handle(sizedRequest(id, transferTime))
		fraction := h.router.limitFraction(h.router.requests[id])
		if i > 0 && fraction >= previous || fraction <= 0.4 {
			t.Errorf("an object of %v may use %v of a limit, after %v", transferTime, fraction, previous)
		}
		previous = fraction
	}
}

// With no cache of the zone up, a request sent to a parent that is down is a probe: one at a time, with a
// probe's timeout, and its answer marks the parent up.
func TestBypassToDownParentIsProbe(t *testing.T) {
	settings := testSettings()
	settings.MayBypassCaches = true
	h := startRouter(t, settings, testMembers())
	for _, cache := range h.router.caches {
		cache.Down, cache.NextProbe = true, h.now+time.Minute
	}
	for _, p := range h.router.parents {
		p.Down, p.NextProbe = true, h.now
	}
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	parent := h.router.servers[fetch.Server]
	if parent.role != 1 || !parent.probing || fetch.Timeout > 1500*ms {
		t.Fatalf("got %+v, want a probe of a parent for half of the time at most", fetch)
	}
	if next := h.requireFetch(h.handle(newRequest("b", "o"))); next.Server == fetch.Server {
		t.Errorf("parent %d is probed twice at once", next.Server)
	}
	h.answer("a", fetch, NoteFilledOrigin, 10*ms)
	if parent.Down {
		t.Error("the probe's answer did not mark the parent up")
	}
}

// A parent or the origin that is asked directly gets no rank for the copy, as only caches have ranks.
func TestRetainRankIsSetOnlyAtCaches(t *testing.T) {
	settings := testSettings()
	settings.MayBypassCaches = true
	h := startRouter(t, settings, testMembers())
	if fetch := h.requireFetch(h.handle(newRequest("a", "o"))); fetch.RetainRank == 0 {
		t.Errorf("got %+v, want a copy retained at the cache", fetch)
	}
	for _, cache := range h.router.caches {
		cache.Down, cache.NextProbe = true, h.now+time.Minute
	}
	if fetch := h.requireFetch(h.handle(newRequest("b", "p"))); h.router.servers[fetch.Server].role != roleParent || fetch.RetainRank != 0 {
		t.Errorf("got %+v, want a parent and no rank", fetch)
	}
}

// A write whose connection to the origin failed is retried after a pause, as the origin may be restarting.
func TestWriteRetriesAfterPauseWhenOriginConnectionFails(t *testing.T) {
	settings := testSettings()
	settings.MayBypassCaches, settings.MaxAttempts = true, 8
	h := startRouter(t, settings, testMembers())
	request := newRequest("a", "o")
	request.Class = 1
	actions := h.handle(request)
	if a, ok := findAction[Lookup](actions); !ok || a.Server != 20 {
		t.Fatalf("got %v, want an attempt at the origin", actions)
	}
	actions = h.handle(Outcome{ID: "a", Server: 20, Result: ConnectFailed})
	for _, a := range actions {
		switch a := a.(type) {
		case Lookup:
			t.Errorf("%d retried at once", a.Server)
		case Fetch:
			if a.Source == 20 {
				t.Errorf("origin retried at once, by cache %d", a.Server)
			}
		}
	}
}
