package policy

import (
	"testing"
	"time"
)

// A purge sets a maximum age that excludes older copies and is never 0, and no fill that may have begun
// before it is joined.
func TestPurgeLimitsCopyAge(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	h.handle(Purged{Object: "o", Group: 1, Age: 100 * ms})
	if fetch := h.requireFetch(h.handle(newRequest("a", "o"))); fetch.MaxAge != 100*ms || fetch.Options&(Coalesce|RefreshInBackground) != 0 {
		t.Errorf("age %v, options %b", fetch.MaxAge, fetch.Options)
	}
	h.now += time.Second
	if fetch := h.requireFetch(h.handle(newRequest("b", "o"))); fetch.MaxAge != 1100*ms {
		t.Errorf("age %v", fetch.MaxAge)
	}
	h.handle(Purged{Group: 1})
	if fetch := h.requireFetch(h.handle(newRequest("c", "p"))); fetch.MaxAge <= 0 || fetch.MaxAge > ms {
		t.Errorf("age %v after the group's purge", fetch.MaxAge)
	}
}

// While discovery is overdue, copies from before the last known time are not served, until discovery has
// caught up or no older copy is left. A later purge of the object still counts.
func TestDiscoveryOverdueLimitsCopyAge(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	h.handle(DiscoveryOverdue{Overdue: true, Age: 200 * ms})
	if fetch := h.requireFetch(h.handle(newRequest("a", "o"))); fetch.MaxAge != 200*ms || fetch.Options&(Coalesce|RefreshInBackground) != 0 {
		t.Errorf("age %v, options %b", fetch.MaxAge, fetch.Options)
	}
	h.now += 100 * ms
	h.handle(Purged{Object: "o", Group: 1, Age: 50 * ms})
	if fetch := h.requireFetch(h.handle(newRequest("b", "o"))); fetch.MaxAge != 50*ms {
		t.Errorf("age %v after a purge that is later", fetch.MaxAge)
	}
	if fetch := h.requireFetch(h.handle(newRequest("c", "p"))); fetch.MaxAge != 300*ms {
		t.Errorf("age %v", fetch.MaxAge)
	}
	h.handle(DiscoveryOverdue{})
	if fetch := h.requireFetch(h.handle(newRequest("d", "p"))); fetch.MaxAge != 0 {
		t.Errorf("age %v once discovery has caught up", fetch.MaxAge)
	}
	if fetch := h.requireFetch(h.handle(newRequest("e", "o"))); fetch.MaxAge != 50*ms {
		t.Errorf("age %v after the purge", fetch.MaxAge)
	}
	h.handle(DiscoveryOverdue{Overdue: true})
	h.now += 2*h.router.settings.PurgeDuration + ms
	if fetch := h.requireFetch(h.handle(newRequest("f", "p"))); fetch.MaxAge != 0 {
		t.Errorf("age %v when no older copy is left", fetch.MaxAge)
	}
}
