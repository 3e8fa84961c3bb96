package distribution

import (
	"cmp"
	"container/heap"
	"slices"
)

// key is what an entry is about: a later one of the same key takes the place of an earlier one.
type key struct {
	kind  Kind
	name  string
	group int64
}

func keyOf(e Entry) key {
	switch e.Kind {
	case PurgeGroup:
		return key{kind: PurgeGroup, group: e.Group}
	case DrainEnded:
		return key{kind: Drain, name: e.Name}
	default:
		return key{kind: e.Kind, name: e.Name}
	}
}

// never is the Until of what ends by no time; on the wire and in entries it is 0.
const never = 0

// outlasts tells whether one that ends at until holds at least as long as one that ends at other.
func outlasts(until, other int64) bool {
	return until == never || other != never && until >= other
}

// join is the entry that has the effect of both, for kinds in which an earlier one goes on to count.
func join(earlier, later Entry) Entry {
	switch later.Kind {
	case PurgeObject, PurgeGroup:
		later.Made = max(later.Made, earlier.Made)
		if outlasts(earlier.Until, later.Until) {
			later.Until = earlier.Until
		}
	case Drain: // counted from when it began
		later.Made = min(later.Made, earlier.Made)
	}
	return later
}

// table is all that holds at a place of the stream: by key the one entry that has the effect of all before.
type table struct {
	held   map[key]Entry
	groups map[int64]map[string]struct{} // objects held whose group is known
	ends   ends
	bytes  int
}

func newTable() *table {
	return &table{held: map[key]Entry{}, groups: map[int64]map[string]struct{}{}}
}

// add takes an entry in. It returns it joined with what it covers, and the sequences that it covers.
func (t *table) add(e Entry) (Entry, []uint64) {
	var covered []uint64
	k := keyOf(e)
	if old, known := t.held[k]; known {
		e = join(old, e)
		covered = append(covered, old.Sequence)
		t.remove(k)
	}
	if e.Kind == PurgeGroup {
		covered = append(covered, t.cover(e)...)
	}
	if e.Kind == DrainEnded {
		return e, covered
	}
	t.held[k] = e
	t.bytes += EncodedSize(e)
	if e.Kind == PurgeObject && e.Grouped {
		if t.groups[e.Group] == nil {
			t.groups[e.Group] = map[string]struct{}{}
		}
		t.groups[e.Group][e.Name] = struct{}{}
	}
	if e.Until != never {
		heap.Push(&t.ends, end{until: e.Until, key: k, sequence: e.Sequence})
	}
	return e, covered
}

// cover removes the purges of a group's objects that say no more than the group's.
func (t *table) cover(group Entry) []uint64 {
	var covered []uint64
	for name := range t.groups[group.Group] {
		k := key{kind: PurgeObject, name: name}
		if o := t.held[k]; o.Made <= group.Made && outlasts(group.Until, o.Until) {
			covered = append(covered, o.Sequence)
			t.remove(k)
		}
	}
	slices.Sort(covered)
	return covered
}

// covers tells whether a purge says nothing that is not held.
func (t *table) covers(e Entry) bool {
	if held, known := t.held[keyOf(e)]; known && held.Made >= e.Made && outlasts(held.Until, e.Until) {
		return true
	}
	if e.Kind != PurgeObject || !e.Grouped {
		return false
	}
	held, known := t.held[key{kind: PurgeGroup, group: e.Group}]
	return known && held.Made >= e.Made && outlasts(held.Until, e.Until)
}

func (t *table) remove(k key) {
	e := t.held[k]
	t.bytes -= EncodedSize(e)
	delete(t.held, k)
	if e.Kind == PurgeObject && e.Grouped {
		delete(t.groups[e.Group], e.Name)
		if len(t.groups[e.Group]) == 0 {
			delete(t.groups, e.Group)
		}
	}
}

// expire removes what ended by a time, and returns the sequences.
func (t *table) expire(at int64) []uint64 {
	var gone []uint64
	for len(t.ends) > 0 && t.ends[0].until <= at {
		x := heap.Pop(&t.ends).(end)
		if e, held := t.held[x.key]; held && e.Sequence == x.sequence {
			t.remove(x.key)
			gone = append(gone, x.sequence)
		}
	}
	if len(t.ends) > 2*len(t.held)+idleEnds {
		t.tidy()
	}
	return gone
}

// idleEnds are kept of what was covered before its time, before they are looked through: fewer cost more looks.
const idleEnds = 1024

func (t *table) tidy() {
	kept := t.ends[:0]
	for _, x := range t.ends {
		if e, held := t.held[x.key]; held && e.Sequence == x.sequence {
			kept = append(kept, x)
		}
	}
	t.ends = kept
	heap.Init(&t.ends)
}

// all is what holds, in the order of sequences.
func (t *table) all() []Entry {
	entries := make([]Entry, 0, len(t.held))
	for _, e := range t.held {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return entries
}

// end is when an entry ends, if it is still held by then.
type end struct {
	until    int64
	key      key
	sequence uint64
}

// ends is a heap, the earliest first.
type ends []end

func (h ends) Len() int           { return len(h) }
func (h ends) Less(i, j int) bool { return h[i].until < h[j].until }
func (h ends) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *ends) Push(x any) { *h = append(*h, x.(end)) }

// Pop implements heap.Interface.
func (h *ends) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
