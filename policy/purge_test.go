package policy

import (
	"testing"
	"time"
)

// After a purge, fetches have a maximum age that excludes older copies and is never 0, and they do not join a
// fill that may have begun before the purge.
func TestPurgeLimitsCopyAge(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	h.handle(Purged{Object: "o", Group: 1, Age: 100 * ms})
	if fetch := h.requireFetch(h.handle(newRequest("a", "o"))); fetch.MaxAge != 100*ms || fetch.Options&(Coalesce|RefreshInBackground) != 0 {
		t.Errorf("got maximum age %v and options %b, want 100ms and neither Coalesce nor RefreshInBackground", fetch.MaxAge, fetch.Options)
	}
	h.now += time.Second
	if fetch := h.requireFetch(h.handle(newRequest("b", "o"))); fetch.MaxAge != 1100*ms {
		t.Errorf("got maximum age %v, want 1.1s", fetch.MaxAge)
	}
	h.handle(Purged{Group: 1})
	if fetch := h.requireFetch(h.handle(newRequest("c", "p"))); fetch.MaxAge <= 0 || fetch.MaxAge > ms {
		t.Errorf("got maximum age %v after the group's purge, want above 0 and at most 1ms", fetch.MaxAge)
	}
}

// While discovery is overdue, copies from before the given time are not served, until discovery has reported
// all purges again or no older copy is left. A later purge of the object still applies.
func TestDiscoveryOverdueLimitsCopyAge(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	h.handle(DiscoveryOverdue{Overdue: true, Age: 200 * ms})
	if fetch := h.requireFetch(h.handle(newRequest("a", "o"))); fetch.MaxAge != 200*ms || fetch.Options&(Coalesce|RefreshInBackground) != 0 {
		t.Errorf("got maximum age %v and options %b, want 200ms and neither Coalesce nor RefreshInBackground", fetch.MaxAge, fetch.Options)
	}
	h.now += 100 * ms
	h.handle(Purged{Object: "o", Group: 1, Age: 50 * ms})
	if fetch := h.requireFetch(h.handle(newRequest("b", "o"))); fetch.MaxAge != 50*ms {
		t.Errorf("got maximum age %v after a later purge of the object, want 50ms", fetch.MaxAge)
	}
	if fetch := h.requireFetch(h.handle(newRequest("c", "p"))); fetch.MaxAge != 300*ms {
		t.Errorf("got maximum age %v, want 300ms", fetch.MaxAge)
	}
	h.handle(DiscoveryOverdue{})
	if fetch := h.requireFetch(h.handle(newRequest("d", "p"))); fetch.MaxAge != 0 {
		t.Errorf("got maximum age %v after discovery reported all purges, want 0", fetch.MaxAge)
	}
	if fetch := h.requireFetch(h.handle(newRequest("e", "o"))); fetch.MaxAge != 50*ms {
		t.Errorf("got maximum age %v of an object that was purged, want 50ms", fetch.MaxAge)
	}
	h.handle(DiscoveryOverdue{Overdue: true})
	h.now += 2*h.router.settings.PurgeDuration + ms
	if fetch := h.requireFetch(h.handle(newRequest("f", "p"))); fetch.MaxAge != 0 {
		t.Errorf("got maximum age %v when no older copy is left, want 0", fetch.MaxAge)
	}
}

// Guards against a copy from before a group's purge that answers a request which names no group, as signed links do.
func TestGroupPurgeLimitsRequestsOfUnknownGroup(t *testing.T) {
	h := startRouter(t, testSettings(), testMembers())
	request := func(id string, group int) Request {
		r := newRequest(id, "o")
		r.Group = group
		return r
	}
	if fetch := h.requireFetch(h.handle(request("a", -1))); fetch.MaxAge != 0 {
		t.Errorf("got maximum age %v before any purge, want 0", fetch.MaxAge)
	}
	h.handle(Purged{Group: 3, Age: 100 * ms})
	h.now += 50 * ms
	h.handle(Purged{Group: 4, Age: 170 * ms}) // told later, and older
	if fetch := h.requireFetch(h.handle(request("b", -1))); fetch.MaxAge != 150*ms {
		t.Errorf("got maximum age %v, want that since the latest purge of any group", fetch.MaxAge)
	}
	if fetch := h.requireFetch(h.handle(request("c", 5))); fetch.MaxAge != 0 {
		t.Errorf("got maximum age %v of another group, want 0", fetch.MaxAge)
	}
	h.now += 2*h.router.settings.PurgeDuration + ms
	if fetch := h.requireFetch(h.handle(request("d", -1))); fetch.MaxAge != 0 {
		t.Errorf("got maximum age %v when no older copy is left, want 0", fetch.MaxAge)
	}
}
