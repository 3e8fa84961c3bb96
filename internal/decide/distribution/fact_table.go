package distribution

import (
	"cmp"
	"container/heap"
	"slices"
)

// factKey identifies the subject of an entry: a later entry replaces an earlier one with the same key.
type factKey struct {
	kind  Kind
	name  string
	group int64
}

func factKeyOf(e Entry) factKey {
	switch e.Kind {
	case PurgeGroup:
		return factKey{kind: PurgeGroup, group: e.Group}
	case DrainEnded:
		return factKey{kind: Drain, name: e.Name}
	default:
		return factKey{kind: e.Kind, name: e.Name}
	}
}

// noExpiry is the value of ExpiresAt in an entry that never expires.
const noExpiry = 0

// outlasts reports whether an entry that expires at expiresAt holds at least as long as one that expires at other.
func outlasts(expiresAt, other int64) bool {
	return expiresAt == noExpiry || other != noExpiry && expiresAt >= other
}

// subsumes reports whether a purge voids every copy that another purge voids. Both are of the same object or group, or the former is of
// the group of the latter's object.
func subsumes(purge, other Entry) bool {
	return purge.EffectiveAt >= other.EffectiveAt && outlasts(purge.ExpiresAt, other.ExpiresAt)
}

// joinEntries returns the later of two entries with the same key, changed to have the effect of both if the kind requires it.
func joinEntries(earlier, later Entry) Entry {
	switch later.Kind {
	case PurgeObject, PurgeGroup:
		later.EffectiveAt = max(later.EffectiveAt, earlier.EffectiveAt)
		if outlasts(earlier.ExpiresAt, later.ExpiresAt) {
			later.ExpiresAt = earlier.ExpiresAt
		}
	case Drain: // a drain that is started again keeps its first start time
		later.EffectiveAt = min(later.EffectiveAt, earlier.EffectiveAt)
	}
	return later
}

// factTable is the state at a position: for each key one entry, which has the effect of all earlier entries with that key.
type factTable struct {
	entries        map[factKey]Entry
	objectsByGroup map[int64]map[string]struct{} // names of the purged objects whose group is known
	expiries       expiryHeap
	bytes          int // of the entries, encoded
}

func newFactTable() *factTable {
	return &factTable{entries: map[factKey]Entry{}, objectsByGroup: map[int64]map[string]struct{}{}}
}

// add adds an entry. It returns the entry joined with the one that it replaces, and the sequences of the entries that it covers.
func (t *factTable) add(e Entry) (joined Entry, covered []uint64) {
	key := factKeyOf(e)
	if old, known := t.entries[key]; known {
		e = joinEntries(old, e)
		covered = append(covered, old.Sequence)
		t.remove(key)
	}
	if e.Kind == PurgeGroup {
		covered = append(covered, t.coverObjects(e)...)
	}
	if e.Kind == DrainEnded {
		return e, covered
	}
	t.entries[key] = e
	t.bytes += EncodedSize(e)
	if e.Kind == PurgeObject && e.GroupKnown {
		if t.objectsByGroup[e.Group] == nil {
			t.objectsByGroup[e.Group] = map[string]struct{}{}
		}
		t.objectsByGroup[e.Group][e.Name] = struct{}{}
	}
	if e.ExpiresAt != noExpiry {
		heap.Push(&t.expiries, expiry{expiresAt: e.ExpiresAt, key: key, sequence: e.Sequence})
	}
	return e, covered
}

// coverObjects removes the object purges that a purge of their group covers, and returns their sequences.
func (t *factTable) coverObjects(group Entry) []uint64 {
	var covered []uint64
	for name := range t.objectsByGroup[group.Group] {
		key := factKey{kind: PurgeObject, name: name}
		if object := t.entries[key]; subsumes(group, object) {
			covered = append(covered, object.Sequence)
			t.remove(key)
		}
	}
	slices.Sort(covered)
	return covered
}

// covers reports whether the table already has the effect of a purge.
func (t *factTable) covers(purge Entry) bool {
	if existing, known := t.entries[factKeyOf(purge)]; known && subsumes(existing, purge) {
		return true
	}
	if purge.Kind != PurgeObject || !purge.GroupKnown {
		return false
	}
	existing, known := t.entries[factKey{kind: PurgeGroup, group: purge.Group}]
	return known && subsumes(existing, purge)
}

func (t *factTable) remove(key factKey) {
	e := t.entries[key]
	t.bytes -= EncodedSize(e)
	delete(t.entries, key)
	if e.Kind == PurgeObject && e.GroupKnown {
		delete(t.objectsByGroup[e.Group], e.Name)
		if len(t.objectsByGroup[e.Group]) == 0 {
			delete(t.objectsByGroup, e.Group)
		}
	}
}

// expire removes the entries that expired by a time, Unix ms, and returns their sequences.
func (t *factTable) expire(at int64) []uint64 {
	var expired []uint64
	for len(t.expiries) > 0 && t.expiries[0].expiresAt <= at {
		x := heap.Pop(&t.expiries).(expiry)
		if t.current(x) {
			t.remove(x.key)
			expired = append(expired, x.sequence)
		}
	}
	if len(t.expiries) > 2*len(t.entries)+maxStaleExpiries {
		t.dropStaleExpiries()
	}
	return expired
}

// current reports whether the table still holds the entry that an expiry belongs to.
func (t *factTable) current(x expiry) bool {
	e, exists := t.entries[x.key]
	return exists && e.Sequence == x.sequence
}

// maxStaleExpiries bounds the expiries in the heap whose entries are no longer in the table: there may be this many more than the table
// has entries. With a lower bound the heap is cleaned up more often.
const maxStaleExpiries = 1024

func (t *factTable) dropStaleExpiries() {
	t.expiries = slices.DeleteFunc(t.expiries, func(x expiry) bool { return !t.current(x) })
	heap.Init(&t.expiries)
}

// sorted returns all entries by sequence.
func (t *factTable) sorted() []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return entries
}

// expiry is the time at which an entry expires, if the entry is still in the table then.
type expiry struct {
	expiresAt int64 // Unix ms
	key       factKey
	sequence  uint64
}

// expiryHeap is a heap with the earliest expiry first.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
