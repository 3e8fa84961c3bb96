package policy

import (
	"fmt"
	"testing"
	"time"
)

// sizedRequest returns a request whose transfer takes the given time.
func sizedRequest(id string, transferTime time.Duration) Request {
	request := newRequest(id, "o"+id)
	request.SizeKB = transferTime.Seconds() * sizedTransferKBPerS
	return request
}

// sizedTransferKBPerS is the rate of a transfer, in KB/s, in tests of requests of known size.
const sizedTransferKBPerS = 1000

// sizedSettings returns settings with which the transfer time of a request of known size is known.
func sizedSettings() Settings {
	settings := testSettings()
	settings.TransferKBPerS = sizedTransferKBPerS
	return settings
}

// A request whose transfer alone would take longer than the time left is rejected at once. One whose transfer
// just fits is sent.
func TestRequestTooLargeForDeadlineIsGivenUp(t *testing.T) {
	h := startRouter(t, sizedSettings(), testMembers())
	actions := h.handle(sizedRequest("a", 3100*ms))
	if reject, ok := findAction[Reject](actions); !ok || reject.RetryAfter <= 0 {
		t.Errorf("got %v, want an immediate rejection with a Retry-After", actions)
	}
	if len(h.router.requests) != 0 {
		t.Error("the rejected request was not removed")
	}
	fetch := h.requireFetch(h.handle(sizedRequest("b", 2900*ms)))
	// A second attempt has less time left for the same transfer.
	h.now += 200 * ms
	if _, ok := findAction[Reject](h.handle(Outcome{ID: "b", Server: fetch.Server, Result: ConnectFailed})); !ok {
		t.Error("a request whose transfer takes longer than the time left was retried")
	}
}

// countAdmitted returns how many of a hundred routers send a request while slots of the given servers are
// occupied: of caches, the zone's link or the sources. The number of occupied slots is such that a whole
// limit admits the request, and lowValueLimitFraction of the limit does not.
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

// When the caches, the link or all sources are close to their limits, only requests with the highest weight
// per transfer time are admitted, according to their own size. Client retries are not admitted.
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
			request                  Request
			minAdmitted, maxAdmitted int
		}{
			"small": {sizedRequest("s", 50*ms), 100, 100}, "large": {sizedRequest("l", 1200*ms), 0, 0}, "client retry": {clientRetry, 0, 0},
		} {
			if admitted := countAdmitted(t, settings, test.request, serversAtLimit); admitted < test.minAdmitted || admitted > test.maxAdmitted {
				t.Errorf("%s close to their limits: %d of 100 routers admitted the %s request, want %d to %d", name, admitted, kind, test.minAdmitted, test.maxAdmitted)
			}
		}
	}
}

// The weight of writes, to which no limit applies, does not affect the fraction of a limit that other classes
// may use.
func TestWritesDoNotAffectLimitFraction(t *testing.T) {
	for _, weight := range []float64{0.001, 1000} {
		settings := sizedSettings()
		settings.Classes[1].PriorityWeight = weight
		h := startRouter(t, settings, testMembers())
		h.handle(sizedRequest("a", 50*ms))
		if fraction := h.router.limitFraction(h.router.requests["a"]); fraction != 1 {
			t.Errorf("with writes of weight %v, a small object may use fraction %v of a limit, want 1", weight, fraction)
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
			t.Errorf("an object with transfer time %v may use fraction %v of a limit, after fraction %v for a smaller one", transferTime, fraction, previous)
		}
		previous = fraction
	}
}

// With no cache of the zone up, a request that is sent to a parent that is down is a probe. There is one
// probe at a time, it has a probe's timeout, and its answer marks the parent up.
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
		t.Fatalf("got %+v, want a probe of a parent with at most half of the time left", fetch)
	}
	if next := h.requireFetch(h.handle(newRequest("b", "o"))); next.Server == fetch.Server {
		t.Errorf("parent %d has two probes in flight", next.Server)
	}
	h.answer("a", fetch, NoteFilledOrigin, 10*ms)
	if parent.Down {
		t.Error("the probe's answer did not mark the parent up")
	}
}

// A fetch that goes directly to a parent or the origin has no RetainRank, as only caches rank their copies.
func TestRetainRankIsSetOnlyForCaches(t *testing.T) {
	settings := testSettings()
	settings.MayBypassCaches = true
	h := startRouter(t, settings, testMembers())
	if fetch := h.requireFetch(h.handle(newRequest("a", "o"))); fetch.RetainRank == 0 {
		t.Errorf("got %+v, want a rank for the copy at the cache", fetch)
	}
	for _, cache := range h.router.caches {
		cache.Down, cache.NextProbe = true, h.now+time.Minute
	}
	if fetch := h.requireFetch(h.handle(newRequest("b", "p"))); h.router.servers[fetch.Server].role != roleParent || fetch.RetainRank != 0 {
		t.Errorf("got %+v, want a fetch from a parent without a rank", fetch)
	}
}

// A write is not retried at once if the connection to the origin failed, as the origin may be restarting.
func TestWriteIsNotRetriedAtOnceWhenOriginConnectionFails(t *testing.T) {
	settings := testSettings()
	settings.MayBypassCaches, settings.MaxAttempts = true, 8
	h := startRouter(t, settings, testMembers())
	request := newRequest("a", "o")
	request.Class = 1
	actions := h.handle(request)
	if lookup, ok := findAction[Lookup](actions); !ok || lookup.Server != 20 {
		t.Fatalf("got %v, want an attempt at the origin", actions)
	}
	actions = h.handle(Outcome{ID: "a", Server: 20, Result: ConnectFailed})
	for _, action := range actions {
		switch retry := action.(type) {
		case Lookup:
			t.Errorf("server %d: the write was retried at once", retry.Server)
		case Fetch:
			if retry.Source == 20 {
				t.Errorf("the write was retried at the origin at once, through cache %d", retry.Server)
			}
		}
	}
}
