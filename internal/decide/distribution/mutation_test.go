package distribution_test

import "ravenwheel/internal/decide/distribution"

// mutation is one way in which the machines, their shell or the wire could be wrong. The zero value changes nothing.
type mutation struct {
	name              string
	search            string // that catches it
	changeEvent       func(s *distribution.Subscriber, e distribution.Event) distribution.Event
	afterEvent        func(s *distribution.Subscriber)
	changeAction      func(s *distribution.Subscriber, a distribution.Action) distribution.Action
	changeFreshness   func(g distribution.Freshness) distribution.Freshness
	changeDistributor func(d *distribution.Distributor)
	changeMessage     func(w *world, m distribution.Message) distribution.Message
}

func (m mutation) mutateEvent(s *distribution.Subscriber, e distribution.Event) distribution.Event {
	if m.changeEvent == nil {
		return e
	}
	return m.changeEvent(s, e)
}

func (m mutation) mutateAfterEvent(s *distribution.Subscriber) {
	if m.afterEvent != nil {
		m.afterEvent(s)
	}
}

func (m mutation) mutateAction(s *distribution.Subscriber, a distribution.Action) distribution.Action {
	if m.changeAction == nil {
		return a
	}
	return m.changeAction(s, a)
}

func (m mutation) mutateFreshness(g distribution.Freshness) distribution.Freshness {
	if m.changeFreshness == nil {
		return g
	}
	return m.changeFreshness(g)
}

func (m mutation) mutateDistributor(d *distribution.Distributor) {
	if m.changeDistributor != nil {
		m.changeDistributor(d)
	}
}

func (m mutation) mutateMessage(w *world, x distribution.Message) distribution.Message {
	if m.changeMessage == nil {
		return x
	}
	return m.changeMessage(w, x)
}

// batchIn returns the batch in an event, if there is one.
func batchIn(s *distribution.Subscriber, e distribution.Event) (distribution.Received, distribution.Batch, bool) {
	r, isMessage := e.(distribution.Received)
	if !isMessage {
		return r, distribution.Batch{}, false
	}
	b, isBatch := r.Message.(distribution.Batch)
	return r, b, isBatch
}

// mutations are what could be wrong. Each must be caught by one of the searches.
var mutations = []mutation{
	{
		name: "a gap is not noticed", search: "loss",
		changeEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
			if r, b, ok := batchIn(s, e); ok && b.After > s.AppliedSequence() {
				b.After = s.AppliedSequence()
				r.Message = b
				return r
			}
			return e
		},
	},
	{
		name: "a duplicate is applied again", search: "loss",
		changeEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
			if _, b, ok := batchIn(s, e); ok && b.Epoch == s.Position().Epoch && b.Through <= s.AppliedSequence() {
				s.RewindTo(b.After)
			}
			return e
		},
	},
	{
		name: "a batch of an old epoch passes the fence", search: "old batch",
		changeEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
			if r, b, ok := batchIn(s, e); ok && b.Epoch < s.Position().Epoch {
				b.Epoch = s.Position().Epoch
				r.Message = b
				return r
			}
			return e
		},
	},
	{
		name: "an old epoch is not fenced off", search: "old chunks",
		changeEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
			if r, isMessage := e.(distribution.Received); isMessage {
				if c, isChunk := r.Message.(distribution.SnapshotChunk); isChunk {
					s.ForgetHigherEpochs(c.Epoch)
				}
			}
			return e
		},
	},
	{
		name: "a watermark holds before its sequence is applied", search: "loss",
		afterEvent: func(s *distribution.Subscriber) { s.TrustPendingWatermark() },
	},
	{
		name: "a batch claims its own end, with gaps that later entries cover", search: "loss",
		changeMessage: func(w *world, m distribution.Message) distribution.Message {
			if b, ok := m.(distribution.Batch); ok {
				b.Watermark.Sequence = b.Through
				return b
			}
			return m
		},
	},
	{
		name: "a relay passes on its own end as complete", search: "loss",
		changeAction: func(s *distribution.Subscriber, a distribution.Action) distribution.Action {
			if x, ok := a.(distribution.Apply); ok {
				x.Watermark.Sequence = x.Through
				return x
			}
			return a
		},
	},
	{
		name: "the newest purge does not carry what it covers", search: "crash",
		changeMessage: func(w *world, m distribution.Message) distribution.Message {
			if c, ok := m.(distribution.SnapshotChunk); ok {
				for i, e := range c.Entries {
					if e.Name == script[2].Name && e.Sequence > 4 { // effective before the one that it covers
						c.Entries[i].EffectiveAt = script[2].EffectiveAt + int64(w.epoch)*1000
					}
				}
			}
			return m
		},
	},
	{
		name: "a group's purge covers what ends later", search: "loss",
		changeMessage: func(w *world, m distribution.Message) distribution.Message {
			b, ok := m.(distribution.Batch)
			for i, e := range b.Entries {
				if ok && e.Name == "y" && e.ExpiresAt < 20_000 {
					b.Entries = append(b.Entries[:i:i], b.Entries[i+1:]...)
					return b
				}
			}
			return m
		},
	},
	{
		name: "a lost chunk is not noticed", search: "epoch",
		changeEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
			if r, isMessage := e.(distribution.Received); isMessage {
				if c, isChunk := r.Message.(distribution.SnapshotChunk); isChunk {
					c.Index = s.NextChunk()
					r.Message = c
					return r
				}
			}
			return e
		},
	},
	{
		name: "a snapshot ends a chunk early", search: "loss",
		changeMessage: func(w *world, m distribution.Message) distribution.Message {
			if c, ok := m.(distribution.SnapshotChunk); ok && c.Index == 0 {
				c.Last = true
				return c
			}
			return m
		},
	},
	{
		name: "a snapshot of an earlier position is installed", search: "old",
		changeEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
			if r, isMessage := e.(distribution.Received); isMessage {
				if c, isChunk := r.Message.(distribution.SnapshotChunk); isChunk && c.Epoch == s.Position().Epoch && c.Through < s.AppliedSequence() {
					s.RewindTo(c.Through)
				}
			}
			return e
		},
	},
	{
		name: "a subscriber resumes behind entries that it lacks", search: "loss",
		changeAction: func(s *distribution.Subscriber, a distribution.Action) distribution.Action {
			if x, ok := a.(distribution.SendMessage); ok {
				if m, isSubscribe := x.Message.(distribution.Subscribe); isSubscribe && m.From.Epoch != 0 {
					m.From.Sequence += 2
					x.Message = m
					return x
				}
			}
			return a
		},
	},
	{
		name: "a relay sends its own time as the store's", search: "loss",
		changeMessage: func(w *world, m distribution.Message) distribution.Message {
			if h, ok := m.(distribution.Heartbeat); ok {
				h.Watermark.At = int64(w.now)
				return h
			}
			return m
		},
	},
	{
		name: "credit is not counted", search: "crash",
		changeDistributor: func(d *distribution.Distributor) { d.ResetCredits() },
	},
	{
		name: "the backlog is not trimmed", search: "loss",
		changeDistributor: func(d *distribution.Distributor) { d.RemoveBacklogLimits() },
	},
	{
		name: "a subscriber behind the backlog gets no snapshot", search: "cut",
		changeDistributor: func(d *distribution.Distributor) { d.TreatBacklogAsComplete() },
	},
	{
		name: "MaxLag is checked by Ticks only", search: "asleep",
		changeFreshness: func(g distribution.Freshness) distribution.Freshness {
			g.FreshUntil = 1e18
			return g
		},
	},
	{
		name: "the oldest copy is raised to some time before the watermark", search: "asleep",
		changeFreshness: func(g distribution.Freshness) distribution.Freshness {
			g.OldestCopy -= 500
			g.WatermarkTime -= 500
			return g
		},
	},
}

// runSearch runs the search that is to catch a mutation.
func (m mutation) runSearch() searchResult {
	for _, r := range searches {
		if r.name == m.search {
			return r.explore(m)
		}
	}
	return searchResult{}
}
