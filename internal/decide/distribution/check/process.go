package check

import "ravenwheel/internal/decide/distribution"

// Process holds the entries that one process has in effect, as follows from the actions of its Subscriber.
type Process struct {
	history   *History
	hasState  bool
	position  distribution.Position
	effective map[factKey]distribution.Entry
	watermark distribution.Watermark
}

// NewProcess returns a Process with nothing in effect.
func NewProcess(h *History) *Process {
	return &Process{history: h, effective: map[factKey]distribution.Entry{}}
}

// Clone copies the process for a model that branches, with the history of its branch.
func (p *Process) Clone(h *History) *Process {
	c := *p
	c.history = h
	c.effective = make(map[factKey]distribution.Entry, len(p.effective))
	for key, e := range p.effective {
		c.effective[key] = e
	}
	return &c
}

// Position returns the position up to which all entries are in effect.
func (p *Process) Position() distribution.Position { return p.position }

// EntryCount returns how many entries are in effect.
func (p *Process) EntryCount() int { return len(p.effective) }

// Observe records an action of the process's Subscriber. It returns a Violation if the action breaks a rule.
func (p *Process) Observe(a distribution.Action) error {
	switch a := a.(type) {
	case distribution.Apply:
		return p.apply(a)
	case distribution.InstallSnapshot:
		return p.installSnapshot(a)
	}
	return nil
}

func (p *Process) apply(a distribution.Apply) error {
	if !p.hasState || a.Epoch != p.position.Epoch {
		return violated(RuleEpochs, "entries of epoch %d applied at epoch %d", a.Epoch, p.position.Epoch)
	}
	if a.After != p.position.Sequence || a.Through < a.After {
		return violated(RuleOrder, "entries (%d, %d] applied at sequence %d", a.After, a.Through, p.position.Sequence)
	}
	last := a.After
	for _, e := range a.Entries {
		if e.Sequence <= last || e.Sequence > a.Through {
			return violated(RuleOrder, "entry %d follows entry %d in (%d, %d]", e.Sequence, last, a.After, a.Through)
		}
		last = e.Sequence
		if existing, known := p.effective[factKeyOf(e)]; known && existing.Sequence >= e.Sequence {
			return violated(RuleOrder, "entry %d/%d applied when entry %d is already in effect", a.Epoch, e.Sequence, existing.Sequence)
		}
		if err := p.putInEffect(a.Epoch, a.Through, e); err != nil {
			return err
		}
	}
	p.position.Sequence = a.Through
	return nil
}

func (p *Process) installSnapshot(a distribution.InstallSnapshot) error {
	if p.hasState && (a.Epoch < p.position.Epoch || a.Epoch == p.position.Epoch && a.Through < p.position.Sequence) {
		return violated(RuleEpochs, "snapshot of %d/%d installed at %d/%d", a.Epoch, a.Through, p.position.Epoch, p.position.Sequence)
	}
	for key := range p.effective {
		if !isPurge(key.kind) {
			delete(p.effective, key)
		}
	}
	if a.Epoch != p.position.Epoch { // sequences of two epochs cannot be compared
		for key, e := range p.effective {
			e.Sequence = 0
			p.effective[key] = e
		}
		p.watermark = distribution.Watermark{}
	}
	last := uint64(0)
	for _, e := range a.Entries {
		if e.Sequence <= last || e.Sequence > a.Through {
			return violated(RuleOrder, "entry %d follows entry %d in a snapshot of sequence %d", e.Sequence, last, a.Through)
		}
		last = e.Sequence
		if err := p.putInEffect(a.Epoch, a.Through, e); err != nil {
			return err
		}
	}
	p.hasState, p.position = true, distribution.Position{Epoch: a.Epoch, Sequence: a.Through}
	return nil
}

// putInEffect records that an entry is in effect. The entry must have the content of a fact that was committed up to the sequence
// through; its own sequence may differ, because a store that reads its state from disk has facts without their sequences.
func (p *Process) putInEffect(epoch, through uint64, e distribution.Entry) error {
	f, known := p.history.find(epoch, through, e)
	if !known {
		return violated(RuleCommitted, "entry %d/%d does not match any committed entry", epoch, e.Sequence)
	}
	key := factKeyOf(e)
	if e.Kind == distribution.DrainEnded {
		delete(p.effective, key)
		return nil
	}
	if existing, known := p.effective[key]; known && isPurge(e.Kind) {
		e.EffectiveAt = max(e.EffectiveAt, existing.EffectiveAt)
		if outlasts(existing.ExpiresAt, e.ExpiresAt) {
			e.ExpiresAt = existing.ExpiresAt
		}
	}
	e.Sequence = f.Sequence
	p.effective[key] = e
	return nil
}

// CheckWatermark records the watermark that the process has in effect, and checks that all entries that it promises are in effect.
func (p *Process) CheckWatermark(w distribution.Watermark) error {
	if w == p.watermark || w == (distribution.Watermark{}) {
		return nil
	}
	p.watermark = w
	return p.checkComplete(func(f fact) bool { return f.committedAt < w.At || f.Sequence <= w.Sequence }, w.At)
}

// CheckCaughtUp checks that all committed entries are in effect, except purges that have expired by now, Unix ms.
func (p *Process) CheckCaughtUp(now int64) error {
	if p.position.Epoch != p.history.latest.Epoch || p.position.Sequence < p.history.latest.Sequence {
		return violated(RuleComplete, "process is at %d/%d, store at %d/%d", p.position.Epoch, p.position.Sequence,
			p.history.latest.Epoch, p.history.latest.Sequence)
	}
	return p.checkComplete(func(fact) bool { return true }, now)
}

// checkComplete checks that each expected fact of the epoch is in effect, replaced by a later one, or a purge that has expired by now.
func (p *Process) checkComplete(expected func(fact) bool, now int64) error {
	last := map[factKey]fact{}
	for _, f := range p.history.epochs[p.position.Epoch] {
		if !expected(f) {
			continue
		}
		if !isPurge(f.Kind) {
			last[factKeyOf(f.Entry)] = f
			continue
		}
		if f.ExpiresAt != 0 && f.ExpiresAt <= now || p.covered(f.Entry) {
			continue
		}
		return violated(RuleComplete, "purge %d/%d is not in effect at sequence %d", p.position.Epoch, f.Sequence, p.position.Sequence)
	}
	for key, f := range last {
		if p.missing(key, f) {
			return violated(RuleComplete, "entry %d/%d is not in effect at sequence %d", p.position.Epoch, f.Sequence, p.position.Sequence)
		}
	}
	return nil
}

// missing reports whether neither the last expected fact of a key nor a later one is in effect.
func (p *Process) missing(key factKey, f fact) bool {
	existing, known := p.effective[key]
	if f.Kind == distribution.DrainEnded {
		return known && existing.Sequence < f.Sequence
	}
	return (!known || existing.Sequence < f.Sequence) && !p.drainEnded(key, f.Sequence)
}

// drainEnded reports whether a drain was ended after a sequence, and at the latest at the process's position.
func (p *Process) drainEnded(key factKey, sequence uint64) bool {
	for _, f := range p.history.epochs[p.position.Epoch] {
		if f.Kind == distribution.DrainEnded && factKeyOf(f.Entry) == key && f.Sequence > sequence && f.Sequence <= p.position.Sequence {
			return true
		}
	}
	return false
}

// covered reports whether a purge in effect voids every copy that the purge e voids.
func (p *Process) covered(e distribution.Entry) bool {
	if existing, known := p.effective[factKeyOf(e)]; known && subsumes(existing, e) {
		return true
	}
	if e.Kind != distribution.PurgeObject || !e.GroupKnown {
		return false
	}
	existing, known := p.effective[factKey{kind: distribution.PurgeGroup, group: e.Group}]
	return known && subsumes(existing, e)
}
