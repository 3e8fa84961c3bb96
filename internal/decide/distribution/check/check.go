// Package check holds what must be true of distribution, written once: the model, the tests of the shell and the tests of
// scale ask the same. A History is what the store committed; a Process watches what one process was told to put in force
// and trusts nothing else of it. It decides nothing and is for tests alone.
package check

import (
	"bytes"
	"fmt"

	"ravenwheel/internal/decide/distribution"
)

// Rule names what was broken.
type Rule string

// The rules.
const (
	RuleOrder     Rule = "entries in order, each once in effect"
	RuleEpochs    Rule = "a sequence begins anew only with a higher epoch and a snapshot"
	RuleCommitted Rule = "nothing in effect that was not committed"
	RuleComplete  Rule = "no committed purge, revision, list or drain missed"
	RuleStrict    Rule = "past the bound no strict class from a copy older than the watermark"
	RuleBounded   Rule = "bytes bounded"
)

// Broken is the error for a rule that does not hold.
type Violation struct {
	Rule   Rule
	Detail string
}

// Error implements error.
func (b *Violation) Error() string { return string(b.Rule) + ": " + b.Detail }

func violated(r Rule, format string, values ...any) error {
	return &Violation{Rule: r, Detail: fmt.Sprintf(format, values...)}
}

// fact is a committed entry, and when.
type fact struct {
	distribution.Entry
	committedAt int64
}

// History is what the store committed, by epoch. The zero value is empty.
type History struct {
	epochs map[uint64][]fact
	latest distribution.Position
}

// Commit books an entry. Sequences of an epoch rise; at is Unix ms by the store's clock.
func (h *History) Commit(epoch uint64, e distribution.Entry, at int64) {
	if h.epochs == nil {
		h.epochs = map[uint64][]fact{}
	}
	h.epochs[epoch] = append(h.epochs[epoch], fact{Entry: e, committedAt: at})
	if p := (distribution.Position{Epoch: epoch, Sequence: e.Sequence}); h.latest.Before(p) {
		h.latest = p
	}
}

// Begin books that the store begins an epoch, with nothing up to a sequence but what is committed next.
func (h *History) Begin(at distribution.Position) {
	if h.latest.Before(at) {
		h.latest = at
	}
}

// Clone copies it for a model that branches.
func (h *History) Clone() *History {
	c := &History{epochs: map[uint64][]fact{}, latest: h.latest}
	for epoch, facts := range h.epochs {
		c.epochs[epoch] = facts[:len(facts):len(facts)]
	}
	return c
}

// Latest is the place of the last entry.
func (h *History) Latest() distribution.Position { return h.latest }

// name is what an entry is about.
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

func outlasts(until, other int64) bool { return until == 0 || other != 0 && until >= other }

// Process is what a process has in effect, by the actions it was given.
type Process struct {
	history   *History
	hasState  bool
	position  distribution.Position
	effective map[factKey]distribution.Entry
	watermark distribution.Watermark
}

// NewProcess returns one with nothing in effect.
func NewProcess(h *History) *Process {
	return &Process{history: h, effective: map[factKey]distribution.Entry{}}
}

// Clone copies it for a model that branches, with the history of its branch.
func (p *Process) Clone(h *History) *Process {
	c := *p
	c.history = h
	c.effective = make(map[factKey]distribution.Entry, len(p.effective))
	for n, e := range p.effective {
		c.effective[n] = e
	}
	return &c
}

// Position is up to where it was told.
func (p *Process) Position() distribution.Position { return p.position }

// InForce is how many entries are in effect.
func (p *Process) EntryCount() int { return len(p.effective) }

// Observe takes an action of the process's Subscriber and tells which rule it breaks.
func (p *Process) Observe(a distribution.Action) error {
	switch a := a.(type) {
	case distribution.Apply:
		return p.apply(a)
	case distribution.InstallSnapshot:
		return p.replace(a)
	}
	return nil
}

func (p *Process) apply(a distribution.Apply) error {
	if !p.hasState || a.Epoch != p.position.Epoch {
		return violated(RuleEpochs, "entries of epoch %d at epoch %d", a.Epoch, p.position.Epoch)
	}
	if a.After != p.position.Sequence || a.Through < a.After {
		return violated(RuleOrder, "entries (%d, %d] at %d", a.After, a.Through, p.position.Sequence)
	}
	last := a.After
	for _, e := range a.Entries {
		if e.Sequence <= last || e.Sequence > a.Through {
			return violated(RuleOrder, "entry %d behind %d in (%d, %d]", e.Sequence, last, a.After, a.Through)
		}
		last = e.Sequence
		if held, known := p.effective[factKeyOf(e)]; known && held.Sequence >= e.Sequence {
			return violated(RuleOrder, "entry %d/%d comes when %d is in effect", a.Epoch, e.Sequence, held.Sequence)
		}
		if err := p.putInEffect(a.Epoch, a.Through, e); err != nil {
			return err
		}
	}
	p.position.Sequence = a.Through
	return nil
}

func (p *Process) replace(a distribution.InstallSnapshot) error {
	if p.hasState && (a.Epoch < p.position.Epoch || a.Epoch == p.position.Epoch && a.Through < p.position.Sequence) {
		return violated(RuleEpochs, "a snapshot of %d/%d at %d/%d", a.Epoch, a.Through, p.position.Epoch, p.position.Sequence)
	}
	for n := range p.effective {
		if !isPurge(n.kind) {
			delete(p.effective, n)
		}
	}
	if a.Epoch != p.position.Epoch { // sequences of two epochs are not compared
		for n, e := range p.effective {
			e.Sequence = 0
			p.effective[n] = e
		}
		p.watermark = distribution.Watermark{}
	}
	last := uint64(0)
	for _, e := range a.Entries {
		if e.Sequence <= last || e.Sequence > a.Through {
			return violated(RuleOrder, "entry %d behind %d in a snapshot of %d", e.Sequence, last, a.Through)
		}
		last = e.Sequence
		if err := p.putInEffect(a.Epoch, a.Through, e); err != nil {
			return err
		}
	}
	p.hasState, p.position = true, distribution.Position{Epoch: a.Epoch, Sequence: a.Through}
	return nil
}

// enter puts one entry in effect. It must be what was committed by then; its number may be another, as a store that reads
// its state back has facts without their numbers.
func (p *Process) putInEffect(epoch, through uint64, e distribution.Entry) error {
	f, known := p.history.find(epoch, through, e)
	if !known {
		return violated(RuleCommitted, "entry %d/%d is not what was committed", epoch, e.Sequence)
	}
	n := factKeyOf(e)
	if e.Kind == distribution.DrainEnded {
		delete(p.effective, n)
		return nil
	}
	if held, already := p.effective[n]; already && isPurge(e.Kind) {
		e.EffectiveAt = max(e.EffectiveAt, held.EffectiveAt)
		if outlasts(held.ExpiresAt, e.ExpiresAt) {
			e.ExpiresAt = held.ExpiresAt
		}
	}
	e.Sequence = f.Sequence
	p.effective[n] = e
	return nil
}

// same is the last fact up to a sequence that an entry has the content of; a purge may say more.
func (h *History) find(epoch, through uint64, e distribution.Entry) (found fact, known bool) {
	for _, f := range h.epochs[epoch] {
		switch {
		case f.Sequence > through, f.Kind != e.Kind, factKeyOf(f.Entry) != factKeyOf(e), f.Group != e.Group, f.GroupKnown != e.GroupKnown,
			f.Version != e.Version, !bytes.Equal(f.Body, e.Body):
		case isPurge(e.Kind) && (e.EffectiveAt < f.EffectiveAt || !outlasts(e.ExpiresAt, f.ExpiresAt)):
		default:
			found, known = f, true
		}
	}
	return found, known
}

// Claims takes the watermark that the process goes by and tells whether it is true.
func (p *Process) CheckWatermark(w distribution.Watermark) error {
	if w == p.watermark || w == (distribution.Watermark{}) {
		return nil
	}
	p.watermark = w
	return p.checkComplete(func(f fact) bool { return f.committedAt < w.At || f.Sequence <= w.Sequence }, w.At)
}

// CaughtUp tells whether all that was committed by now is in effect.
func (p *Process) CheckComplete(now int64) error {
	if p.position.Epoch != p.history.latest.Epoch || p.position.Sequence < p.history.latest.Sequence {
		return violated(RuleComplete, "at %d/%d, the store is at %d/%d", p.position.Epoch, p.position.Sequence,
			p.history.latest.Epoch, p.history.latest.Sequence)
	}
	return p.checkComplete(func(fact) bool { return true }, now)
}

// complete tells whether all facts of the epoch that are asked for are in effect, or can bind nothing after now.
func (p *Process) checkComplete(asked func(fact) bool, now int64) error {
	facts := p.history.epochs[p.position.Epoch]
	last := map[factKey]fact{}
	for _, f := range facts {
		if !asked(f) {
			continue
		}
		if !isPurge(f.Kind) {
			last[factKeyOf(f.Entry)] = f
			continue
		}
		if f.ExpiresAt != 0 && f.ExpiresAt <= now || p.covered(f.Entry) {
			continue
		}
		return violated(RuleComplete, "purge %d/%d is not in effect at %d", p.position.Epoch, f.Sequence, p.position.Sequence)
	}
	for n, f := range last {
		held, known := p.effective[n]
		if f.Kind == distribution.DrainEnded && known && held.Sequence < f.Sequence || f.Kind != distribution.DrainEnded &&
			(!known || held.Sequence < f.Sequence) && !p.drainEnded(n, f.Sequence) {
			return violated(RuleComplete, "entry %d/%d is not in effect at %d", p.position.Epoch, f.Sequence, p.position.Sequence)
		}
	}
	return nil
}

// ended tells whether a drain that is not in effect has ended behind a sequence.
func (p *Process) drainEnded(n factKey, sequence uint64) bool {
	for _, f := range p.history.epochs[p.position.Epoch] {
		if f.Kind == distribution.DrainEnded && factKeyOf(f.Entry) == n && f.Sequence > sequence && f.Sequence <= p.position.Sequence {
			return true
		}
	}
	return false
}

// binds tells whether every copy that a purge voids is voided by what is in effect.
func (p *Process) covered(e distribution.Entry) bool {
	if held, known := p.effective[factKeyOf(e)]; known && held.EffectiveAt >= e.EffectiveAt && outlasts(held.ExpiresAt, e.ExpiresAt) {
		return true
	}
	if e.Kind != distribution.PurgeObject || !e.GroupKnown {
		return false
	}
	held, known := p.effective[factKey{kind: distribution.PurgeGroup, group: e.Group}]
	return known && held.EffectiveAt >= e.EffectiveAt && outlasts(held.ExpiresAt, e.ExpiresAt)
}

// Served tells whether a request of a class may have been answered as it was: now and made are true times, by the store's
// clock; w is the watermark that the process has.
func CheckServed(s distribution.Settings, w distribution.Watermark, now float64, class string, made float64, v distribution.Verdict) error {
	if s.Classes[class] != distribution.PolicyStrict || v != distribution.VerdictServe && v != distribution.VerdictServeStale {
		return nil
	}
	if w == (distribution.Watermark{}) || now-float64(w.At) > s.MaxLag && made < float64(w.At) {
		return violated(RuleStrict, "class %q from a copy of %.0f at %.0f, watermark %d", class, made, now, w.At)
	}
	return nil
}

// UnderWay tells whether no more bytes of batches and chunks are on their way to one subscriber than it gave credit for.
// One frame that is larger than all of it may go alone.
func CheckCredit(credit, frames, bytes int) error {
	if bytes > credit && frames > 1 {
		return violated(RuleBounded, "%d bytes in %d frames under way, credit %d", bytes, frames, credit)
	}
	return nil
}

// Kept tells whether a distributor keeps no more of the stream than it is set to.
func CheckBacklog(s distribution.Settings, d *distribution.Distributor) error {
	_, _, entries, size := d.Sizes()
	if entries > s.MaxBacklogEntries || size > s.MaxBacklogBytes {
		return violated(RuleBounded, "a backlog of %d entries, %d bytes", entries, size)
	}
	return nil
}
