package distribution_test

import "ravenwheel/internal/decide/distribution"

// mutation is a fault of the machines, of their caller or of the wire, which the checker must catch. The zero value changes nothing.
type mutation struct {
	name              string
	search            string // name of the search that catches the mutation
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

// batchOf returns the event as a Received and the batch in it, if it holds one.
func batchOf(s *distribution.Subscriber, e distribution.Event) (distribution.Received, distribution.Batch, bool) {
	r, isMessage := e.(distribution.Received)
	if !isMessage {
		return r, distribution.Batch{}, false
	}
	b, isBatch := r.Message.(distribution.Batch)
	return r, b, isBatch
}

// mutations lists faults, each of which the search that it names must catch.
var mutations = []mutation{
	{
		name: "a gap is not noticed", search: "message loss",
		changeEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
			if r, b, ok := batchOf(s, e); ok && b.After > s.AppliedSequence() {
				b.After = s.AppliedSequence()
				r.Message = b
				return r
			}
			return e
		},
	},
	{
		name: "a duplicate is applied again", search: "message loss",
		changeEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
			if _, b, ok := batchOf(s, e); ok && b.Epoch == s.Position().Epoch && b.Through <= s.AppliedSequence() {
				s.RewindTo(b.After)
			}
			return e
		},
	},
	{
		name: "a batch of an old epoch is taken for one of the present epoch", search: "batch of an old epoch",
		changeEvent: func(s *distribution.Subscriber, e distribution.Event) distribution.Event {
			if r, b, ok := batchOf(s, e); ok && b.Epoch < s.Position().Epoch {
				b.Epoch = s.Position().Epoch
				r.Message = b
				return r
			}
			return e
		},
	},
	{
		name: "a snapshot of an old epoch is not rejected", search: "chunks of an old epoch",
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
		name: "a watermark is used before its sequence is applied", search: "message loss",
		afterEvent: func(s *distribution.Subscriber) { s.TrustPendingWatermark() },
	},
	{
		name: "a batch's watermark ends with the batch, despite gaps that later entries cover", search: "message loss",
		changeMessage: func(w *world, m distribution.Message) distribution.Message {
			if b, ok := m.(distribution.Batch); ok {
				b.Watermark.Sequence = b.Through
				return b
			}
			return m
		},
	},
	{
		name: "a relay's watermark ends with the applied batch, despite gaps", search: "message loss",
		changeAction: func(s *distribution.Subscriber, a distribution.Action) distribution.Action {
			if x, ok := a.(distribution.Apply); ok {
				x.Watermark.Sequence = x.Through
				return x
			}
			return a
		},
	},
	{
		name: "the newest purge lacks the effect of the purge that it covers", search: "crash",
		changeMessage: func(w *world, m distribution.Message) distribution.Message {
			if c, ok := m.(distribution.SnapshotChunk); ok {
				for i, e := range c.Entries {
					if e.Name == script[2].Name && e.Sequence > 4 { // this purge is effective before the purge that it covers
						c.Entries[i].EffectiveAt = script[2].EffectiveAt + int64(w.epoch)*1000
					}
				}
			}
			return m
		},
	},
	{
		name: "a group purge covers an object purge that expires later", search: "message loss",
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
		name: "a lost chunk is not noticed", search: "new epoch",
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
		name: "a snapshot ends with its first chunk", search: "message loss",
		changeMessage: func(w *world, m distribution.Message) distribution.Message {
			if c, ok := m.(distribution.SnapshotChunk); ok && c.Index == 0 {
				c.Last = true
				return c
			}
			return m
		},
	},
	{
		name: "a snapshot of an earlier position is installed", search: "new epoch during relay restart",
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
		name: "a subscriber resumes after entries that it lacks", search: "message loss",
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
		name: "a heartbeat carries the relay's time instead of the store's", search: "message loss",
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
		name: "the backlog is not trimmed", search: "message loss",
		changeDistributor: func(d *distribution.Distributor) { d.RemoveBacklogLimits() },
	},
	{
		name: "a subscriber behind the backlog gets no snapshot", search: "link cut",
		changeDistributor: func(d *distribution.Distributor) { d.TreatBacklogAsComplete() },
	},
	{
		name: "MaxLag is checked only at Ticks", search: "leaf paused past MaxLag",
		changeFreshness: func(g distribution.Freshness) distribution.Freshness {
			g.FreshUntil = 1e18
			return g
		},
	},
	{
		name: "the oldest copy allowed is older than the watermark", search: "leaf paused past MaxLag",
		changeFreshness: func(g distribution.Freshness) distribution.Freshness {
			g.OldestCopy -= 500
			g.WatermarkTime -= 500
			return g
		},
	},
}

// runSearch runs the search that must catch the mutation.
func (m mutation) runSearch() searchResult {
	for _, r := range searches {
		if r.name == m.search {
			return r.explore(m)
		}
	}
	return searchResult{}
}
