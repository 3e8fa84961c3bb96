// How old a copy may be after a purge.

package policy

import "time"

func (r *Router) purged(e Purged) {
	at := r.now - e.Age
	if e.Object != "" {
		old, _ := r.objectPurged.get(e.Object)
		r.objectPurged.put(e.Object, max(at, old))
		return
	}
	old, _ := r.groupPurged.get(e.Group)
	r.groupPurged.put(e.Group, max(at, old))
}

// overdueDiscovery has every copy from before a time count as purged for as long as nobody can tell which
// were. Where all that was made by then counts as told, serving one of them breaks the rule.
func (r *Router) overdueDiscovery(e Overdue) {
	r.unheard, r.unheardUntil = e.On, r.now-e.Age
}

// age is the oldest copy that will do, 0 for the class's own fresh time, and whether a purge set it.
// Counted from the purge, it shuts out every copy from before, at the cache and at its source.
func (r *Router) age(q *request) (time.Duration, bool) {
	at, ok := r.objectPurged.get(q.Object)
	if g, also := r.groupPurged.get(q.Group); also && (!ok || g > at) {
		at, ok = g, true
	}
	if r.unheard && (!ok || r.unheardUntil > at) {
		at, ok = r.unheardUntil, true
	}
	// Twice the time in which copies are dropped: a copy may have been on its way when its source's went.
	if !ok || r.now-at > 2*r.set.PurgeTakes {
		return 0, false
	}
	age := max(r.now-at, time.Microsecond)
	if q.class.Fresh > 0 {
		age = min(age, q.class.Fresh)
	}
	return age, true
}
