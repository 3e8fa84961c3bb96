package distribution

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	decider "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/storestate"
)

// bodyDecoder decodes the bodies of entries, and bounds the array lengths and the nesting that a body may announce.
var bodyDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// entryApplier applies entries, by the same functions as a member of the store.
type entryApplier struct {
	applyChange   func(storestate.Change)
	applyRevision func(storestate.Revision)

	// The configuration in effect, so that only the differences of a snapshot are applied.
	revision uint64            // number
	lists    map[string]uint64 // generations, by source
	drains   map[string]bool   // by server
}

func newEntryApplier(o *Options) *entryApplier {
	return &entryApplier{
		applyChange: o.ApplyChange, applyRevision: o.ApplyRevision, lists: map[string]uint64{}, drains: map[string]bool{},
	}
}

// apply applies one entry. It fails for an entry that this version cannot read. The caller then skips the entry, as the store does.
func (a *entryApplier) apply(e decider.Entry) error {
	c := storestate.Change{Name: e.Name, ProposedAt: float64(e.EffectiveAt), ExpiresAt: float64(e.ExpiresAt)}
	switch e.Kind {
	case decider.PurgeObject, decider.PurgeGroup:
		c.Kind, c.Name, c.Purge = storestate.AddPurge, "", purgeOf(e)
	case decider.Drain:
		c.Kind = storestate.StartDrain
		a.drains[e.Name] = true
	case decider.DrainEnded:
		c.Kind = storestate.EndDrain
		delete(a.drains, e.Name)
	case decider.List:
		c.Kind, c.List = storestate.SetList, &storestate.List{}
		if err := bodyDecoder.Unmarshal(e.Body, c.List); err != nil {
			return fmt.Errorf("distribution: decode list %q: %w", e.Name, err)
		}
		a.lists[e.Name] = e.Version
	case decider.Revision:
		var r storestate.Revision
		if err := bodyDecoder.Unmarshal(e.Body, &r); err != nil {
			return fmt.Errorf("distribution: decode revision %d: %w", e.Version, err)
		}
		a.revision = e.Version
		a.applyRevision(r)
		return nil
	default:
		return fmt.Errorf("distribution: unknown kind of entry: %d", e.Kind)
	}
	a.applyChange(c)
	return nil
}

func purgeOf(e decider.Entry) *storestate.Purge {
	p := &storestate.Purge{IssuedAt: float64(e.EffectiveAt), ExpiresAt: float64(e.ExpiresAt)}
	if e.Kind == decider.PurgeGroup {
		p.Group = int(e.Group)
	} else {
		p.Object = e.Name
	}
	return p
}

// applySnapshot applies the entries of a snapshot that are not in effect yet, and ends the drains that are not in the snapshot. An entry
// that cannot be applied is reported and skipped.
func (a *entryApplier) applySnapshot(entries []decider.Entry, report func(error)) {
	drains := map[string]bool{}
	for _, e := range entries {
		drains[e.Name] = drains[e.Name] || e.Kind == decider.Drain
	}
	for _, name := range slices.Sorted(maps.Keys(a.drains)) {
		if !drains[name] {
			_ = a.apply(decider.Entry{Kind: decider.DrainEnded, Name: name})
		}
	}
	for _, e := range entries {
		if a.inEffect(e) {
			continue
		}
		if err := a.apply(e); err != nil {
			report(err)
		}
	}
}

// inEffect reports whether an entry of the configuration is in effect already. It returns false for purges.
func (a *entryApplier) inEffect(e decider.Entry) bool {
	switch e.Kind {
	case decider.Drain:
		return a.drains[e.Name]
	case decider.List:
		generation, known := a.lists[e.Name]
		return known && generation == e.Version
	case decider.Revision:
		return a.revision == e.Version
	default:
		return false
	}
}
