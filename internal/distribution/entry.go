package distribution

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/storestate"
)

// entryOf is a change of the store as an entry of a stream; 0: it is of none.
func entryOf(index uint64, c storestate.Change, r storestate.Revision) (distribution.Stream, distribution.Entry, error) {
	e := distribution.Entry{Sequence: index, Name: c.Name}
	switch c.Kind {
	case storestate.AddPurge:
		return distribution.Purges, purgeEntry(index, *c.Purge, c.ExpiresAt), nil
	case storestate.StartDrain:
		e.Kind, e.EffectiveAt = distribution.Drain, roundUp(c.ProposedAt)
	case storestate.EndDrain:
		e.Kind = distribution.DrainEnded
	case storestate.SetList:
		return listEntry(e, *c.List)
	case storestate.SetConfig:
		return revisionEntry(e, r)
	default:
		return 0, e, nil
	}
	return distribution.Configuration, e, nil
}

func purgeEntry(index uint64, p storestate.Purge, until float64) distribution.Entry {
	// An end of 0 would be none: such a purge ended long ago.
	e := distribution.Entry{Sequence: index, Kind: distribution.PurgeObject, Name: p.Object, EffectiveAt: roundUp(p.IssuedAt), ExpiresAt: max(1, roundUp(until))}
	if p.Object == "" {
		e.Kind, e.Group = distribution.PurgeGroup, int64(p.Group)
	}
	return e
}

func listEntry(e distribution.Entry, l storestate.List) (_ distribution.Stream, _ distribution.Entry, err error) {
	e.Kind, e.Version = distribution.List, l.Generation
	e.Body, err = cbor.Marshal(l)
	return distribution.Configuration, e, err
}

func revisionEntry(e distribution.Entry, r storestate.Revision) (_ distribution.Stream, _ distribution.Entry, err error) {
	e.Kind, e.Version, e.Name = distribution.Revision, r.Number, ""
	e.Body, err = cbor.Marshal(r)
	return distribution.Configuration, e, err
}

// ceil rounds a time up, to what an entry holds.
func roundUp(ms float64) int64 { return int64(min(math.Ceil(ms), math.MaxInt64/2)) }

// whole are the entries of all that a state holds, by stream and in the order of the log. What came before the state kept
// indexes comes first, under the lowest numbers: nobody has heard of a stream that long ago.
func snapshotEntries(s *storestate.State) (map[distribution.Stream][]distribution.Entry, error) {
	out := map[distribution.Stream][]distribution.Entry{}
	index := func(k storestate.Kind, name string) uint64 { return s.FactIndexes[storestate.FactKey(k, name)] }
	for _, name := range slices.Sorted(maps.Keys(s.Purges)) {
		p := s.Purges[name]
		out[distribution.Purges] = append(out[distribution.Purges], purgeEntry(index(storestate.AddPurge, name), p, p.ExpiresAt))
	}
	var all []distribution.Entry
	if r := s.Revision(); r.Number > 0 {
		_, e, err := revisionEntry(distribution.Entry{Sequence: index(storestate.SetConfig, "")}, r)
		if err != nil {
			return nil, err
		}
		all = append(all, e)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Lists)) {
		_, e, err := listEntry(distribution.Entry{Sequence: index(storestate.SetList, name), Name: name}, s.Lists[name])
		if err != nil {
			return nil, err
		}
		all = append(all, e)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Drains)) {
		all = append(all, distribution.Entry{
			Sequence: index(storestate.StartDrain, name), Kind: distribution.Drain, Name: name, EffectiveAt: roundUp(s.Drains[name]),
		})
	}
	out[distribution.Configuration] = all
	for _, entries := range out {
		slices.SortStableFunc(entries, func(a, b distribution.Entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
		for i := range entries {
			if entries[i].Sequence == 0 {
				entries[i].Sequence = uint64(i) + 1
			}
			if i > 0 && entries[i].Sequence <= entries[i-1].Sequence {
				return nil, fmt.Errorf("distribution: a state whose indexes do not rise at %d", entries[i].Sequence)
			}
		}
	}
	return out, nil
}

// bodies bounds what the body of an entry may claim.
var bodyDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// held is what of the configuration is in force in this process, so that a snapshot is told as what differs from it.
type inForce struct {
	revision uint64
	lists    map[string]uint64
	drains   map[string]bool
}

// sink is where entries come into force: the same as the store's facts of a member go to.
type entryApplier struct {
	applyChange   func(storestate.Change)
	applyRevision func(storestate.Revision)
	inForce       inForce
}

func newEntryApplier(o *Options) *entryApplier {
	return &entryApplier{applyChange: o.ApplyChange, applyRevision: o.ApplyRevision, inForce: inForce{lists: map[string]uint64{}, drains: map[string]bool{}}}
}

// put has one entry come into force. What this version can't read is an error, and passed over as the store does it.
func (s *entryApplier) apply(e distribution.Entry) error {
	c := storestate.Change{Name: e.Name, ProposedAt: float64(e.EffectiveAt), ExpiresAt: float64(e.ExpiresAt)}
	switch e.Kind {
	case distribution.PurgeObject, distribution.PurgeGroup:
		c.Kind, c.Name = storestate.AddPurge, ""
		c.Purge = &storestate.Purge{IssuedAt: float64(e.EffectiveAt), ExpiresAt: float64(e.ExpiresAt)}
		if c.Purge.Object = e.Name; e.Kind == distribution.PurgeGroup {
			c.Purge.Object, c.Purge.Group = "", int(e.Group)
		}
	case distribution.Drain:
		c.Kind = storestate.StartDrain
		s.inForce.drains[e.Name] = true
	case distribution.DrainEnded:
		c.Kind = storestate.EndDrain
		delete(s.inForce.drains, e.Name)
	case distribution.List:
		c.Kind, c.List = storestate.SetList, &storestate.List{}
		if err := bodyDecoder.Unmarshal(e.Body, c.List); err != nil {
			return fmt.Errorf("distribution: list %q: %w", e.Name, err)
		}
		s.inForce.lists[e.Name] = e.Version
	case distribution.Revision:
		var r storestate.Revision
		if err := bodyDecoder.Unmarshal(e.Body, &r); err != nil {
			return fmt.Errorf("distribution: revision %d: %w", e.Version, err)
		}
		s.inForce.revision = e.Version
		s.applyRevision(r)
		return nil
	default:
		return fmt.Errorf("distribution: an entry of kind %d", e.Kind)
	}
	s.applyChange(c)
	return nil
}

// whole has what a snapshot holds come into force where it is not yet, and ends the drains that it does not hold.
func (s *entryApplier) applySnapshot(entries []distribution.Entry, bad func(error)) {
	drains := map[string]bool{}
	for _, e := range entries {
		drains[e.Name] = drains[e.Name] || e.Kind == distribution.Drain
	}
	for _, name := range slices.SortedFunc(maps.Keys(s.inForce.drains), cmp.Compare[string]) {
		if !drains[name] {
			_ = s.apply(distribution.Entry{Kind: distribution.DrainEnded, Name: name})
		}
	}
	for _, e := range entries {
		number, listed := s.inForce.lists[e.Name]
		switch {
		case e.Kind == distribution.Drain && s.inForce.drains[e.Name]:
		case e.Kind == distribution.List && listed && number == e.Version:
		case e.Kind == distribution.Revision && s.inForce.revision == e.Version:
		default:
			if err := s.apply(e); err != nil {
				bad(err)
			}
		}
	}
}
