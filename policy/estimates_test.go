package policy

import (
	"fmt"
	"testing"
	"time"
)

// Many small objects between few large ones do not lower the estimated transfer time, on which warm-up
// budgets rest.
func TestTransferTimeOfHeavyTailedSizes(t *testing.T) {
	set := settings()
	set.TransferKBPerS = 1000
	s := startRouter(t, set, fleet())
	for i := range 2000 {
		e := newRequest(fmt.Sprint(i), "o")
		if e.SizeKB = 50; i%10 == 0 {
			e.SizeKB = 2550 // the mean is 0.3 s
		}
		g := s.fetch(s.handle(e))
		s.now += 20 * ms
		s.handle(Outcome{ID: e.ID, Server: g.Server, Result: OK, Note: NoteHit, Latency: 10 * ms})
	}
	if m := s.r.transferTime[0]; m < 0.2 || m > 0.4 {
		t.Errorf("the transfer time came out at %.3f s, want 0.3", m)
	}
}

// A lookup that found nothing at a warming parent stays charged to its budget in full.
func TestSourceMissIsChargedToWarmUpBudget(t *testing.T) {
	m := fleet()
	m.Entries = append(m.Entries[:4], m.Entries[5:]...) // one parent
	m.Entries[3].Started = time.Minute - 30*time.Second // after its ramp
	set := settings()
	set.ParentWarmUp.Duration = 40 * time.Second
	s := startRouter(t, set, m)
	p := s.r.servers[11]
	p.Credit, p.CreditUpdated = 1, s.now
	s.r.peakLoad[roleParent] = 100
	s.r.withinWarmUpBudget(p)
	before := p.Credit
	g := s.fetch(s.handle(newRequest("a", "o")))
	if g.Source != 11 {
		t.Fatalf("got %+v, want the parent as source", g)
	}
	s.handle(Outcome{ID: "a", Server: g.Server, Result: Miss, Note: NoteSourceMiss})
	if spent := before - p.Credit; spent < s.r.transferTime[0]*0.99 {
		t.Errorf("a source miss left %v s charged, want %v", spent, s.r.transferTime[0])
	}
}
