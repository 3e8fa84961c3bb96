package policy

import (
	"testing"
	"time"
)

// A request whose outcomes never arrive gets its final answer at its deadline, once.
func TestDeadlineGivesOneFinalAnswer(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	acts := s.handle(newRequest("a", "o"))
	tm, _ := find[SetTimer](acts)
	s.now += 3 * time.Second
	if _, ok := find[Reject](s.handle(Timer{Token: tm.Token})); !ok {
		t.Fatal("no final answer")
	}
	if acts := s.handle(Outcome{ID: "a", Result: TimedOut}); len(acts) != 0 {
		t.Fatalf("after the final answer: %v", acts)
	}
}

// The parts of an object are spread over the zone's caches, and are filled from one parent.
func TestPartsSpreadOverCachesAndShareParent(t *testing.T) {
	set := settings()
	set.Classes[0].Multipart = true
	s := startRouter(t, set, fleet())
	caches, parents := map[ServerID]bool{}, map[ServerID]bool{}
	for part := range 12 {
		q := newRequest(string(rune('a'+part)), "o")
		q.Part = part
		g := s.fetch(s.handle(q))
		caches[g.Server], parents[g.Source] = true, true
	}
	if len(caches) < 2 || len(parents) != 1 {
		t.Errorf("parts went to caches %v and parents %v", caches, parents)
	}
}
