package policy

import (
	"testing"
	"time"
)

// A request without an outcome gets one final answer at its deadline, and an outcome after that has no
// effect.
func TestDeadlineGivesOneFinalAnswer(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	actions := h.handle(newRequest("a", "o"))
	setTimer, _ := findAction[SetTimer](actions)
	h.now += 3 * time.Second
	if _, ok := findAction[Reject](h.handle(Timer{Token: setTimer.Token})); !ok {
		t.Fatal("the request has no final answer at its deadline")
	}
	if actions := h.handle(Outcome{ID: "a", Result: TimedOut}); len(actions) != 0 {
		t.Fatalf("an outcome after the final answer caused actions: %v", actions)
	}
}

// The parts of an object are spread over the zone's caches, but are all filled from one parent.
func TestPartsSpreadOverCachesAndShareParent(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Multipart = true
	h := startRouter(t, settings, testMembers())
	caches, parents := map[ServerID]bool{}, map[ServerID]bool{}
	for part := range 12 {
		request := newRequest(string(rune('a'+part)), "o")
		request.Part = part
		fetch := h.requireFetch(h.handle(request))
		caches[fetch.Server], parents[fetch.Source] = true, true
	}
	if len(caches) < 2 || len(parents) != 1 {
		t.Errorf("parts went to caches %v and were filled from %v, want several caches and one parent", caches, parents)
	}
}
