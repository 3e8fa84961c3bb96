package check

import (
	"bytes"

	"ravenwheel/internal/decide/distribution"
)

// fact is a committed entry.
type fact struct {
	distribution.Entry
	committedAt int64 // Unix ms
}

// History holds what the store has committed, by epoch. The zero value is empty.
type History struct {
	epochs map[uint64][]fact
	latest distribution.Position
}

// Commit records an entry. The sequences of an epoch rise; at is Unix ms by the store's clock.
func (h *History) Commit(epoch uint64, e distribution.Entry, at int64) {
	if h.epochs == nil {
		h.epochs = map[uint64][]fact{}
	}
	h.epochs[epoch] = append(h.epochs[epoch], fact{Entry: e, committedAt: at})
	if p := (distribution.Position{Epoch: epoch, Sequence: e.Sequence}); h.latest.Before(p) {
		h.latest = p
	}
}

// Begin records that the store begins an epoch at a position. Up to there the epoch has only the entries that are committed after Begin.
func (h *History) Begin(at distribution.Position) {
	if h.latest.Before(at) {
		h.latest = at
	}
}

// Clone copies the history for a model that branches.
func (h *History) Clone() *History {
	c := &History{epochs: map[uint64][]fact{}, latest: h.latest}
	for epoch, facts := range h.epochs {
		c.epochs[epoch] = facts[:len(facts):len(facts)]
	}
	return c
}

// Latest returns the position of the last entry, or the start of the last epoch if that is later.
func (h *History) Latest() distribution.Position { return h.latest }

// find returns the last fact up to a sequence that has the content of an entry. A purge may void more copies than the fact does.
func (h *History) find(epoch, through uint64, e distribution.Entry) (found fact, known bool) {
	for _, f := range h.epochs[epoch] {
		switch {
		case f.Sequence > through, f.Kind != e.Kind, factKeyOf(f.Entry) != factKeyOf(e), f.Group != e.Group,
			f.GroupKnown != e.GroupKnown, f.Version != e.Version, !bytes.Equal(f.Body, e.Body):
		case isPurge(e.Kind) && !subsumes(e, f.Entry):
		default:
			found, known = f, true
		}
	}
	return found, known
}

// factKey identifies the subject of an entry. A later entry replaces an earlier one with the same key.
type factKey struct {
	kind  distribution.Kind
	name  string
	group int64
}

func factKeyOf(e distribution.Entry) factKey {
	switch e.Kind {
	case distribution.PurgeGroup:
		return factKey{kind: e.Kind, group: e.Group}
	case distribution.DrainEnded:
		return factKey{kind: distribution.Drain, name: e.Name}
	default:
		return factKey{kind: e.Kind, name: e.Name}
	}
}

func isPurge(k distribution.Kind) bool {
	return k == distribution.PurgeObject || k == distribution.PurgeGroup
}

// subsumes reports whether a purge voids every copy that another purge of the same object or group voids. It duplicates the function of
// the checked package, because the checker must not rely on the code that it checks.
func subsumes(purge, other distribution.Entry) bool {
	return purge.EffectiveAt >= other.EffectiveAt && outlasts(purge.ExpiresAt, other.ExpiresAt)
}

// outlasts reports whether an entry that expires at expiresAt (0: never) holds at least as long as one that expires at other.
func outlasts(expiresAt, other int64) bool { return expiresAt == 0 || other != 0 && expiresAt >= other }
