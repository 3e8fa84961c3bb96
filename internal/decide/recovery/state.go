// Package recovery decides what a restarted proxy may do until it knows. It owns the state that must survive a crash
// (drains, goodbyes, purges that were told, the lists that were taken, the revision of the configuration), what of it
// still binds, and the order of trust when the state and the sources disagree. It writes nothing and reads no clock:
// events go in, and what is to be kept comes out as bytes. Its decisions are tested here.
//
// Trust, first to last: what a source says now under a later generation; what was kept; and of what is in neither,
// nothing. An older or other list than the one kept is not believed, and a server that drained stays drained until a
// later word says that it is back.
package recovery

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ravenwheel/internal/decide/expiryqueue"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// Settings are the figures that say what still binds. Times are in ms.
type Settings struct {
	PurgeTakes float64 // after which no older copy is left anywhere
	PurgeGrace float64
	DropDrain  float64
	GoneFor    float64
}

// Purge is one that was told.
type Purge struct {
	Object string  `cbor:"1,keyasint,omitempty" json:"Object"`
	Group  int     `cbor:"2,keyasint,omitempty" json:"Group"` // with no object
	Made   float64 `cbor:"3,keyasint" json:"Made"`            // Unix ms: copies made before are void
	Told   float64 `cbor:"4,keyasint" json:"Told"`            // Unix ms
}

type purgeKey struct {
	object string
	group  int
}

func (p Purge) key() purgeKey {
	if p.Object != "" {
		return purgeKey{p.Object, -1}
	}
	return purgeKey{"", p.Group}
}

// Member is a server as it was published last.
type Member struct {
	ID      uint64           `cbor:"1,keyasint" json:"ID"`
	Addr    string           `cbor:"2,keyasint" json:"Addr"`
	Zone    int              `cbor:"3,keyasint,omitempty" json:"Zone"`
	Kind    int              `cbor:"4,keyasint,omitempty" json:"Kind"`
	Cell    int              `cbor:"5,keyasint,omitempty" json:"Cell"`
	Weight  float64          `cbor:"6,keyasint,omitempty" json:"Weight"`
	Started float64          `cbor:"7,keyasint,omitempty" json:"Started"` // Unix ms
	Phase   membership.Phase `cbor:"8,keyasint" json:"Phase"`
	Since   float64          `cbor:"9,keyasint" json:"Since"` // Unix ms
}

// List is one that was taken from a source.
type List struct {
	Source     string              `cbor:"1,keyasint" json:"Source"`
	Generation uint64              `cbor:"2,keyasint" json:"Generation"`
	Servers    []serverlist.Server `cbor:"3,keyasint,omitempty" json:"Servers"`
}

// Event is something that must survive. One field is set.
type Event struct {
	At       float64 `cbor:"1,keyasint"` // Unix ms
	Purge    *Purge  `cbor:"2,keyasint,omitempty"`
	Member   *Member `cbor:"3,keyasint,omitempty"`
	List     *List   `cbor:"4,keyasint,omitempty"`
	Revision uint64  `cbor:"5,keyasint,omitempty"` // of the configuration in use
	Boot     bool    `cbor:"6,keyasint,omitempty"`
	Hand     *Hand   `cbor:"7,keyasint,omitempty"`
	// Of a boot: the epoch of the clock that all later times are on, and what all earlier ones are moved by. They differ where the
	// wall clock was stepped while the proxy was down.
	Epoch float64 `cbor:"8,keyasint,omitempty"`
	Shift float64 `cbor:"9,keyasint,omitempty"`
}

// Supersedes tells whether an event makes an older one void: of the same server, or of the same list. Purges and revisions come
// out the same in any order.
func (e Event) Supersedes(old Event) bool {
	switch {
	case old.At > e.At:
		return false
	case e.Hand != nil:
		return old.Hand != nil && old.Hand.ID == e.Hand.ID
	case e.Member != nil:
		return old.Member != nil && old.Member.ID == e.Member.ID
	case e.List != nil:
		return old.List != nil && old.List.Source == e.List.Source && old.List.Generation <= e.List.Generation
	}
	return false
}

// Hand is a drain by hand, or its end.
type Hand struct {
	ID uint64 `cbor:"1,keyasint"`
	On bool   `cbor:"2,keyasint"`
}

// form is the version of the bytes, in front of them. Later ones migrate what earlier ones wrote.
const form = 1

// State is what all events add up to.
type State struct {
	High     float64 // the latest time seen
	Boots    int
	Epoch    float64 // of the clock that the times are on; 0: not told
	Revision uint64
	purges   map[purgeKey]Purge
	members  map[uint64]Member
	lists    map[string]List
	hand     map[uint64]bool
	// told and gone order purges and the servers that are gone by what their ends are counted from.
	told expiryqueue.Queue[purgeKey]
	gone expiryqueue.Queue[uint64]
}

// NewState returns one in which nothing happened.
func NewState() *State {
	return &State{hand: map[uint64]bool{}, purges: map[purgeKey]Purge{}, members: map[uint64]Member{}, lists: map[string]List{}}
}

// Of is a published member as an event.
func Of(m membership.Member, at float64) Event {
	phase := membership.Ready
	switch m.State {
	case policy.Draining:
		phase = membership.Draining
	case policy.Gone:
		phase = membership.Gone
	}
	return Event{At: at, Member: &Member{
		ID: uint64(m.ID), Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: m.Weight,
		Started: float64(m.Started) / 1e6, Phase: phase, Since: at,
	}}
}

// Apply takes an event in.
func (s *State) Apply(e Event) {
	if e.Boot {
		s.move(e.Shift)
		s.Epoch = e.Epoch
	}
	s.High = max(s.High, e.At)
	switch {
	case e.Purge != nil:
		k := e.Purge.key()
		old, known := s.purges[k]
		p := *e.Purge
		if known {
			// A purge that is told twice binds from the later one, and voids what the later one does.
			p.Made, p.Told = max(p.Made, old.Made), max(p.Told, old.Told)
		}
		s.purges[k] = p
		s.told.Set(k, p.last(), old.last(), known) // it only moves to later, and leaves nothing to tidy up
	case e.Member != nil:
		s.member(*e.Member)
	case e.List != nil:
		if old, known := s.lists[e.List.Source]; !known || e.List.Generation >= old.Generation {
			s.drained(old, *e.List, e.At)
			s.lists[e.List.Source] = *e.List
		}
	case e.Revision > 0:
		s.Revision = max(s.Revision, e.Revision)
	case e.Hand != nil:
		if delete(s.hand, e.Hand.ID); e.Hand.On {
			s.hand[e.Hand.ID] = true
		}
	case e.Boot:
		s.Boots++
	}
}

// move moves all times, as onto another clock.
func (s *State) move(by float64) {
	if by == 0 {
		return
	}
	s.High += by
	for k, p := range s.purges {
		p.Made, p.Told = p.Made+by, p.Told+by
		s.purges[k] = p
	}
	for id, m := range s.members {
		m.Since += by
		if m.Started > 0 {
			m.Started += by
		}
		s.members[id] = m
	}
	s.told.Reset(func(yield func(purgeKey, float64) bool) {
		for k, p := range s.purges {
			if !yield(k, p.last()) {
				return
			}
		}
	})
	s.gone.Reset(s.goneSince)
}

// goneSince are the servers that are gone, and since when.
func (s *State) goneSince(yield func(uint64, float64) bool) {
	for id, m := range s.members {
		if m.Phase == membership.Gone && !yield(id, m.Since) {
			return
		}
	}
}

func (s *State) member(m Member) {
	old, known := s.members[m.ID]
	// A drain counts from when it began, whatever else of the server changes meanwhile.
	if known && old.Phase == m.Phase && m.Phase != membership.Gone {
		m.Since = old.Since
	}
	s.members[m.ID] = m
	if m.Phase != membership.Gone {
		return
	}
	s.gone.Set(m.ID, m.Since, old.Since, known && old.Phase == membership.Gone)
	if s.gone.Spare(len(s.members)) {
		s.gone.Reset(s.goneSince)
	}
}

// drained has those drain that a list drops or drains. It is kept before it is in use: a crash right after it was told
// finds nothing else that says so.
func (s *State) drained(old, next List, at float64) {
	ready := make(map[policy.CacheID]bool, len(next.Servers))
	for _, x := range next.Servers {
		ready[x.ID] = !x.Draining
	}
	for _, x := range old.Servers {
		m, known := s.members[uint64(x.ID)]
		if !known || ready[x.ID] || m.Phase == membership.Draining || m.Phase == membership.Gone {
			continue
		}
		m.Phase, m.Since = membership.Draining, at
		s.members[m.ID] = m
	}
}

// until is when a purge can no longer bind: by then every older copy has been dropped, twice over, as one may have been
// on its way when its source's went.
func (p Purge) until(set Settings) float64 { return binds(p.last(), set) }

// last is what a purge's end is counted from.
func (p Purge) last() float64 { return max(p.Told, p.Made) }

func binds(last float64, set Settings) float64 { return last + 2*set.PurgeTakes + set.PurgeGrace }

// Prune drops what can no longer bind, and returns how much.
func (s *State) Prune(now float64, set Settings) (dropped int) {
	s.told.Expire(
		func(last float64) bool { return binds(last, set) < now },
		func(k purgeKey) (float64, bool) { p, held := s.purges[k]; return p.last(), held },
		func(k purgeKey) { delete(s.purges, k); dropped++ })
	s.gone.Expire(
		func(since float64) bool { return since+set.GoneFor < now },
		func(id uint64) (float64, bool) { m := s.members[id]; return m.Since, m.Phase == membership.Gone },
		func(id uint64) { delete(s.members, id); dropped++ })
	return dropped
}

// Plan is what a proxy does before it takes its first request.
type Plan struct {
	Purges      []Purge // to be told to the module, oldest first
	Remembered  []membership.Remembered
	Lists       []List  // by source
	SteppedBack float64 // ms by which the clock is behind what was seen; 0: it is not
	Boots       int
	Revision    uint64
	Hand        []uint64 // drained by hand
}

// Moved is the plan with its times moved, as onto another clock.
func (p Plan) Moved(by float64) Plan {
	if by == 0 {
		return p
	}
	p.Purges, p.Remembered = slices.Clone(p.Purges), slices.Clone(p.Remembered)
	for i := range p.Purges {
		p.Purges[i].Made += by
		p.Purges[i].Told += by
	}
	for i := range p.Remembered {
		r := &p.Remembered[i]
		r.Since += by
		if r.Member.Started > 0 {
			r.Member.Started += policy.Time(by * 1e6)
		}
	}
	return p
}

// List finds the list of a source.
func (p Plan) List(source string) (List, bool) {
	for _, l := range p.Lists {
		if l.Source == source {
			return l, true
		}
	}
	return List{}, false
}

// Plan says what a proxy that starts at a time has to heed. A clock that was stepped back must end no obligation early,
// nor make one that began in what is now the future last for as long as the step: all such times count as now.
func (s *State) Plan(now float64, set Settings) Plan {
	p := Plan{Boots: s.Boots, Revision: s.Revision, SteppedBack: max(0, s.High-now)}
	for _, x := range s.purges {
		if x.until(set) < now {
			continue
		}
		// Until its fate is known a purge is taken for one that has just been told: copies made before it are asked for
		// by nobody, however long the proxy was away.
		x.Made, x.Told = min(x.Made, now), now
		p.Purges = append(p.Purges, x)
	}
	slices.SortFunc(p.Purges, func(a, b Purge) int {
		return cmp.Or(cmp.Compare(a.Made, b.Made), cmp.Compare(a.Object, b.Object), a.Group-b.Group)
	})
	for _, m := range s.members {
		if m.Phase == membership.Gone && m.Since+set.GoneFor < now {
			continue
		}
		r := membership.Remembered{Phase: m.Phase, Since: min(m.Since, now)}
		r.Member.ID, r.Member.Addr, r.Member.Zone, r.Member.Kind = policy.CacheID(m.ID), m.Addr, m.Zone, m.Kind
		r.Member.Cell, r.Member.Weight, r.Member.Started = m.Cell, m.Weight, policy.Time(min(m.Started, now)*1e6)
		p.Remembered = append(p.Remembered, r)
	}
	slices.SortFunc(p.Remembered, func(a, b membership.Remembered) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	p.Hand = slices.Sorted(maps.Keys(s.hand))
	for _, l := range s.lists {
		p.Lists = append(p.Lists, l)
	}
	slices.SortFunc(p.Lists, func(a, b List) int { return cmp.Compare(a.Source, b.Source) })
	return p
}

// Sizes are how many obligations and lists are held.
func (s *State) Sizes() (purges, members, lists int) {
	return len(s.purges), len(s.members), len(s.lists)
}

// Purges are those that are held, oldest first, Members those by id.
func (s *State) Purges() []Purge {
	out := make([]Purge, 0, len(s.purges))
	for _, p := range s.purges {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Purge) int {
		return cmp.Or(cmp.Compare(a.Told, b.Told), cmp.Compare(a.Object, b.Object), a.Group-b.Group)
	})
	return out
}

// Members are those that are held, by id.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Lists are those that are held, by source.
func (s *State) Lists() []List { return s.Plan(math.Inf(1), Settings{}).Lists }

// decoding bounds what bytes may claim.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// encoding is the deterministic one of RFC 8949, section 4.2.
var encoding = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode writes an event: its form, then CBOR.
func (e Event) Encode() ([]byte, error) { return encode(e) }

func encode(v any) ([]byte, error) {
	b, err := encoding.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("recovery: %w", err)
	}
	return append([]byte{form}, b...), nil
}

func decode(b []byte, v any) error {
	if len(b) == 0 || b[0] != form {
		return fmt.Errorf("recovery: a form that this version does not know")
	}
	if err := decoding.Unmarshal(b[1:], v); err != nil {
		return fmt.Errorf("recovery: %w", err)
	}
	return nil
}

// DecodeEvent reads one.
func DecodeEvent(b []byte) (e Event, err error) {
	if err := decode(b, &e); err != nil {
		return e, err
	}
	return e, e.check()
}

// check refuses what no proxy writes, and would spoil what is decided from it.
func (e Event) check() error {
	times := []float64{e.At, e.Epoch, e.Shift}
	if e.Purge != nil {
		times = append(times, e.Purge.Made, e.Purge.Told)
	}
	if e.Member != nil {
		times = append(times, e.Member.Since, e.Member.Started, e.Member.Weight)
		if e.Member.Phase < membership.None || e.Member.Phase > membership.Gone {
			return fmt.Errorf("recovery: no phase %d", int(e.Member.Phase))
		}
	}
	for _, t := range times {
		if math.IsNaN(t) || math.IsInf(t, 0) {
			return fmt.Errorf("recovery: a time that is none")
		}
	}
	return nil
}

// kept is a state as it is written.
type kept struct {
	High     float64  `cbor:"1,keyasint"`
	Boots    int      `cbor:"2,keyasint"`
	Revision uint64   `cbor:"3,keyasint"`
	Purges   []Purge  `cbor:"4,keyasint"`
	Members  []Member `cbor:"5,keyasint"`
	Lists    []List   `cbor:"6,keyasint"`
	Hand     []uint64 `cbor:"7,keyasint,omitempty"`
	Epoch    float64  `cbor:"8,keyasint,omitempty"`
}

// Encode writes all of it.
func (s *State) Encode() ([]byte, error) {
	return encode(kept{s.High, s.Boots, s.Revision, s.Purges(), s.Members(), s.Lists(), slices.Sorted(maps.Keys(s.hand)), s.Epoch})
}

// DecodeState reads what Encode wrote.
func DecodeState(b []byte) (*State, error) {
	var k kept
	if err := decode(b, &k); err != nil {
		return nil, err
	}
	s := NewState()
	for i := range k.Purges {
		s.Apply(Event{Purge: &k.Purges[i]})
	}
	for i := range k.Members {
		if err := (Event{Member: &k.Members[i]}).check(); err != nil {
			return nil, err
		}
		s.Apply(Event{Member: &k.Members[i]})
	}
	for i := range k.Lists {
		s.Apply(Event{List: &k.Lists[i]})
	}
	for _, id := range k.Hand {
		s.hand[id] = true
	}
	s.High, s.Boots, s.Revision, s.Epoch = k.High, k.Boots, k.Revision, k.Epoch
	return s, nil
}
