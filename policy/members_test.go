package policy

import (
	"testing"
)

// A cache that is draining, or that is missing from a full list, gets no request and is not used as a source.
func TestDrainingServersGetNoRequests(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	h.handle(Outcome{ID: "a", Server: fetch.Server, Result: OK, Note: NoteHit, Final: true})
	h.handle(Members{Kind: ListChanges, Entries: []Member{{ID: fetch.Server, Zone: 2, State: Draining, Weight: 10}}})
	if next := h.requireFetch(h.handle(newRequest("b", "o"))); next.Server == fetch.Server || next.Source == fetch.Server {
		t.Fatalf("draining cache %d is used: %+v", fetch.Server, next)
	}
	members := testMembers()
	members.Kind, members.Entries = ListFull, members.Entries[3:]
	h.handle(members)
	if actions := h.handle(newRequest("c", "o")); len(actions) == 0 {
		t.Fatal("got no action, want a rejection")
	} else if _, ok := findAction[Reject](actions); !ok {
		t.Fatalf("no cache is listed: got actions %v, want a rejection", actions)
	}
}

// Servers that are no longer listed are removed, so that memory stays bounded, and discovery is watched again
// after it has failed.
func TestReplacedServersAreRemoved(t *testing.T) {
	settings := testSettings()
	settings.WatchDiscovery = true
	h := startRouter(t, settings, Members{Kind: ListCached})
	for i := range 1000 {
		members := testMembers()
		members.Kind, members.Entries[0].ID = ListFull, ServerID(1000+i)
		h.handle(members)
	}
	if n := len(h.router.servers); n > 7 {
		t.Errorf("%d servers are retained, want at most 7", n)
	}
	setTimer, ok := findAction[SetTimer](h.handle(Members{Kind: ListFailed}))
	if !ok {
		t.Fatal("no timer was set after discovery failed")
	}
	if watch, ok := findAction[Watch](h.handle(Timer{Token: setTimer.Token})); !ok || !watch.On {
		t.Error("discovery was not watched again")
	}
}
