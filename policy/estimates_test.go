package policy

import (
	"fmt"
	"testing"
	"time"
)

// Many small objects between few large ones do not lower the estimated transfer time, on which warm-up
// budgets rest.
func TestTransferTimeOfHeavyTailedSizes(t *testing.T) {
	settings := testSettings()
	settings.TransferKBPerS = 1000
	h := startRouter(t, settings, testMembers())
	for i := range 2000 {
		request := newRequest(fmt.Sprint(i), "o")
		if request.SizeKB = 50; i%10 == 0 {
			request.SizeKB = 2550 // the mean is 0.3 s
		}
		fetch := h.requireFetch(h.handle(request))
		h.now += 20 * ms
		h.handle(Outcome{ID: request.ID, Server: fetch.Server, Result: OK, Note: NoteHit, Latency: 10 * ms})
	}
	if transferTime := h.router.transferTime[0]; transferTime < 0.2 || transferTime > 0.4 {
		t.Errorf("the transfer time came out at %.3f s, want 0.3", transferTime)
	}
}

// A lookup that found nothing at a warming parent stays charged to its budget in full.
func TestSourceMissIsChargedToWarmUpBudget(t *testing.T) {
	members := testMembers()
	members.Entries = append(members.Entries[:4], members.Entries[5:]...) // one parent
	members.Entries[3].Started = time.Minute - 30*time.Second             // after its ramp
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
		t.Errorf("a source miss left %v s charged, want %v", spent, h.router.transferTime[0])
	}
}
