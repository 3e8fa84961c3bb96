package distribution_test

import "ravenwheel/internal/decide/distribution"

// mutation is one way in which the machines, the shells or the wire could be wrong. The zero value changes nothing.
type mutation struct {
	name          string
	run           string // that catches it
	onEvent       func(s *distribution.Subscriber, e distribution.Event) distribution.Event
	onAfter       func(s *distribution.Subscriber)
	onAction      func(s *distribution.Subscriber, a distribution.Action) distribution.Action
	onGuard       func(g distribution.Freshness) distribution.Freshness
	onDistributor func(d *distribution.Distributor)
	onSent        func(w *world, m distribution.Message) distribution.Message
}

func (m mutation) event(s *distribution.Subscriber, e distribution.Event) distribution.Event {
	if m.onEvent == nil {
		return e
	}
	return m.onEvent(s, e)
}

func (m mutation) after(s *distribution.Subscriber) {
	if m.onAfter != nil {
		m.onAfter(s)
	}
}

func (m mutation) action(s *distribution.Subscriber, a distribution.Action) distribution.Action {
	if m.onAction == nil {
		return a
	}
	return m.onAction(s, a)
}

func (m mutation) guard(g distribution.Freshness) distribution.Freshness {
	if m.onGuard == nil {
		return g
	}
	return m.onGuard(g)
}

func (m mutation) distributor(d *distribution.Distributor) {
	if m.onDistributor != nil {
		m.onDistributor(d)
	}
}

func (m mutation) sent(w *world, x distribution.Message) distribution.Message {
	if m.onSent == nil {
		return x
	}
	return m.onSent(w, x)
}

// batch is the batch in an event, if it is one of a Subscriber's own epoch.
func batchIn(s *distribution.Subscriber, e distribution.Event) (distribution.Received, distribution.Batch, bool) {
	r, isMessage := e.(distribution.Received)
	if !isMessage {
		return r, distribution.Batch{}, false
	}
	b, isBatch := r.Message.(distribution.Batch)
	return r, b, isBatch
}

// What could be wrong. Each must be caught by one of the runs.
var mutations = []mutation{
	{name: "a gap is taken for the next", run: "loss", onEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
		if r, b, ok := batchIn(s, e); ok && b.After > s.AppliedSequence() {
			b.After = s.AppliedSequence()
			r.Message = b
			return r
		}
		return e
	}},
	{name: "a duplicate is taken in again", run: "loss", onEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
		if _, b, ok := batchIn(s, e); ok && b.Epoch == s.Position().Epoch && b.Through <= s.AppliedSequence() {
			s.RewindTo(b.After)
		}
		return e
	}},
	{name: "a batch of an old epoch passes the fence", run: "old batch", onEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
		if r, b, ok := batchIn(s, e); ok && b.Epoch < s.Position().Epoch {
			b.Epoch = s.Position().Epoch
			r.Message = b
			return r
		}
		return e
	}},
	{name: "an old epoch is heard again", run: "old chunks", onEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
		if r, isMessage := e.(distribution.Received); isMessage {
			if c, isChunk := r.Message.(distribution.SnapshotChunk); isChunk {
				s.ForgetHigherEpochs(c.Epoch)
			}
		}
		return e
	}},
	{name: "a watermark holds before its sequence is here", run: "loss", onAfter: func(s *distribution.Subscriber) { s.TrustPendingWatermark() }},
	{name: "a batch claims its own end, with holes that later ones cover", run: "loss", onSent: func(w *world, m distribution.Message) distribution.Message {
		if b, ok := m.(distribution.Batch); ok {
			b.Watermark.Sequence = b.Through
			return b
		}
		return m
	}},
	{name: "a relay passes on its own end as complete", run: "loss", onAction: func(s *distribution.Subscriber, a distribution.Action) distribution.Action {
		if x, ok := a.(distribution.Apply); ok {
			x.Watermark.Sequence = x.Through
			return x
		}
		return a
	}},
	{name: "the newest purge does not carry what it covers", run: "crash", onSent: func(w *world, m distribution.Message) distribution.Message {
		if c, ok := m.(distribution.SnapshotChunk); ok {
			for i, e := range c.Entries {
				if e.Name == script[2].Name && e.Sequence > 4 { // made before the one that it covers
					c.Entries[i].EffectiveAt = script[2].EffectiveAt + int64(w.epoch)*1000
				}
			}
		}
		return m
	}},
	{name: "a group's purge covers what ends later", run: "loss", onSent: func(w *world, m distribution.Message) distribution.Message {
		b, ok := m.(distribution.Batch)
		for i, e := range b.Entries {
			if ok && e.Name == "y" && e.ExpiresAt < 20_000 {
				b.Entries = append(b.Entries[:i:i], b.Entries[i+1:]...)
				return b
			}
		}
		return m
	}},
	{name: "a lost chunk is not missed", run: "epoch", onEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
		if r, isMessage := e.(distribution.Received); isMessage {
			if c, isChunk := r.Message.(distribution.SnapshotChunk); isChunk {
				c.Index = s.NextChunk()
				r.Message = c
				return r
			}
		}
		return e
	}},
	{name: "a snapshot ends a chunk early", run: "loss", onSent: func(w *world, m distribution.Message) distribution.Message {
		if c, ok := m.(distribution.SnapshotChunk); ok && c.Index == 0 {
			c.Last = true
			return c
		}
		return m
	}},
	{name: "a snapshot of the past is put in force", run: "old", onEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
		if r, isMessage := e.(distribution.Received); isMessage {
			if c, isChunk := r.Message.(distribution.SnapshotChunk); isChunk && c.Epoch == s.Position().Epoch && c.Through < s.AppliedSequence() {
				s.RewindTo(c.Through)
			}
		}
		return e
	}},
	{name: "a subscriber resumes behind what it has not got", run: "loss", onAction: func(s *distribution.Subscriber, a distribution.Action) distribution.Action {
		if x, ok := a.(distribution.SendMessage); ok {
			if m, isSubscribe := x.Message.(distribution.Subscribe); isSubscribe && m.From.Epoch != 0 {
				m.From.Sequence += 2
				x.Message = m
				return x
			}
		}
		return a
	}},
	{name: "a relay gives out its own time as the store's", run: "loss", onSent: func(w *world, m distribution.Message) distribution.Message {
		if h, ok := m.(distribution.Heartbeat); ok {
			h.Watermark.At = int64(w.now)
			return h
		}
		return m
	}},
	{name: "credit is not counted", run: "crash", onDistributor: func(d *distribution.Distributor) { d.ResetCredits() }},
	{name: "the backlog is not trimmed", run: "loss", onDistributor: func(d *distribution.Distributor) { d.UnlimitBacklog() }},
	{name: "who is behind the backlog gets only its tail", run: "cut", onDistributor: func(d *distribution.Distributor) { d.PretendFullBacklog() }},
	{name: "the bound is only looked at by Ticks", run: "asleep", onGuard: func(g distribution.Freshness) distribution.Freshness {
		g.FreshUntil = 1e18
		return g
	}},
	{name: "the oldest copy is raised to some time before the watermark", run: "asleep", onGuard: func(g distribution.Freshness) distribution.Freshness {
		g.OldestCopy -= 500
		g.WatermarkTime -= 500
		return g
	}},
}

// caught plays the run that is to catch a mutation.
func (m mutation) caught() found {
	for _, r := range runs {
		if r.name == m.run {
			return r.explore(m)
		}
	}
	return found{}
}
