package distribution_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/distribution"
)

func purgeEntry(sequence uint64, name string) distribution.Entry {
	return distribution.Entry{Sequence: sequence, Kind: distribution.PurgeObject, Name: name, EffectiveAt: 5}
}

// messagesTo returns the messages that the actions send on one link.
func messagesTo(t *testing.T, link distribution.Link, actions []distribution.Action) []distribution.Message {
	var all []distribution.Message
	for _, a := range actions {
		if s, isSend := a.(distribution.SendFrame); isSend {
			for _, to := range s.Links {
				if to == link {
					m, err := distribution.Decode(s.Frame.Bytes)
					require.NoError(t, err)
					all = append(all, m)
				}
			}
		}
	}
	return all
}

func subscribeFrom(name string, sequence uint64) distribution.Subscribe {
	return distribution.Subscribe{Stream: distribution.Purges, Name: name, Rank: 9, Credit: 1 << 20,
		From: distribution.Position{Epoch: 1, Sequence: sequence}}
}

// A relay that fell behind sends the new entries of a snapshot as one atomic batch. The sequences in it give only the order: "late" was
// committed at 160 and has the sequence 140 here. A subscriber that comes from another distributor and is at 150 would miss "late" if it
// got a part of the batch, so it must get a snapshot.
func TestSubscriberWithinAtomicBatchGetsSnapshot(t *testing.T) {
	settings := distribution.DefaultSettings(distribution.Purges, distribution.Peer{Name: "relay", Rank: 1})
	settings.MaxFrame = 1 // batches that are not atomic are split into batches of one entry
	watermarkAt := func(sequence uint64) distribution.Watermark {
		return distribution.Watermark{Sequence: sequence, At: 1000}
	}
	relay := distribution.NewDistributor(settings)
	relay.Handle(1000, distribution.InstallSnapshot{
		Epoch: 1, Through: 100, Watermark: watermarkAt(100), Entries: []distribution.Entry{purgeEntry(90, "early")},
	})
	relay.Handle(1000, distribution.Received{Link: 1, Message: subscribeFrom("resuming", 100)})

	snapshot := []distribution.Entry{purgeEntry(139, "early"), purgeEntry(140, "late"), purgeEntry(200, "later")}
	messages := messagesTo(t, 1, relay.Handle(1001, distribution.InstallSnapshot{Epoch: 1, Through: 200, Watermark: watermarkAt(200), Entries: snapshot}))
	require.Len(t, messages, 1)
	bridge := messages[0].(distribution.Batch)
	require.True(t, bridge.Atomic)
	require.Equal(t, [2]uint64{100, 200}, [2]uint64{bridge.After, bridge.Through})
	require.Len(t, bridge.Entries, 2, "early is in effect already")

	var snapshotNames []string
	for _, m := range messagesTo(t, 2, relay.Handle(1002, distribution.Received{Link: 2, Message: subscribeFrom("moved", 150)})) {
		_, isBatch := m.(distribution.Batch)
		require.False(t, isBatch)
		if c, isChunk := m.(distribution.SnapshotChunk); isChunk {
			for _, e := range c.Entries {
				snapshotNames = append(snapshotNames, e.Name)
			}
		}
	}
	require.Equal(t, []string{"early", "late", "later"}, snapshotNames)

	child := distribution.NewDistributor(settings) // the level below must not split the batch either
	child.Handle(1000, distribution.InstallSnapshot{Epoch: 1, Through: 100, Watermark: watermarkAt(100)})
	child.Handle(1000, distribution.Received{Link: 1, Message: subscribeFrom("resuming", 100)})
	messages = messagesTo(t, 1, child.Handle(1001, distribution.Apply{
		Epoch: 1, Atomic: bridge.Atomic, After: 100, Through: 200, Watermark: watermarkAt(200), Entries: bridge.Entries,
	}))
	require.Len(t, messages, 1)
	require.True(t, messages[0].(distribution.Batch).Atomic)
}

// A batch follows an atomic one: a subscriber whose position is at the end of the atomic batch or later must continue with that batch, and
// must not need a snapshot.
func TestBacklogContinuesAfterAtomicBatch(t *testing.T) {
	relay := distribution.NewDistributor(distribution.DefaultSettings(distribution.Purges, distribution.Peer{Name: "relay", Rank: 1}))
	relay.Handle(1000, distribution.InstallSnapshot{Epoch: 1, Through: 100, Watermark: distribution.Watermark{Sequence: 100, At: 1000}})
	relay.Handle(1001, distribution.InstallSnapshot{
		Epoch: 1, Through: 200, Watermark: distribution.Watermark{Sequence: 200, At: 1001},
		Entries: []distribution.Entry{purgeEntry(200, "x")},
	})
	relay.Handle(1002, distribution.Apply{
		Epoch: 1, After: 200, Through: 205, Watermark: distribution.Watermark{Sequence: 205, At: 1002},
		Entries: []distribution.Entry{purgeEntry(203, "y")},
	})
	for _, from := range []uint64{200, 203} {
		messages := messagesTo(t, distribution.Link(from), relay.Handle(1003, distribution.Received{
			Link: distribution.Link(from), Message: subscribeFrom("s", from),
		}))
		require.Len(t, messages, 2)
		batch := messages[1].(distribution.Batch)
		require.False(t, batch.Atomic)
		require.Equal(t, [2]uint64{200, 205}, [2]uint64{batch.After, batch.Through})
	}
}
