package distribution_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/distribution/check"
)

// drawScript draws the entries that the store commits. They have few names, so that many are covered by later ones.
func drawScript(t *rapid.T, stream distribution.Stream) []distribution.Entry {
	var all []distribution.Entry
	for i := range rapid.IntRange(1, 25).Draw(t, "commits") {
		name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name")
		effectiveAt := rapid.Int64Range(100, 200).Draw(t, "effectiveAt")
		expiresAt := rapid.SampledFrom([]int64{0, 13_000, 20_000, 90_000}).Draw(t, "expiresAt")
		e := distribution.Entry{
			Kind: distribution.PurgeObject, Name: name, Group: int64(name[0]) % 2, GroupKnown: name != "z",
			EffectiveAt: effectiveAt, ExpiresAt: expiresAt,
		}
		switch {
		case stream == distribution.Configuration:
			kind := rapid.SampledFrom([]distribution.Kind{
				distribution.Revision, distribution.List, distribution.Drain, distribution.DrainEnded,
			}).Draw(t, "kind")
			e = distribution.Entry{Kind: kind, Name: name, EffectiveAt: effectiveAt}
			if kind == distribution.Revision || kind == distribution.List {
				e.Version, e.Body = uint64(i+1), []byte(name)
			}
		case rapid.IntRange(0, 3).Draw(t, "isGroup") == 0:
			e = distribution.Entry{Kind: distribution.PurgeGroup, Group: rapid.Int64Range(0, 1).Draw(t, "group"), EffectiveAt: effectiveAt, ExpiresAt: expiresAt}
		}
		all = append(all, e)
	}
	return all
}

// checkRandomWalk takes long random walks through the model, with four processes and all faults: more steps than the exhaustive search
// takes.
func checkRandomWalk(t *testing.T, stream distribution.Stream) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{stream: stream, script: drawScript(t, stream)}
		w.start()
		w.messageFaultsLeft = rapid.IntRange(0, 15).Draw(t, "messageFaults")
		w.componentFaultsLeft = rapid.IntRange(0, 8).Draw(t, "componentFaults")
		r := search{faultKinds: []componentFault{linkCuts, processCrashes, processPauses, newEpochs, rootRestarts}}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			steps := r.steps(w)
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")].run(w)
			w.dropEndedLinks()
			require.NoError(t, w.violation)
		}
		require.NoError(t, w.heal())
	})
}

func TestRulesHoldForPurgesUnderRandomFaults(t *testing.T) { checkRandomWalk(t, distribution.Purges) }

func TestRulesHoldForConfigurationUnderRandomFaults(t *testing.T) {
	checkRandomWalk(t, distribution.Configuration)
}

// referenceSubscriber is a simple implementation of a subscriber, for a stream in which no entry covers another.
type referenceSubscriber struct {
	hasState     bool
	position     distribution.Position
	highestEpoch uint64
	chunks       []distribution.SnapshotChunk
	fenced       bool           // the last message was of an epoch below the highest one
	timesApplied map[uint64]int // how often each sequence of the present epoch was applied
}

func (r *referenceSubscriber) receive(m distribution.Message) {
	switch m := m.(type) {
	case distribution.Batch:
		if r.receiveEpoch(m.Epoch); !r.fenced && r.hasState && m.Epoch == r.position.Epoch && m.After <= r.position.Sequence && r.position.Sequence < m.Through {
			for _, e := range m.Entries {
				if e.Sequence > r.position.Sequence {
					r.timesApplied[e.Sequence]++
				}
			}
			r.position.Sequence = m.Through
		}
	case distribution.Heartbeat:
		r.receiveEpoch(m.Epoch)
	case distribution.SnapshotChunk:
		r.receiveEpoch(m.Epoch)
		r.receiveChunk(m)
	}
}

// receiveEpoch records the epoch of a message.
func (r *referenceSubscriber) receiveEpoch(epoch uint64) {
	r.fenced = epoch < r.highestEpoch
	r.highestEpoch = max(r.highestEpoch, epoch)
}

func (r *referenceSubscriber) receiveChunk(m distribution.SnapshotChunk) {
	switch {
	case r.fenced:
		return
	case r.hasState && m.Epoch == r.position.Epoch && m.Through < r.position.Sequence:
		r.chunks = nil
		return
	case m.Index == 0:
		r.chunks = nil
	case len(r.chunks) != m.Index || r.chunks[0].Epoch != m.Epoch || r.chunks[0].Through != m.Through || r.chunks[0].Watermark != m.Watermark:
		r.chunks = nil
		return
	}
	if r.chunks = append(r.chunks, m); !m.Last {
		return
	}
	if m.Epoch != r.position.Epoch {
		r.timesApplied = map[uint64]int{}
	}
	for _, c := range r.chunks {
		for _, e := range c.Entries {
			r.timesApplied[e.Sequence] = 1
		}
	}
	r.hasState, r.position, r.chunks = true, distribution.Position{Epoch: m.Epoch, Sequence: m.Through}, nil
}

// drawValidMessage draws a message that a distributor may send at some time in two epochs of ten entries, none of which covers another.
func drawValidMessage(t *rapid.T) distribution.Message {
	epoch := rapid.Uint64Range(1, 2).Draw(t, "epoch")
	through := rapid.Uint64Range(1, 10).Draw(t, "through")
	watermark := distribution.Watermark{Sequence: through, At: int64(through) * 100}
	switch rapid.IntRange(0, 3).Draw(t, "messageType") {
	case 0:
		return distribution.Heartbeat{Stream: distribution.Purges, Epoch: epoch, Watermark: watermark}
	case 1:
		index := rapid.IntRange(0, 1).Draw(t, "index")
		half := through / 2
		c := distribution.SnapshotChunk{Stream: distribution.Purges, Epoch: epoch, Through: through, Watermark: watermark, Index: index, Last: index == 1}
		if index == 0 {
			c.Entries = validEntries(epoch, 0, half)
		} else {
			c.Entries = validEntries(epoch, half, through)
		}
		return c
	default:
		after := rapid.Uint64Range(0, through).Draw(t, "after")
		return distribution.Batch{
			Stream: distribution.Purges, Epoch: epoch, After: after, Through: through, Watermark: watermark,
			Entries: validEntries(epoch, after, through),
		}
	}
}

// validEntries returns the entries (after, through] of an epoch, each a purge of another object.
func validEntries(epoch, after, through uint64) []distribution.Entry {
	var entries []distribution.Entry
	for s := after + 1; s <= through; s++ {
		entries = append(entries, distribution.Entry{Sequence: s, Kind: distribution.PurgeObject, Name: fmt.Sprint(epoch, "/", s), EffectiveAt: 1})
	}
	return entries
}

// A subscriber that receives valid messages in any order, some twice or never, must always be at the position of the reference. It must
// apply each entry once.
func TestSubscriberMatchesReference(t *testing.T) {
	totalMessages := 0
	defer func() { t.Logf("%d messages received", totalMessages) }()
	rapid.Check(t, func(t *rapid.T) {
		h := &check.History{}
		for epoch := uint64(1); epoch <= 2; epoch++ {
			for _, e := range validEntries(epoch, 0, 10) {
				h.Commit(epoch, e, int64(e.Sequence)*100)
			}
		}
		w := &world{stream: distribution.Purges}
		s, observed, reference := distribution.NewSubscriber(w.settings(leafIndex)), check.NewProcess(h), &referenceSubscriber{timesApplied: map[uint64]int{}}
		now, link, messages := 1000.0, distribution.Link(0), 0
		handle := func(e distribution.Event) {
			for _, a := range s.Handle(now, e) {
				require.NoError(t, observed.Observe(a))
				if c, isConnect := a.(distribution.Connect); isConnect {
					link = c.Link
				}
			}
			require.NoError(t, observed.CheckWatermark(s.Watermark()))
		}
		handle(distribution.Candidates{Peers: peers})
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			for !s.AcceptsMessages() { // connect again, for whatever reason the subscriber has left the last link
				reference.chunks = nil // the chunks received on the last link are dropped with it
				now += 50
				handle(distribution.Tick{})
				handle(distribution.Connected{Link: link})
			}
			m := drawValidMessage(t)
			reference.receive(m)
			handle(distribution.Received{Link: link, Message: m, Bytes: 10})
			messages++
			if s.NextChunk() == 0 {
				reference.chunks = nil
			}
			require.Equal(t, reference.position, s.Position())
			for sequence, times := range reference.timesApplied {
				require.Equal(t, 1, times, "times that entry %d was applied", sequence)
			}
		}
		totalMessages += messages
	})
}
