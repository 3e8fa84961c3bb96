package distribution

import (
	"cmp"
	"container/heap"
	"slices"
)

// key is what an entry is about: a later one of the same key takes the place of an earlier one.
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

// never is the Until of what ends by no time; on the wire and in entries it is 0.
const noExpiry = 0

// outlasts tells whether one that ends at until holds at least as long as one that ends at other.
func outlasts(until, other int64) bool {
	return until == noExpiry || other != noExpiry && until >= other
}

// join is the entry that has the effect of both, for kinds in which an earlier one goes on to count.
func joinEntries(earlier, later Entry) Entry {
	switch later.Kind {
	case PurgeObject, PurgeGroup:
		later.EffectiveAt = max(later.EffectiveAt, earlier.EffectiveAt)
		if outlasts(earlier.ExpiresAt, later.ExpiresAt) {
			later.ExpiresAt = earlier.ExpiresAt
		}
	case Drain: // counted from when it began
		later.EffectiveAt = min(later.EffectiveAt, earlier.EffectiveAt)
	}
	return later
}

// table is all that holds at a place of the stream: by key the one entry that has the effect of all before.
type factTable struct {
	entries        map[factKey]Entry
	objectsByGroup map[int64]map[string]struct{} // objects held whose group is known
	expiries       expiryHeap
	bytes          int
}

func newFactTable() *factTable {
	return &factTable{entries: map[factKey]Entry{}, objectsByGroup: map[int64]map[string]struct{}{}}
}

// add takes an entry in. It returns it joined with what it covers, and the sequences that it covers.
func (t *factTable) add(e Entry) (Entry, []uint64) {
	var covered []uint64
	k := factKeyOf(e)
	if old, known := t.entries[k]; known {
		e = joinEntries(old, e)
		covered = append(covered, old.Sequence)
		t.remove(k)
	}
	if e.Kind == PurgeGroup {
		covered = append(covered, t.coverObjects(e)...)
	}
	if e.Kind == DrainEnded {
		return e, covered
	}
	t.entries[k] = e
	t.bytes += EncodedSize(e)
	if e.Kind == PurgeObject && e.GroupKnown {
		if t.objectsByGroup[e.Group] == nil {
			t.objectsByGroup[e.Group] = map[string]struct{}{}
		}
		t.objectsByGroup[e.Group][e.Name] = struct{}{}
	}
	if e.ExpiresAt != noExpiry {
		heap.Push(&t.expiries, expiry{expiresAt: e.ExpiresAt, key: k, sequence: e.Sequence})
	}
	return e, covered
}

// cover removes the purges of a group's objects that say no more than the group's.
func (t *factTable) coverObjects(group Entry) []uint64 {
	var covered []uint64
	for name := range t.objectsByGroup[group.Group] {
		k := factKey{kind: PurgeObject, name: name}
		if o := t.entries[k]; o.EffectiveAt <= group.EffectiveAt && outlasts(group.ExpiresAt, o.ExpiresAt) {
			covered = append(covered, o.Sequence)
			t.remove(k)
		}
	}
	slices.Sort(covered)
	return covered
}

// covers tells whether a purge says nothing that is not held.
func (t *factTable) covers(e Entry) bool {
	if held, known := t.entries[factKeyOf(e)]; known && held.EffectiveAt >= e.EffectiveAt && outlasts(held.ExpiresAt, e.ExpiresAt) {
		return true
	}
	if e.Kind != PurgeObject || !e.GroupKnown {
		return false
	}
	held, known := t.entries[factKey{kind: PurgeGroup, group: e.Group}]
	return known && held.EffectiveAt >= e.EffectiveAt && outlasts(held.ExpiresAt, e.ExpiresAt)
}

func (t *factTable) remove(k factKey) {
	e := t.entries[k]
	t.bytes -= EncodedSize(e)
	delete(t.entries, k)
	if e.Kind == PurgeObject && e.GroupKnown {
		delete(t.objectsByGroup[e.Group], e.Name)
		if len(t.objectsByGroup[e.Group]) == 0 {
			delete(t.objectsByGroup, e.Group)
		}
	}
}

// expire removes what ended by a time, and returns the sequences.
func (t *factTable) expire(at int64) []uint64 {
	var gone []uint64
	for len(t.expiries) > 0 && t.expiries[0].expiresAt <= at {
		x := heap.Pop(&t.expiries).(expiry)
		if e, held := t.entries[x.key]; held && e.Sequence == x.sequence {
			t.remove(x.key)
			gone = append(gone, x.sequence)
		}
	}
	if len(t.expiries) > 2*len(t.entries)+maxStaleExpiries {
		t.dropStaleExpiries()
	}
	return gone
}

// idleEnds are kept of what was covered before its time, before they are looked through: fewer cost more looks.
const maxStaleExpiries = 1024

func (t *factTable) dropStaleExpiries() {
	kept := t.expiries[:0]
	for _, x := range t.expiries {
		if e, held := t.entries[x.key]; held && e.Sequence == x.sequence {
			kept = append(kept, x)
		}
	}
	t.expiries = kept
	heap.Init(&t.expiries)
}

// all is what holds, in the order of sequences.
func (t *factTable) sorted() []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return entries
}

// end is when an entry ends, if it is still held by then.
type expiry struct {
	expiresAt int64
	key       factKey
	sequence  uint64
}

// ends is a heap, the earliest first.
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
