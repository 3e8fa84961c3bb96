package policy

import (
	"fmt"
	"testing"
	"time"
)

// Many small objects between a few large ones do not lower the estimated transfer time below the mean.
// Warm-up budgets are computed from that estimate.
func TestTransferTimeIsMeanOfHeavyTailedSizes(t *testing.T) {
	settings := testSettings()
	settings.TransferKBPerS = 1000
	h := startRouter(t, settings, testMembers())
	for i := range 2000 {
		request := newRequest(fmt.Sprint(i), "o")
		if request.SizeKB = 50; i%10 == 0 {
			request.SizeKB = 2550 // the mean size of all is 300 KB, which takes 0.3 s
		}
		fetch := h.requireFetch(h.handle(request))
		h.now += 20 * ms
		h.handle(Outcome{ID: request.ID, Server: fetch.Server, Result: OK, Note: NoteHit, Latency: 10 * ms})
	}
	if transferTime := h.router.transferTime[0]; transferTime < 0.2 || transferTime > 0.4 {
		t.Errorf("got transfer time %.3f s, want 0.3 s", transferTime)
	}
}

// A lookup that finds no copy at a parent in its warm-up is not refunded: its full cost stays charged to the
// parent's budget.
func TestSourceMissIsChargedToWarmUpBudget(t *testing.T) {
	members := testMembers()
	members.Entries = append(members.Entries[:4], members.Entries[5:]...) // one parent
	members.Entries[3].Started = time.Minute - 30*time.Second             // so that its ramp is over
	settings := testSettings()
	settings.ParentWarmUp.Duration = 40 * time.Second
	h := startRouter(t, settings, members)
	parent := h.router.servers[11]
	parent.Credit, parent.CreditUpdated = 1, h.now
	h.router.peakLoad[roleParent] = 100
	h.router.withinWarmUpBudget(parent)
	creditBefore := parent.Credit
	fetch := h.requireFetch(h.handle(newRequest("a", "o")))
	if fetch.Source != 11 {
		t.Fatalf("got %+v, want the parent as source", fetch)
	}
	h.handle(Outcome{ID: "a", Server: fetch.Server, Result: Miss, Note: NoteSourceMiss})
	if spent := creditBefore - parent.Credit; spent < h.router.transferTime[0]*0.99 {
		t.Errorf("after a source miss %v s are charged, want %v s", spent, h.router.transferTime[0])
	}
}
