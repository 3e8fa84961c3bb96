// Package storestate is the state that the members of a store share: signing keys, spent and revoked token ids, revisions of
// the configuration, and facts of membership, drains and purges. It is what a replicated log adds up to: Apply is
// deterministic, times are those of the proposer, and a change that comes twice under one id has one effect and one
// result. It does no I/O. Its decisions are tested here, and through the store under faults.
package storestate

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ravenwheel/internal/decide/expiryqueue"
	"ravenwheel/internal/decide/serverlist"
)

// Kind is what a change is.
type Kind int

// The kinds. Numbers are written to disk: new ones are added behind.
const (
	Spend Kind = iota + 1
	PutKey
	DropKey
	Revoke
	SetConfig
	SetList
	SetDrain
	EndDrain
	SetPurge
)

// Key is a signing key: its algorithm is pinned with it.
type Key struct {
	Alg  string `cbor:"1,keyasint" json:"alg"`
	Data []byte `cbor:"2,keyasint" json:"key"` // PKIX DER of a public key, or an HMAC secret
}

// List is a server list of a source.
type List struct {
	Generation uint64              `cbor:"1,keyasint" json:"generation"`
	Servers    []serverlist.Server `cbor:"2,keyasint" json:"servers"`
}

// Purge is one of an object or, with none named, of a group.
type Purge struct {
	Object string  `cbor:"1,keyasint,omitempty" json:"object,omitempty"`
	Group  int     `cbor:"2,keyasint,omitempty" json:"group,omitempty"`
	Made   float64 `cbor:"3,keyasint" json:"made_ms"`            // Unix ms
	Until  float64 `cbor:"4,keyasint,omitempty" json:"until_ms"` // Unix ms: from then on it can no longer bind
}

// Change is one entry of the log.
type Change struct {
	ID    string  `cbor:"1,keyasint"` // the same with every resubmission
	At    float64 `cbor:"2,keyasint"` // Unix ms, the proposer's
	Kind  Kind    `cbor:"3,keyasint"`
	Name  string  `cbor:"4,keyasint,omitempty"`
	Until float64 `cbor:"5,keyasint,omitempty"` // Unix ms
	Key   *Key    `cbor:"6,keyasint,omitempty"`
	Base  uint64  `cbor:"7,keyasint,omitempty"` // of the configuration: the revision that is changed
	Text  string  `cbor:"8,keyasint,omitempty"`
	By    string  `cbor:"9,keyasint,omitempty"`
	List  *List   `cbor:"10,keyasint,omitempty"`
	Purge *Purge  `cbor:"11,keyasint,omitempty"`
}

// Verdict is what became of a change.
type Verdict int

// The verdicts.
const (
	OK       Verdict = iota
	Spent            // the token id was used before
	Conflict         // the configuration has another revision by now
	Stale            // a list of an earlier generation, or the same with other servers
	Invalid          // nothing that this version can apply
)

// Result is the verdict, and the revision that a change of the configuration made or met.
type Result struct {
	Verdict  Verdict `cbor:"1,keyasint"`
	Revision uint64  `cbor:"2,keyasint,omitempty"`
}

// Revision is one of the configuration.
type Revision struct {
	Number uint64  `cbor:"1,keyasint" json:"revision"`
	At     float64 `cbor:"2,keyasint" json:"at_ms"`
	By     string  `cbor:"3,keyasint,omitempty" json:"by,omitempty"`
	Text   string  `cbor:"4,keyasint" json:"text"`
	Of     uint64  `cbor:"5,keyasint,omitempty" json:"of,omitempty"` // rolled back to: the revision that it repeats
}

// Bounds of what is kept. mostHistory revisions; doneFor ms and mostDone results of changes, for those that come again.
const (
	mostHistory = 100
	doneFor     = 10 * 60 * 1000
	mostDone    = 1 << 16
	// mostAhead ms a proposer's clock moves the shared time forward at once: one that is wrong by years would have all
	// others' tokens count as void.
	mostAhead = 60_000
)

type done struct {
	ID     string  `cbor:"1,keyasint"`
	At     float64 `cbor:"2,keyasint"`
	Result Result  `cbor:"3,keyasint"`
}

// State is what the log adds up to. The zero value is of no use: see New.
type State struct {
	Now     float64            `cbor:"1,keyasint"` // the latest time of a proposer
	Keys    map[string]Key     `cbor:"2,keyasint"`
	Spent   map[string]float64 `cbor:"3,keyasint"` // until when a replay could still pass
	Revoked map[string]float64 `cbor:"4,keyasint"`
	Config  []Revision         `cbor:"5,keyasint"` // oldest first
	Lists   map[string]List    `cbor:"6,keyasint"`
	Drains  map[string]float64 `cbor:"7,keyasint"` // by server's name: since when
	Purges  map[string]Purge   `cbor:"8,keyasint"`
	Done    []done             `cbor:"9,keyasint"`  // oldest first
	Applied uint64             `cbor:"10,keyasint"` // index in the log of the last change taken in
	// Indexes are those in the log of the changes that brought what is held of purges, drains, lists and the
	// configuration, by Fact; for who passes them on in the order of the log. What came before they were kept has none.
	Indexes map[string]uint64 `cbor:"11,keyasint,omitempty"`
	index   map[string]Result
	// The ends of what is held, in order; made anew from what a snapshot holds.
	spentEnds, revokedEnds, purgeEnds expiryqueue.Queue[string]
}

// New returns the state before any change.
func New() *State {
	return &State{
		Keys: map[string]Key{}, Spent: map[string]float64{}, Revoked: map[string]float64{}, Lists: map[string]List{},
		Drains: map[string]float64{}, Purges: map[string]Purge{}, Indexes: map[string]uint64{}, index: map[string]Result{},
	}
}

// Fact is the key in Indexes of what a kind of change brings under a name.
func Fact(k Kind, name string) string {
	switch k {
	case SetPurge:
		return "purge " + name
	case SetDrain:
		return "drain " + name
	case SetList:
		return "list " + name
	case SetConfig:
		return "config"
	}
	return ""
}

// brought books which change brought a fact. A state that is no log's has no indexes.
func (s *State) brought(k Kind, name string) {
	if s.Applied > 0 {
		s.Indexes[Fact(k, name)] = s.Applied
	}
}

// Did tells whether a change was taken in before under the same id.
func (s *State) Did(id string) bool {
	_, again := s.index[id]
	return again && id != ""
}

// Apply takes a change in.
func (s *State) Apply(c Change) Result {
	if r, again := s.index[c.ID]; again && c.ID != "" {
		return r
	}
	if !finite(c.At, c.Until) {
		return Result{Verdict: Invalid}
	}
	if s.Now == 0 {
		s.Now = c.At
	}
	s.Now = max(s.Now, min(c.At, s.Now+mostAhead))
	r := s.apply(c)
	if c.ID != "" {
		s.Done = append(s.Done, done{c.ID, s.Now, r})
		s.index[c.ID] = r
		for len(s.Done) > mostDone || len(s.Done) > 0 && s.Done[0].At < s.Now-doneFor {
			delete(s.index, s.Done[0].ID)
			s.Done = s.Done[1:]
		}
	}
	return r
}

func finite(times ...float64) bool {
	for _, t := range times {
		if math.IsNaN(t) || math.IsInf(t, 0) {
			return false
		}
	}
	return true
}

func (s *State) apply(c Change) Result {
	switch {
	case c.Kind == Spend:
		prune(s.Spent, &s.spentEnds, s.Now)
		if _, spent := s.Spent[c.Name]; spent {
			return Result{Verdict: Spent}
		}
		hold(s.Spent, &s.spentEnds, c.Name, c.Until)
	case c.Kind == PutKey && c.Key != nil:
		s.Keys[c.Name] = *c.Key
	case c.Kind == DropKey:
		delete(s.Keys, c.Name)
	case c.Kind == Revoke:
		prune(s.Revoked, &s.revokedEnds, s.Now)
		hold(s.Revoked, &s.revokedEnds, c.Name, c.Until)
	case c.Kind == SetConfig:
		return s.setConfig(c)
	case c.Kind == SetList && c.List != nil:
		old, known := s.Lists[c.Name]
		if known && (c.List.Generation < old.Generation || c.List.Generation == old.Generation && !slices.Equal(c.List.Servers, old.Servers)) {
			return Result{Verdict: Stale}
		}
		s.Lists[c.Name] = *c.List
		s.brought(SetList, c.Name)
	case c.Kind == SetDrain:
		if _, known := s.Drains[c.Name]; !known { // counted from when it began
			s.Drains[c.Name] = c.At
		}
		s.brought(SetDrain, c.Name)
	case c.Kind == EndDrain:
		delete(s.Drains, c.Name)
		delete(s.Indexes, Fact(SetDrain, c.Name))
	case c.Kind == SetPurge && c.Purge != nil && finite(c.Purge.Made):
		s.purge(*c.Purge, c.Until)
	default:
		return Result{Verdict: Invalid}
	}
	return Result{}
}

// purge books one, and drops those that no copy can be older than any more.
func (s *State) purge(p Purge, until float64) {
	name := p.Object
	if name == "" {
		name = fmt.Sprint("group ", p.Group)
	}
	old, held := s.Purges[name]
	p.Made, p.Until = max(p.Made, old.Made), max(until, old.Until)
	s.Purges[name] = p
	s.brought(SetPurge, name)
	s.purgeEnds.Set(name, p.Until, old.Until, held) // an end that only moves to later leaves nothing to tidy up
	s.purgeEnds.Expire(
		func(until float64) bool { return until < s.Now },
		func(name string) (float64, bool) { p, held := s.Purges[name]; return p.Until, held },
		func(name string) {
			delete(s.Purges, name)
			delete(s.Indexes, Fact(SetPurge, name))
		})
}

// order makes the queues from what is held.
func (s *State) order() {
	s.spentEnds.Reset(maps.All(s.Spent))
	s.revokedEnds.Reset(maps.All(s.Revoked))
	s.purgeEnds.Reset(func(yield func(string, float64) bool) {
		for name, p := range s.Purges {
			if !yield(name, p.Until) {
				return
			}
		}
	})
}

func (s *State) setConfig(c Change) Result {
	now := s.Revision()
	if c.Base != now.Number {
		return Result{Verdict: Conflict, Revision: now.Number}
	}
	next := Revision{Number: now.Number + 1, At: c.At, By: c.By, Text: c.Text}
	for _, r := range s.Config {
		if r.Text == c.Text && r.Number != now.Number {
			next.Of = r.Number
		}
	}
	if s.Config = append(s.Config, next); len(s.Config) > mostHistory {
		s.Config = slices.Clone(s.Config[len(s.Config)-mostHistory:])
	}
	s.brought(SetConfig, "")
	return Result{Revision: next.Number}
}

// Revision is that in force; its number is 0 before the first.
func (s *State) Revision() Revision {
	if len(s.Config) == 0 {
		return Revision{}
	}
	return s.Config[len(s.Config)-1]
}

// At is a revision that is still kept.
func (s *State) At(number uint64) (Revision, bool) {
	for _, r := range s.Config {
		if r.Number == number {
			return r, true
		}
	}
	return Revision{}, false
}

// hold books until when a token id is kept.
func hold(ids map[string]float64, ends *expiryqueue.Queue[string], id string, until float64) {
	old, held := ids[id]
	ids[id] = until
	if ends.Set(id, until, old, held); ends.Spare(len(ids)) {
		ends.Reset(maps.All(ids))
	}
}

// prune drops the token ids whose time is over.
func prune(ids map[string]float64, ends *expiryqueue.Queue[string], now float64) {
	ends.Expire(
		func(until float64) bool { return until < now },
		func(id string) (float64, bool) { until, held := ids[id]; return until, held },
		func(id string) { delete(ids, id) })
}

// form is the version of the bytes, in front of them. Version 0 was JSON, and begins with a brace.
const form = 1

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{MaxArrayElements: 1 << 22, MaxMapPairs: 1 << 22, MaxNestedLevels: 8}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode writes a change, or with State all of it: the form, then CBOR in the deterministic encoding of RFC 8949.
func Encode(v any) ([]byte, error) {
	b, err := encoding.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	return append([]byte{form}, b...), nil
}

func decode(b []byte, v any) error {
	if len(b) == 0 || b[0] != form {
		return fmt.Errorf("replica: a form that this version does not know")
	}
	if err := decoding.Unmarshal(b[1:], v); err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	return nil
}

// oldChange and oldState are those of version 0.
type oldChange struct {
	Op    int
	Name  string
	Value string
	Key   struct {
		Alg  string `json:"alg"`
		Data []byte `json:"key"`
	}
	Until, Now float64
}

type oldState struct {
	Keys    map[string]Key
	Config  map[string]string
	Spent   map[string]float64
	Revoked map[string]float64
}

// DecodeChange reads a change, of this version or of one before it.
func DecodeChange(b []byte) (c Change, err error) {
	if len(b) == 0 || b[0] != '{' {
		err = decode(b, &c)
		return c, err
	}
	var o oldChange
	if err := json.Unmarshal(b, &o); err != nil {
		return c, fmt.Errorf("replica: %w", err)
	}
	c = Change{Name: o.Name, Until: o.Until, At: o.Now}
	kinds := []Kind{Spend, PutKey, DropKey, Revoke}
	if o.Op < 0 || o.Op >= len(kinds) {
		return c, nil // a value of the old configuration, which nothing ever read: Invalid
	}
	if c.Kind = kinds[o.Op]; c.Kind == PutKey {
		c.Key = &Key{o.Key.Alg, o.Key.Data}
	}
	return c, nil
}

// DecodeState reads a snapshot, of this version or of one before it.
func DecodeState(b []byte) (*State, error) {
	s := New()
	if len(b) > 0 && b[0] == '{' {
		var o oldState
		if err := json.Unmarshal(b, &o); err != nil {
			return nil, fmt.Errorf("replica: %w", err)
		}
		for k, v := range o.Keys {
			s.Keys[k] = v
		}
		for k, v := range o.Spent {
			s.Spent[k] = v
		}
		for k, v := range o.Revoked {
			s.Revoked[k] = v
		}
		s.order()
		return s, nil
	}
	if err := decode(b, s); err != nil {
		return nil, err
	}
	fresh := New()
	for _, m := range []*map[string]float64{&s.Spent, &s.Revoked, &s.Drains} {
		if *m == nil {
			*m = map[string]float64{}
		}
	}
	if s.Keys == nil {
		s.Keys = fresh.Keys
	}
	if s.Lists == nil {
		s.Lists = fresh.Lists
	}
	if s.Purges == nil {
		s.Purges = fresh.Purges
	}
	if s.Indexes == nil {
		s.Indexes = fresh.Indexes
	}
	s.index = map[string]Result{}
	for _, d := range s.Done {
		s.index[d.ID] = d.Result
	}
	s.order()
	return s, nil
}
