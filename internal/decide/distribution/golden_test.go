package distribution_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/golden"
)

// goldenEntries returns entries of every kind, with and without the optional fields.
func goldenEntries() []distribution.Entry {
	return []distribution.Entry{
		{
			Sequence: 101, Kind: distribution.PurgeObject, Name: "/a/b.webp", Group: -17, GroupKnown: true,
			EffectiveAt: testTime - 1500, ExpiresAt: testTime + 3_600_000,
		},
		{Sequence: 102, Kind: distribution.PurgeObject, Name: "/no/group", EffectiveAt: testTime + 5},
		{Sequence: 105, Kind: distribution.PurgeGroup, Group: 900_000_000_000, EffectiveAt: testTime - 2, ExpiresAt: testTime + 1},
		{Sequence: 400, Kind: distribution.Revision, Name: "zone-1", Version: 12, Body: []byte("limits"), EffectiveAt: testTime},
		{Sequence: 401, Kind: distribution.List, Name: "source-1", Version: 1 << 40, Body: []byte{0, 1, 0xff}},
		{Sequence: 402, Kind: distribution.Drain, Name: "cache-7", EffectiveAt: testTime - 86_400_000},
		{Sequence: 900, Kind: distribution.DrainEnded, Name: "cache-7"},
	}
}

// Frames of earlier versions must still be decoded, and be encoded to the same bytes.
func TestGoldenFrames(t *testing.T) {
	watermark := distribution.Watermark{Sequence: 1000, At: testTime}
	purgeStream, configurationStream := distribution.Purges, distribution.Configuration
	for name, message := range map[string]distribution.Message{
		"subscribe.bin": distribution.Subscribe{Stream: purgeStream, Name: "proxy-a", Rank: 3, From: distribution.Position{Epoch: 12, Sequence: 99},
			Credit: 256 << 10, ReceivedBytes: 1 << 33},
		"subscribe_from_nothing.bin": distribution.Subscribe{Stream: configurationStream, Name: "p"},
		"credit.bin":                 distribution.Credit{Stream: purgeStream, Bytes: 128 << 10},
		"credit_none.bin":            distribution.Credit{Stream: configurationStream},
		"leave.bin":                  distribution.Unsubscribe{Stream: configurationStream},
		"batch.bin": distribution.Batch{Stream: purgeStream, Epoch: 12, After: 99, Through: 950, Watermark: watermark,
			Entries: goldenEntries()},
		"batch_whole.bin": distribution.Batch{Stream: purgeStream, Epoch: 12, Atomic: true, After: 99, Through: 950, Watermark: watermark,
			Entries: goldenEntries()},
		"batch_empty.bin": distribution.Batch{Stream: configurationStream, Epoch: 1, Through: 3},
		"chunk.bin": distribution.SnapshotChunk{Stream: configurationStream, Epoch: 12, Through: 1000, Watermark: watermark, Index: 3,
			Entries: goldenEntries()},
		"chunk_last.bin": distribution.SnapshotChunk{Stream: purgeStream, Epoch: 12, Through: 1000, Watermark: watermark, Index: 4, Last: true},
		"heartbeat.bin":  distribution.Heartbeat{Stream: purgeStream, Epoch: 12, Watermark: watermark},
		"refused.bin":    distribution.Rejected{Stream: purgeStream, Reason: distribution.RejectBusy, RetryAfter: 8000},
	} {
		golden.Equal(t, name, distribution.Encode(message).Bytes)
		decoded, err := distribution.Decode(golden.Read(t, name))
		require.NoError(t, err, name)
		require.Equal(t, message, decoded, name)
		golden.Equal(t, name, distribution.Encode(decoded).Bytes)
	}
}

// The numbers of streams, kinds and reasons are on the wire, and must stay the same.
func TestGoldenWireNumbers(t *testing.T) {
	require.Equal(t, []distribution.Stream{1, 2}, []distribution.Stream{distribution.Purges, distribution.Configuration})
	require.Equal(t, []distribution.Kind{1, 2, 3, 4, 5, 6}, []distribution.Kind{distribution.PurgeObject, distribution.PurgeGroup,
		distribution.Revision, distribution.List, distribution.Drain, distribution.DrainEnded})
	require.Equal(t, []distribution.RejectReason{1, 2, 3, 4, 5, 6}, []distribution.RejectReason{distribution.RejectFull, distribution.RejectBusy,
		distribution.RejectOldEpoch, distribution.RejectNotReady, distribution.RejectShutdown, distribution.RejectWrongRank})
}
