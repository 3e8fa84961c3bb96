package policy

import (
	"testing"
	"time"
)

// A request that is not idempotent and may have been executed is neither retried nor rejected.
func TestNonIdempotentRequestIsNeitherRetriedNorRejected(t *testing.T) {
	for _, test := range []struct {
		result    Result
		wantRetry bool
	}{{TimedOut, false}, {Failed, false}, {Reset, false}, {Cancelled, false}, {Unknown, false}, {Overloaded, true}, {ConnectFailed, true}, {Miss, true}} {
		h := startRouter(t, testSettings(), testMembers())
		request := newRequest("a", "o")
		request.Class = 1
		fetch := h.requireFetch(h.handle(request))
		if fetch.Source != 20 || fetch.RetainRank != 0 {
			t.Fatalf("an uncached request got source %d and rank %d, want the origin and rank 0", fetch.Source, fetch.RetainRank)
		}
		actions := h.handle(Outcome{ID: "a", Server: fetch.Server, Result: test.result})
		_, gotRetry := findAction[Fetch](actions)
		_, gotFail := findAction[Fail](actions)
		if gotRetry != test.wantRetry || gotFail == test.wantRetry {
			t.Errorf("after result %d: got actions %v, want a retry only if the request cannot have been executed, otherwise a failure", test.result, actions)
		}
	}
}

// A request with an idempotency key that may have been executed is retried only at caches of its DedupScope
// and within its DedupWindow.
func TestKeyedRequestIsRetriedWithinDedupScopeAndWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency, settings.Classes[0].DedupScope, settings.Classes[0].DedupWindow = IdempotentByKey, DedupCell, time.Second
	for name, test := range map[string]struct {
		cell      func(ServerID) int
		wait      time.Duration
		wantRetry bool
	}{
		"other caches in the cell":   {func(ServerID) int { return 1 }, 0, true},
		"no other cache in the cell": {func(id ServerID) int { return int(id) }, 0, true}, // same cache
		"after the dedup window":     {func(ServerID) int { return 1 }, time.Second, false},
	} {
		members := testMembers()
		for i := range members.Entries {
			members.Entries[i].Cell = test.cell(members.Entries[i].ID)
		}
		h := startRouter(t, settings, members)
		request := newRequest("a", "o")
		request.KeyIssuer = ClientKey
		fetch := h.requireFetch(h.handle(request))
		h.now += test.wait
		actions := h.handle(Outcome{ID: "a", Server: fetch.Server, Result: Reset})
		retry, retried := findAction[Fetch](actions)
		if retried != test.wantRetry || retried && test.cell(retry.Server) != test.cell(fetch.Server) {
			t.Errorf("%s: got actions %v", name, actions)
		}
		if _, rejected := findAction[Reject](actions); rejected {
			t.Errorf("%s: the request was rejected although it may have been executed", name)
		}
	}
}

// Guards against a request without a key that runs twice: its class is idempotent by key, but no server knows its duplicate.
func TestRequestWithoutKeyIsNeitherRetriedNorRejected(t *testing.T) {
	for _, scope := range []DedupScope{DedupAll, DedupZone, DedupCell} {
		for _, test := range []struct {
			result    Result
			wantRetry bool
		}{{TimedOut, false}, {Failed, false}, {Reset, false}, {Cancelled, false}, {Unknown, false}, {Overloaded, true}, {ConnectFailed, true}, {Miss, true}} {
			settings := testSettings()
			settings.Classes[0].Idempotency, settings.Classes[0].DedupScope, settings.Classes[0].DedupWindow = IdempotentByKey, scope, time.Hour
			h := startRouter(t, settings, testMembers())
			fetch := h.requireFetch(h.handle(newRequest("a", "o")))
			actions := h.handle(Outcome{ID: "a", Server: fetch.Server, Result: test.result})
			_, gotRetry := findAction[Fetch](actions)
			_, gotFail := findAction[Fail](actions)
			if gotRetry != test.wantRetry || gotFail == test.wantRetry {
				t.Errorf("scope %d, result %d: got actions %v, want a retry only if the request cannot have been executed, otherwise a failure", scope, test.result, actions)
			}
		}
	}
}

// Guards against a rejection after which the client's retry runs a request again, as the retry has another key.
func TestRejectionNeedsKeyOfClient(t *testing.T) {
	for _, test := range []struct {
		issuer     KeyIssuer
		scope      DedupScope
		result     Result
		wantReject bool
	}{
		{ClientKey, DedupAll, Failed, true}, {ClientKey, DedupZone, Failed, false}, {ClientKey, DedupCell, Failed, false},
		{FrontKey, DedupAll, Failed, false}, {FrontKey, DedupZone, Failed, false}, {FrontKey, DedupCell, Failed, false},
		{ClientKey, DedupAll, Overloaded, true}, {FrontKey, DedupAll, Overloaded, true}, {NoKey, DedupAll, Overloaded, true},
	} {
		settings := testSettings()
		settings.Classes[0].Idempotency, settings.Classes[0].DedupScope, settings.Classes[0].DedupWindow = IdempotentByKey, test.scope, time.Hour
		h := startRouter(t, settings, testMembers())
		request := newRequest("a", "o")
		request.KeyIssuer = test.issuer
		actions := h.handle(request)
		for attempt := range 2 { // as many errors or rejections end a request
			fetch := h.requireFetch(actions)
			actions = h.handle(Outcome{ID: "a", Attempt: attempt, Server: fetch.Server, Result: test.result})
		}
		_, gotReject := findAction[Reject](actions)
		_, gotFail := findAction[Fail](actions)
		if gotReject != test.wantReject || gotFail == test.wantReject {
			t.Errorf("%+v: got actions %v", test, actions)
		}
	}
}
