package distribution

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	decider "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/storestate"
)

// noStream is the stream of changes that are not distributed.
const noStream decider.Stream = 0

// entryOf returns a change of the store as an entry, and its stream, or noStream for a change that is not distributed. r is the revision
// of the configuration after the change.
func entryOf(index uint64, c storestate.Change, r storestate.Revision) (decider.Stream, decider.Entry, error) {
	switch c.Kind {
	case storestate.AddPurge:
		return decider.Purges, purgeEntry(index, *c.Purge, c.ExpiresAt), nil
	case storestate.StartDrain:
		return decider.Configuration, drainEntry(index, c.Name, c.ProposedAt), nil
	case storestate.EndDrain:
		return decider.Configuration, decider.Entry{Sequence: index, Kind: decider.DrainEnded, Name: c.Name}, nil
	case storestate.SetList:
		e, err := listEntry(index, c.Name, *c.List)
		return decider.Configuration, e, err
	case storestate.SetConfig:
		e, err := revisionEntry(index, r)
		return decider.Configuration, e, err
	default:
		return noStream, decider.Entry{}, nil
	}
}

// purgeEntry returns the entry of a purge. expiresAt is Unix ms; 0 and less become 1, because 0 means never in an entry.
func purgeEntry(index uint64, p storestate.Purge, expiresAt float64) decider.Entry {
	e := decider.Entry{
		Sequence: index, Kind: decider.PurgeObject, Name: p.Object,
		EffectiveAt: roundUp(p.IssuedAt), ExpiresAt: max(1, roundUp(expiresAt)),
	}
	if p.Object == "" {
		e.Kind, e.Group = decider.PurgeGroup, int64(p.Group)
	}
	return e
}

func drainEntry(index uint64, server string, startedAt float64) decider.Entry {
	return decider.Entry{Sequence: index, Kind: decider.Drain, Name: server, EffectiveAt: roundUp(startedAt)}
}

func listEntry(index uint64, source string, l storestate.List) (decider.Entry, error) {
	body, err := cbor.Marshal(l)
	return decider.Entry{Sequence: index, Kind: decider.List, Name: source, Version: l.Generation, Body: body}, err
}

func revisionEntry(index uint64, r storestate.Revision) (decider.Entry, error) {
	body, err := cbor.Marshal(r)
	return decider.Entry{Sequence: index, Kind: decider.Revision, Version: r.Number, Body: body}, err
}

// roundUp rounds a time up to whole ms, and limits it to values that an entry can hold.
func roundUp(ms float64) int64 { return int64(min(math.Ceil(ms), math.MaxInt64/2)) }

// snapshotEntries returns the entries of a whole state of the store, by stream and in the order of the log.
func snapshotEntries(s *storestate.State) (map[decider.Stream][]decider.Entry, error) {
	configuration, err := configurationEntries(s)
	if err != nil {
		return nil, err
	}
	entriesByStream := map[decider.Stream][]decider.Entry{decider.Configuration: configuration}
	if purges := purgeEntries(s); len(purges) > 0 {
		entriesByStream[decider.Purges] = purges
	}
	for _, entries := range entriesByStream {
		if err := orderEntries(entries); err != nil {
			return nil, err
		}
	}
	return entriesByStream, nil
}

// indexOf returns the log index of the change that set a fact; 0 if the change was made before the state recorded indexes.
func indexOf(s *storestate.State, k storestate.Kind, name string) uint64 {
	return s.FactIndexes[storestate.FactKey(k, name)]
}

func purgeEntries(s *storestate.State) (entries []decider.Entry) {
	for _, name := range slices.Sorted(maps.Keys(s.Purges)) {
		p := s.Purges[name]
		entries = append(entries, purgeEntry(indexOf(s, storestate.AddPurge, name), p, p.ExpiresAt))
	}
	return entries
}

func configurationEntries(s *storestate.State) (entries []decider.Entry, err error) {
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

// orderEntries sorts entries by sequence. Entries without an index come first and are numbered from 1: they are older than any position
// that a subscriber resumes from. It fails if an entry's sequence is then not higher than that of the previous entry.
func orderEntries(entries []decider.Entry) error {
	slices.SortStableFunc(entries, func(a, b decider.Entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for i := range entries {
		if entries[i].Sequence == 0 {
			entries[i].Sequence = uint64(i) + 1
		}
		if i > 0 && entries[i].Sequence <= entries[i-1].Sequence {
			return fmt.Errorf("distribution: sequence %d in the store's state is not higher than the previous entry's", entries[i].Sequence)
		}
	}
	return nil
}
