package distribution_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/distribution"
)

// testTime is a time in 2026, Unix ms.
const testTime = 1_780_000_000_000

func drawEntry(t *rapid.T, sequence uint64) distribution.Entry {
	e := distribution.Entry{
		Sequence: sequence,
		Kind: rapid.SampledFrom([]distribution.Kind{
			distribution.PurgeObject, distribution.PurgeGroup, distribution.Revision, distribution.List,
			distribution.Drain, distribution.DrainEnded,
		}).Draw(t, "kind"),
		Name:        rapid.StringN(0, 40, 80).Draw(t, "name"),
		EffectiveAt: testTime - rapid.Int64Range(-60_000, 86_400_000).Draw(t, "effectiveAt"),
	}
	if rapid.Bool().Draw(t, "expires") {
		e.ExpiresAt = e.EffectiveAt + rapid.Int64Range(1, 86_400_000).Draw(t, "expiresAt")
	}
	if e.Kind == distribution.PurgeGroup || rapid.Bool().Draw(t, "hasGroup") {
		e.Group = rapid.Int64().Draw(t, "group")
		e.GroupKnown = e.Kind != distribution.PurgeGroup
	}
	if e.Kind == distribution.Revision || e.Kind == distribution.List {
		e.Version = rapid.Uint64Range(1, 1<<40).Draw(t, "version")
		e.Body = rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "body")
	}
	return e
}

func drawEntries(t *rapid.T, after uint64) []distribution.Entry {
	var entries []distribution.Entry
	for range rapid.IntRange(0, 5).Draw(t, "entries") {
		after += rapid.Uint64Range(1, 300).Draw(t, "step")
		entries = append(entries, drawEntry(t, after))
	}
	return entries
}

func drawMessage(t *rapid.T) distribution.Message {
	after := rapid.Uint64Range(0, 1<<33).Draw(t, "after")
	watermark := distribution.Watermark{Sequence: rapid.Uint64().Draw(t, "watermark"), At: testTime}
	epoch := rapid.Uint64().Draw(t, "epoch")
	number := rapid.IntRange(0, 1<<30).Draw(t, "number")
	entries := drawEntries(t, after)
	through := after + 2000
	return rapid.SampledFrom([]distribution.Message{
		distribution.Subscribe{
			Stream: distribution.Purges, Name: "a name", Rank: 3,
			From: distribution.Position{Epoch: epoch, Sequence: after}, Credit: number, ReceivedBytes: epoch,
		},
		distribution.Credit{Stream: distribution.Configuration, Bytes: number},
		distribution.Unsubscribe{Stream: distribution.Purges},
		distribution.Batch{Stream: distribution.Purges, Epoch: epoch, After: after, Through: through, Watermark: watermark, Entries: entries},
		distribution.SnapshotChunk{
			Stream: distribution.Configuration, Epoch: epoch, Through: through, Watermark: watermark, Index: number / 2,
			Last: number%2 == 1, Entries: entries,
		},
		distribution.Heartbeat{Stream: distribution.Purges, Epoch: epoch, Watermark: watermark},
		distribution.Rejected{Stream: distribution.Purges, Reason: distribution.RejectFull, RetryAfter: number},
	}).Draw(t, "message")
}

func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		decoded, err := distribution.Decode(distribution.Encode(m).Bytes)
		require.NoError(t, err)
		require.Equal(t, m, decoded)
	})
}

func TestDecodeRejectsTruncatedAndTrailingBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := distribution.Encode(drawMessage(t)).Bytes
		_, err := distribution.Decode(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")])
		require.ErrorIs(t, err, distribution.ErrMalformed)
		_, err = distribution.Decode(append(b[:len(b):len(b)], 0))
		require.ErrorIs(t, err, distribution.ErrMalformed)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(distribution.Encode(distribution.Heartbeat{Stream: 1, Epoch: 2, Watermark: distribution.Watermark{Sequence: 3, At: testTime}}).Bytes)
	f.Add(distribution.Encode(distribution.Batch{
		Stream: 1, Epoch: 2, After: 3, Through: 9,
		Entries: []distribution.Entry{{Sequence: 5, Kind: distribution.PurgeObject, Name: "x"}},
	}).Bytes)
	f.Add([]byte{4, 1, 1, 1, 1, 1, 1, 0xff, 0xff, 0x3f})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := distribution.Decode(b)
		if err != nil {
			return
		}
		decodedAgain, err := distribution.Decode(distribution.Encode(m).Bytes)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("%#v", m), fmt.Sprintf("%#v", decodedAgain))
	})
}

func TestEncodedSizeIsUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batch := distribution.Batch{
			Stream: 1, Epoch: 1, After: 1 << 32, Through: 1<<32 + 2000,
			Watermark: distribution.Watermark{Sequence: 1 << 33, At: testTime},
		}
		emptySize := len(distribution.Encode(batch).Bytes)
		batch.Entries = drawEntries(t, 1<<32)
		bound := 0
		for _, e := range batch.Entries {
			bound += distribution.EncodedSize(e)
		}
		require.LessOrEqual(t, len(distribution.Encode(batch).Bytes)-emptySize, bound)
	})
}

// A purge must take less than 195 bytes on the wire: 87 purges a second then take 17 KB/s on each link.
func TestPurgeFrameSize(t *testing.T) {
	var entries []distribution.Entry
	for i := range 87 {
		entries = append(entries, distribution.Entry{Sequence: 1_000_000 + uint64(i), Kind: distribution.PurgeObject, Group: int64(i), GroupKnown: true,
			Name: fmt.Sprintf("/catalogue/pictures/by-size/1280x720/%032x.webp", i), EffectiveAt: testTime - int64(i*11), ExpiresAt: testTime + 3_600_000})
	}
	bytes := 0
	for _, e := range entries { // the largest size: each purge alone in a batch
		b := distribution.Batch{Stream: distribution.Purges, Epoch: 12, After: e.Sequence - 1, Through: e.Sequence,
			Watermark: distribution.Watermark{Sequence: e.Sequence, At: testTime}, Entries: []distribution.Entry{e}}
		size := len(distribution.Encode(b).Bytes)
		require.Less(t, size, 195)
		bytes += size
	}
	oneBatch := distribution.Batch{Stream: distribution.Purges, Epoch: 12, After: 999_999, Through: 1_000_086,
		Watermark: distribution.Watermark{Sequence: 1_000_086, At: testTime}, Entries: entries}
	t.Logf(
		"names of %d bytes: %d bytes for a purge in batches of one, %d in a batch of 87", len(entries[0].Name), bytes/87,
		len(distribution.Encode(oneBatch).Bytes)/87,
	)
}
