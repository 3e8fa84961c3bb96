package recovery

import (
	"errors"
	"fmt"
	"math"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// ErrInvalidEvent is the error of decoding an event that holds a value that no proxy writes.
var ErrInvalidEvent = errors.New("recovery: invalid event")

// Purge invalidates all copies of an object, or of a group's objects, that were made before a time.
type Purge struct {
	Object     string  `cbor:"1,keyasint,omitempty" json:"Object"` // empty: the purge applies to a group
	Group      int     `cbor:"2,keyasint,omitempty" json:"Group"`
	IssuedAt   float64 `cbor:"3,keyasint" json:"Made"` // copies made before this time are invalid
	NotifiedAt float64 `cbor:"4,keyasint" json:"Told"` // when this proxy received the purge
}

// purgeKey identifies the object or the group that a purge applies to.
type purgeKey struct {
	object string
	group  int // noGroup: the purge applies to an object
}

// noGroup is the group in the key of an object's purge. No group has this number.
const noGroup = -1

func (p Purge) key() purgeKey {
	if p.Object != "" {
		return purgeKey{p.Object, noGroup}
	}
	return purgeKey{"", p.Group}
}

// Member is a server's last published state. Zone, Kind, Cell and Weight are as in policy.Member.
type Member struct {
	ID      uint64           `cbor:"1,keyasint" json:"ID"`
	Addr    string           `cbor:"2,keyasint" json:"Addr"`
	Zone    int              `cbor:"3,keyasint,omitempty" json:"Zone"`
	Kind    int              `cbor:"4,keyasint,omitempty" json:"Kind"`
	Cell    int              `cbor:"5,keyasint,omitempty" json:"Cell"`
	Weight  float64          `cbor:"6,keyasint,omitempty" json:"Weight"`
	Started float64          `cbor:"7,keyasint,omitempty" json:"Started"` // when the server started; 0: unknown
	Phase   membership.Phase `cbor:"8,keyasint" json:"Phase"`
	Since   float64          `cbor:"9,keyasint" json:"Since"` // when the phase began
}

// List is the server list last accepted from a source.
type List struct {
	Source     string              `cbor:"1,keyasint" json:"Source"`
	Generation uint64              `cbor:"2,keyasint" json:"Generation"`
	Servers    []serverlist.Server `cbor:"3,keyasint,omitempty" json:"Servers"`
	// Omitted has the servers that an earlier list of the source named and no later one does, in order. The source's removal of them
	// is in force although another source lists them. It is derived from the lists, and set in the encoding of a state only.
	Omitted []uint64 `cbor:"4,keyasint,omitempty" json:"Omitted,omitempty"`
}

// ManualDrain starts or ends an operator's drain of a server.
type ManualDrain struct {
	ID     uint64 `cbor:"1,keyasint"`
	Active bool   `cbor:"2,keyasint"`
}

// Event is one change that must survive a crash. Exactly one of the fields Purge, Member, List, Revision, Boot and ManualDrain
// is set.
type Event struct {
	At          float64      `cbor:"1,keyasint"`
	Purge       *Purge       `cbor:"2,keyasint,omitempty"`
	Member      *Member      `cbor:"3,keyasint,omitempty"`
	List        *List        `cbor:"4,keyasint,omitempty"`
	Revision    uint64       `cbor:"5,keyasint,omitempty"` // of the configuration in use
	Boot        bool         `cbor:"6,keyasint,omitempty"` // the proxy has started
	ManualDrain *ManualDrain `cbor:"7,keyasint,omitempty"`
	// Epoch and Shift are set in a boot event only. Epoch is the epoch of the clock by which later times are measured. Shift is
	// the number of ms to add to all earlier times to convert them to that clock; it is not 0 if the wall clock was stepped while
	// the proxy was down.
	Epoch float64 `cbor:"8,keyasint,omitempty"`
	Shift float64 `cbor:"9,keyasint,omitempty"`
}

// MemberEvent returns the event of a member that was published at a time.
func MemberEvent(m membership.Member, at float64) Event {
	return Event{At: at, Member: &Member{
		ID: uint64(m.ID), Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: m.Weight,
		Started: float64(m.Started) / nanosecondsPerMs, Phase: phaseOf(m.State), Since: at,
	}}
}

// nanosecondsPerMs converts between policy.Time, which counts in nanoseconds, and this package's milliseconds.
const nanosecondsPerMs = 1e6

func phaseOf(s policy.State) membership.Phase {
	switch s {
	case policy.Draining:
		return membership.Draining
	case policy.Gone:
		return membership.Gone
	}
	return membership.Ready
}

// Supersedes reports whether old is an older event that would undo e if it were applied after e: a member, manual drain or list
// event about the same server or source. Purges and revisions are never undone, because they have the same result in any order.
func (e Event) Supersedes(old Event) bool {
	switch {
	case old.At > e.At:
		return false
	case e.ManualDrain != nil:
		return old.ManualDrain != nil && old.ManualDrain.ID == e.ManualDrain.ID
	case e.Member != nil:
		return old.Member != nil && old.Member.ID == e.Member.ID
	case e.List != nil:
		return old.List != nil && old.List.Source == e.List.Source && old.List.Generation <= e.List.Generation
	}
	return false
}

// validate rejects an event with a value that no proxy writes and that State and Plan can't handle.
func (e Event) validate() error {
	times := []float64{e.At, e.Epoch, e.Shift}
	if e.Purge != nil {
		times = append(times, e.Purge.IssuedAt, e.Purge.NotifiedAt)
	}
	if e.Member != nil {
		times = append(times, e.Member.Since, e.Member.Started, e.Member.Weight)
		if e.Member.Phase < membership.None || e.Member.Phase > membership.Gone {
			return fmt.Errorf("%w: unknown phase %d", ErrInvalidEvent, int(e.Member.Phase))
		}
	}
	for _, t := range times {
		if math.IsNaN(t) || math.IsInf(t, 0) {
			return fmt.Errorf("%w: time or weight %v is not finite", ErrInvalidEvent, t)
		}
	}
	return nil
}
