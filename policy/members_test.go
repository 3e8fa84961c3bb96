package policy

import (
	"testing"
)

// A cache that is draining, or missing from a full list, gets no request and is named as no source.
func TestDrainingServersGetNoRequests(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	g := s.fetch(s.handle(newRequest("a", "o")))
	s.handle(Outcome{ID: "a", Server: g.Server, Result: OK, Note: NoteHit, Final: true})
	s.handle(Members{Kind: ListChanges, Entries: []Member{{ID: g.Server, Zone: 2, State: Draining, Weight: 10}}})
	if g2 := s.fetch(s.handle(newRequest("b", "o"))); g2.Server == g.Server || g2.Source == g.Server {
		t.Fatalf("draining cache %d named: %+v", g.Server, g2)
	}
	m := fleet()
	m.Kind, m.Entries = ListFull, m.Entries[3:]
	s.handle(m)
	if acts := s.handle(newRequest("c", "o")); len(acts) == 0 {
		t.Fatal("no answer")
	} else if _, ok := find[Reject](acts); !ok {
		t.Fatalf("no cache is left, and no rejection: %v", acts)
	}
}

// Memory stays bounded while servers are replaced and while discovery fails repeatedly.
func TestReplacedServersAreForgotten(t *testing.T) {
	set := settings()
	set.WatchDiscovery = true
	s := startRouter(t, set, Members{Kind: ListCached})
	for i := range 1000 {
		m := fleet()
		m.Kind, m.Entries[0].ID = ListFull, ServerID(1000+i)
		s.handle(m)
	}
	if n := len(s.r.servers); n > 7 {
		t.Errorf("%d servers are retained", n)
	}
	tm, ok := find[SetTimer](s.handle(Members{Kind: ListFailed}))
	if !ok {
		t.Fatal("no timer after discovery failed")
	}
	if w, ok := find[Watch](s.handle(Timer{Token: tm.Token})); !ok || !w.On {
		t.Error("discovery was not watched again")
	}
}
