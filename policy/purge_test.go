package policy

import (
	"testing"
	"time"
)

// A purge sets a maximum age that excludes older copies and is never 0, and no fill that may have begun
// before it is joined.
func TestPurgeLimitsCopyAge(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	s.handle(Purged{Object: "o", Group: 1, Age: 100 * ms})
	if g := s.fetch(s.handle(newRequest("a", "o"))); g.MaxAge != 100*ms || g.Options&(Coalesce|RefreshInBackground) != 0 {
		t.Errorf("age %v, options %b", g.MaxAge, g.Options)
	}
	s.now += time.Second
	if g := s.fetch(s.handle(newRequest("b", "o"))); g.MaxAge != 1100*ms {
		t.Errorf("age %v", g.MaxAge)
	}
	s.handle(Purged{Group: 1})
	if g := s.fetch(s.handle(newRequest("c", "p"))); g.MaxAge <= 0 || g.MaxAge > ms {
		t.Errorf("age %v after the group's purge", g.MaxAge)
	}
}

// While discovery is overdue, copies from before the last known time are not served, until discovery has
// caught up or no older copy is left. A later purge of the object still counts.
func TestDiscoveryOverdueLimitsCopyAge(t *testing.T) {
	s := startRouter(t, settings(), fleet())
	s.handle(DiscoveryOverdue{Overdue: true, Age: 200 * ms})
	if g := s.fetch(s.handle(newRequest("a", "o"))); g.MaxAge != 200*ms || g.Options&(Coalesce|RefreshInBackground) != 0 {
		t.Errorf("age %v, options %b", g.MaxAge, g.Options)
	}
	s.now += 100 * ms
	s.handle(Purged{Object: "o", Group: 1, Age: 50 * ms})
	if g := s.fetch(s.handle(newRequest("b", "o"))); g.MaxAge != 50*ms {
		t.Errorf("age %v after a purge that is later", g.MaxAge)
	}
	if g := s.fetch(s.handle(newRequest("c", "p"))); g.MaxAge != 300*ms {
		t.Errorf("age %v", g.MaxAge)
	}
	s.handle(DiscoveryOverdue{})
	if g := s.fetch(s.handle(newRequest("d", "p"))); g.MaxAge != 0 {
		t.Errorf("age %v once discovery has caught up", g.MaxAge)
	}
	if g := s.fetch(s.handle(newRequest("e", "o"))); g.MaxAge != 50*ms {
		t.Errorf("age %v after the purge", g.MaxAge)
	}
	s.handle(DiscoveryOverdue{Overdue: true})
	s.now += 2*s.r.settings.PurgeDuration + ms
	if g := s.fetch(s.handle(newRequest("f", "p"))); g.MaxAge != 0 {
		t.Errorf("age %v when no older copy is left", g.MaxAge)
	}
}
