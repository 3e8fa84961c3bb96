package policy

import (
	"testing"
	"time"
)

// A request that is not idempotent and may have been executed is neither retried nor rejected.
func TestNonIdempotentRequestIsNeitherRetriedNorRejected(t *testing.T) {
	for _, c := range []struct {
		result Result
		again  bool
	}{{TimedOut, false}, {Failed, false}, {Reset, false}, {Cancelled, false}, {Unknown, false}, {Overloaded, true}, {ConnectFailed, true}, {Miss, true}} {
		s := startRouter(t, settings(), fleet())
		q := newRequest("a", "o")
		q.Class = 1
		g := s.fetch(s.handle(q))
		if g.Source != 20 || g.RetainRank != 0 {
			t.Fatalf("an uncached request got source %d, rank %d", g.Source, g.RetainRank)
		}
		acts := s.handle(Outcome{ID: "a", Server: g.Server, Result: c.result})
		_, sent := find[Fetch](acts)
		_, failed := find[Fail](acts)
		if sent != c.again || failed == c.again {
			t.Errorf("after result %d: %v", c.result, acts)
		}
	}
}

// A request with an idempotency key that may have been executed is retried only in its deduplication scope
// and window.
func TestKeyedRequestIsRetriedWithinDedupScopeAndWindow(t *testing.T) {
	set := settings()
	set.Classes[0].Idempotency, set.Classes[0].DedupScope, set.Classes[0].DedupWindow = IdempotentByKey, DedupCell, time.Second
	for name, c := range map[string]struct {
		cell func(ServerID) int
		wait time.Duration
		sent bool
	}{
		"others in the cell":    {func(ServerID) int { return 1 }, 0, true},
		"none in the cell":      {func(id ServerID) int { return int(id) }, 0, true}, // the same cache again
		"the window has passed": {func(ServerID) int { return 1 }, time.Second, false},
	} {
		m := fleet()
		for i := range m.Entries {
			m.Entries[i].Cell = c.cell(m.Entries[i].ID)
		}
		s := startRouter(t, set, m)
		g := s.fetch(s.handle(newRequest("a", "o")))
		s.now += c.wait
		acts := s.handle(Outcome{ID: "a", Server: g.Server, Result: Reset})
		n, sent := find[Fetch](acts)
		if sent != c.sent || sent && c.cell(n.Server) != c.cell(g.Server) {
			t.Errorf("%s: %v", name, acts)
		}
		if _, refused := find[Reject](acts); refused {
			t.Errorf("%s: rejected though it may have been executed", name)
		}
	}
}
