package distribution_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/distribution/check"
)

// drawScript draws what the store commits: few names, so that much is covered by something later.
func drawScript(t *rapid.T, stream distribution.Stream) []distribution.Entry {
	var all []distribution.Entry
	for i := range rapid.IntRange(1, 25).Draw(t, "commits") {
		name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name")
		made := rapid.Int64Range(100, 200).Draw(t, "made")
		until := rapid.SampledFrom([]int64{0, 13_000, 20_000, 90_000}).Draw(t, "until")
		e := distribution.Entry{
			Kind: distribution.PurgeObject, Name: name, Group: int64(name[0]) % 2, GroupKnown: name != "z",
			EffectiveAt: made, ExpiresAt: until,
		}
		switch {
		case stream == distribution.Configuration:
			kind := rapid.SampledFrom([]distribution.Kind{
				distribution.Revision, distribution.List, distribution.Drain, distribution.DrainEnded,
			}).Draw(t, "kind")
			e = distribution.Entry{Kind: kind, Name: name, EffectiveAt: made}
			if kind == distribution.Revision || kind == distribution.List {
				e.Version, e.Body = uint64(i+1), []byte(name)
			}
		case rapid.IntRange(0, 3).Draw(t, "group") == 0:
			e = distribution.Entry{Kind: distribution.PurgeGroup, Group: rapid.Int64Range(0, 1).Draw(t, "which"), EffectiveAt: made, ExpiresAt: until}
		}
		all = append(all, e)
	}
	return all
}

// checkRandomWalk plays long walks of the model, with four processes and all faults: deeper than the exhaustive search.
func checkRandomWalk(t *testing.T, stream distribution.Stream) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{stream: stream, script: drawScript(t, stream)}
		w.start()
		w.faultsLeft = rapid.IntRange(0, 15).Draw(t, "faults")
		w.breakagesLeft = rapid.IntRange(0, 8).Draw(t, "breaks")
		r := search{breakageKinds: []breakage{linkCuts, processCrashes, processPauses, newEpochs, rootRestarts}}
		for range rapid.IntRange(1, 150).Draw(t, "moves") {
			moves := r.steps(w)
			moves[rapid.IntRange(0, len(moves)-1).Draw(t, "move")].take(w)
			w.dropEndedLinks()
			require.NoError(t, w.violation)
		}
		require.NoError(t, w.heal())
	})
}

func TestRulesHoldForPurgesUnderDrawnFaults(t *testing.T) { checkRandomWalk(t, distribution.Purges) }

func TestRulesHoldForConfigurationUnderDrawnFaults(t *testing.T) {
	checkRandomWalk(t, distribution.Configuration)
}

// referenceSubscriber is a subscriber of a stream in which nothing is covered, written as plainly as possible.
type referenceSubscriber struct {
	hasState     bool
	position     distribution.Position
	highestEpoch uint64
	chunks       []distribution.SnapshotChunk
	fenced       bool
	entries      map[uint64]int // of the epoch: how often each sequence was put into force
}

func (n *referenceSubscriber) receive(m distribution.Message) {
	switch m := m.(type) {
	case distribution.Batch:
		if n.receiveEpoch(m.Epoch); !n.fenced && n.hasState && m.Epoch == n.position.Epoch && m.After <= n.position.Sequence && n.position.Sequence < m.Through {
			for _, e := range m.Entries {
				if e.Sequence > n.position.Sequence {
					n.entries[e.Sequence]++
				}
			}
			n.position.Sequence = m.Through
		}
	case distribution.Heartbeat:
		n.receiveEpoch(m.Epoch)
	case distribution.SnapshotChunk:
		n.receiveEpoch(m.Epoch)
		n.receiveChunk(m)
	}
}

func (n *referenceSubscriber) receiveEpoch(epoch uint64) {
	n.fenced = epoch < n.highestEpoch
	n.highestEpoch = max(n.highestEpoch, epoch)
}

func (n *referenceSubscriber) receiveChunk(m distribution.SnapshotChunk) {
	switch {
	case n.fenced:
		return
	case n.hasState && m.Epoch == n.position.Epoch && m.Through < n.position.Sequence:
		n.chunks = nil
		return
	case m.Index == 0:
		n.chunks = nil
	case len(n.chunks) != m.Index || n.chunks[0].Epoch != m.Epoch || n.chunks[0].Through != m.Through || n.chunks[0].Watermark != m.Watermark:
		n.chunks = nil
		return
	}
	if n.chunks = append(n.chunks, m); !m.Last {
		return
	}
	if m.Epoch != n.position.Epoch {
		n.entries = map[uint64]int{}
	}
	for _, c := range n.chunks {
		for _, e := range c.Entries {
			n.entries[e.Sequence] = 1
		}
	}
	n.hasState, n.position, n.chunks = true, distribution.Position{Epoch: m.Epoch, Sequence: m.Through}, nil
}

// drawValidMessage draws a message that a distributor may send at some time in two epochs of ten entries, none of which covers another.
func drawValidMessage(t *rapid.T) distribution.Message {
	epoch := rapid.Uint64Range(1, 2).Draw(t, "epoch")
	through := rapid.Uint64Range(1, 10).Draw(t, "through")
	mark := distribution.Watermark{Sequence: through, At: int64(through) * 100}
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0:
		return distribution.Heartbeat{Stream: distribution.Purges, Epoch: epoch, Watermark: mark}
	case 1:
		index := rapid.IntRange(0, 1).Draw(t, "index")
		half := through / 2
		c := distribution.SnapshotChunk{Stream: distribution.Purges, Epoch: epoch, Through: through, Watermark: mark, Index: index, Last: index == 1}
		if index == 0 {
			c.Entries = validEntries(epoch, 0, half)
		} else {
			c.Entries = validEntries(epoch, half, through)
		}
		return c
	default:
		after := rapid.Uint64Range(0, through).Draw(t, "after")
		return distribution.Batch{
			Stream: distribution.Purges, Epoch: epoch, After: after, Through: through, Watermark: mark,
			Entries: validEntries(epoch, after, through),
		}
	}
}

func validEntries(epoch, after, through uint64) []distribution.Entry {
	var entries []distribution.Entry
	for s := after + 1; s <= through; s++ {
		entries = append(entries, distribution.Entry{Sequence: s, Kind: distribution.PurgeObject, Name: fmt.Sprint(epoch, "/", s), EffectiveAt: 1})
	}
	return entries
}

// A subscriber that receives valid messages in any order, some twice or never, is always at the position of the reference.
func TestSubscriberMatchesReference(t *testing.T) {
	moved := 0
	defer func() { t.Logf("%d messages", moved) }()
	rapid.Check(t, func(t *rapid.T) {
		h := &check.History{}
		for epoch := uint64(1); epoch <= 2; epoch++ {
			for _, e := range validEntries(epoch, 0, 10) {
				h.Commit(epoch, e, int64(e.Sequence)*100)
			}
		}
		w := &world{stream: distribution.Purges}
		s, seen, reference := distribution.NewSubscriber(w.settings(atLeaf)), check.NewProcess(h), &referenceSubscriber{entries: map[uint64]int{}}
		now, link, taken := 1000.0, distribution.Link(0), 0
		handle := func(e distribution.Event) {
			for _, a := range s.Handle(now, e) {
				require.NoError(t, seen.Observe(a))
				if c, isConnect := a.(distribution.Connect); isConnect {
					link = c.Link
				}
			}
			require.NoError(t, seen.CheckWatermark(s.Watermark()))
		}
		handle(distribution.Candidates{Peers: peers})
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			for !s.AcceptsMessages() { // it has a link at all times, whatever made it leave the last one
				reference.chunks = nil // what was in flight is void with the link
				now += 50
				handle(distribution.Tick{})
				handle(distribution.Connected{Link: link})
			}
			m := drawValidMessage(t)
			reference.receive(m)
			handle(distribution.Received{Link: link, Message: m, Bytes: 10})
			taken++
			if s.NextChunk() == 0 {
				reference.chunks = nil
			}
			require.Equal(t, reference.position, s.Position())
			for sequence, times := range reference.entries {
				require.Equal(t, 1, times, "entry %d", sequence)
			}
		}
		moved += taken
	})
}
