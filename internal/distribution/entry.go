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

// noStream is the stream of changes that are not distributed.
const noStream distribution.Stream = 0

// entryOf returns a change of the store as an entry of a stream, or noStream. r is the revision of the configuration after the change.
func entryOf(index uint64, c storestate.Change, r storestate.Revision) (distribution.Stream, distribution.Entry, error) {
	switch c.Kind {
	case storestate.AddPurge:
		return distribution.Purges, purgeEntry(index, *c.Purge, c.ExpiresAt), nil
	case storestate.StartDrain:
		return distribution.Configuration, drainEntry(index, c.Name, c.ProposedAt), nil
	case storestate.EndDrain:
		return distribution.Configuration, distribution.Entry{Sequence: index, Kind: distribution.DrainEnded, Name: c.Name}, nil
	case storestate.SetList:
		e, err := listEntry(index, c.Name, *c.List)
		return distribution.Configuration, e, err
	case storestate.SetConfig:
		e, err := revisionEntry(index, r)
		return distribution.Configuration, e, err
	default:
		return noStream, distribution.Entry{}, nil
	}
}

// purgeEntry returns the entry of a purge. One that expired at 0 expires at 1, as 0 stands for never.
func purgeEntry(index uint64, p storestate.Purge, expiresAt float64) distribution.Entry {
	e := distribution.Entry{
		Sequence: index, Kind: distribution.PurgeObject, Name: p.Object,
		EffectiveAt: roundUp(p.IssuedAt), ExpiresAt: max(1, roundUp(expiresAt)),
	}
	if p.Object == "" {
		e.Kind, e.Group = distribution.PurgeGroup, int64(p.Group)
	}
	return e
}

func drainEntry(index uint64, server string, startedAt float64) distribution.Entry {
	return distribution.Entry{Sequence: index, Kind: distribution.Drain, Name: server, EffectiveAt: roundUp(startedAt)}
}

func listEntry(index uint64, source string, l storestate.List) (distribution.Entry, error) {
	body, err := cbor.Marshal(l)
	return distribution.Entry{Sequence: index, Kind: distribution.List, Name: source, Version: l.Generation, Body: body}, err
}

func revisionEntry(index uint64, r storestate.Revision) (distribution.Entry, error) {
	body, err := cbor.Marshal(r)
	return distribution.Entry{Sequence: index, Kind: distribution.Revision, Version: r.Number, Body: body}, err
}

// roundUp rounds a time up to whole ms, within what an entry can hold.
func roundUp(ms float64) int64 { return int64(min(math.Ceil(ms), math.MaxInt64/2)) }

// snapshotEntries returns the entries of everything that a state holds, by stream and in the order of the log.
func snapshotEntries(s *storestate.State) (map[distribution.Stream][]distribution.Entry, error) {
	configuration, err := configurationEntries(s)
	if err != nil {
		return nil, err
	}
	out := map[distribution.Stream][]distribution.Entry{distribution.Configuration: configuration}
	if purges := purgeEntries(s); len(purges) > 0 {
		out[distribution.Purges] = purges
	}
	for _, entries := range out {
		if err := orderEntries(entries); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// indexOf returns the index in the log of the change that brought a fact; 0 if it came before the state had indexes.
func indexOf(s *storestate.State, k storestate.Kind, name string) uint64 {
	return s.FactIndexes[storestate.FactKey(k, name)]
}

func purgeEntries(s *storestate.State) (entries []distribution.Entry) {
	for _, name := range slices.Sorted(maps.Keys(s.Purges)) {
		p := s.Purges[name]
		entries = append(entries, purgeEntry(indexOf(s, storestate.AddPurge, name), p, p.ExpiresAt))
	}
	return entries
}

func configurationEntries(s *storestate.State) (entries []distribution.Entry, err error) {
	if r := s.Revision(); r.Number > 0 {
		e, err := revisionEntry(indexOf(s, storestate.SetConfig, ""), r)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Lists)) {
		e, err := listEntry(indexOf(s, storestate.SetList, name), name, s.Lists[name])
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Drains)) {
		entries = append(entries, drainEntry(indexOf(s, storestate.StartDrain, name), name, s.Drains[name]))
	}
	return entries, nil
}

// orderEntries sorts entries by sequence. Those without an index come first, under the lowest sequences: no stream can be resumed from
// that long ago. It fails if two entries have the same sequence.
func orderEntries(entries []distribution.Entry) error {
	slices.SortStableFunc(entries, func(a, b distribution.Entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for i := range entries {
		if entries[i].Sequence == 0 {
			entries[i].Sequence = uint64(i) + 1
		}
		if i > 0 && entries[i].Sequence <= entries[i-1].Sequence {
			return fmt.Errorf("distribution: the indexes of the state do not rise at %d", entries[i].Sequence)
		}
	}
	return nil
}
