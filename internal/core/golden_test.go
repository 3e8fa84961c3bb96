package core

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/golden"
	"ravenwheel/policy"
)

// fullSettings returns settings with every field set, since a handover compares the digest of all fields.
func fullSettings() policy.Settings {
	return policy.Settings{
		RouterIndex: 1, Routers: 2, Zone: 3, ZoneRouters: []int{4, 5}, HomeHub: []int{6, 7}, LinkKBPerS: []float64{8.5, 9.25},
		Classes: []policy.Class{
			{
				LatencyObjective: 10 * time.Millisecond, ObjectiveStretch: 11.5, Deadline: 12 * time.Second, PriorityWeight: 13.5, LateFraction: 0.25,
				Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupCell, DedupWindow: 14 * time.Second, Streamed: true, Uncached: true,
				Multipart: true, FreshFor: 15 * time.Second, StaleFor: 16 * time.Second, StaleFraction: 0.5,
			},
			{Deadline: time.Second},
		},
		ParentKind: 17, OriginKind: 18, MayBypassCaches: true, SiblingFills: policy.SiblingsAny, CoalescesFills: true,
		OutcomeDetail: policy.DetailAll, TransferKBPerS: 19.5, PurgeDuration: 20 * time.Second, PurgeGrace: 21 * time.Second,
		OriginOverloadMultiple: 22.5, OriginOverloadWindow: 23 * time.Second, WatchDiscovery: true, PollInterval: 24 * time.Second,
		DrainGrace:       25 * time.Second,
		CacheWarmUp:      policy.WarmUp{InitialCapacity: 0.125, Duration: 26 * time.Second, OverloadMultiple: 27.5, OverloadWindow: 28 * time.Second},
		ParentWarmUp:     policy.WarmUp{InitialCapacity: 0.375, Duration: 29 * time.Second, OverloadMultiple: 30.5, OverloadWindow: 31 * time.Second},
		FinalAnswerGrace: 32 * time.Millisecond, WeightsKnown: true, MaxAttempts: 33, CanCancel: true, SendsRetryAfter: true,
		MaxRetryAfter: 34 * time.Second, ConnectTimeout: 35 * time.Millisecond, MinBatchInterval: 36 * time.Millisecond,
	}
}

// fullServerStats returns statistics with every field set.
func fullServerStats(limit float64) policy.ServerStats {
	return policy.ServerStats{
		Down: true, Unreachable: true, ConsecutiveUnanswered: 2, LastFailure: 3 * time.Second, FailureRate: 0.25, LateRate: 0.5,
		LastAnswer: 4 * time.Second, NextProbe: 5 * time.Second, Limit: limit, LimitUpdated: 6 * time.Second, RampStart: 7 * time.Second,
		Ramping: true, WarmUpStart: 8 * time.Second, WarmingUp: true, Credit: -9.5, CreditUpdated: 10 * time.Second,
	}
}

// fullLearnedMessage returns a message with every field set. It has only one server, since the order of a map is not fixed.
func fullLearnedMessage() learnedMessage {
	return learnedMessage{
		Revision: learnedRevision, Classes: []string{"tiles", "edits"}, Settings: sha256.Sum256([]byte("settings")),
		State: policy.LearnedState{
			Servers: map[policy.ServerID]policy.ServerStats{77: fullServerStats(11.5)}, Link: fullServerStats(12.5),
			TransferTime: []float64{0.125, 0.25}, RecentTransferTime: []float64{0.375, 0.5}, FillRate: 0.625, OriginRate: 0.75,
			PeakLoad: [4]float64{1.5, 2.5, 3.5, 4.5},
		},
		Counters: []int64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, Epoch: 1_700_000_000_000.5,
	}
}

// TestGoldenLearned checks that learned state is encoded and decoded as in earlier versions, which may be the predecessor or the
// successor of this process.
func TestGoldenLearned(t *testing.T) {
	for name, want := range map[string]learnedMessage{"learned.cbor": fullLearnedMessage(), "learned-empty.cbor": {}} {
		encoded, err := cbor.Marshal(want)
		require.NoError(t, err)
		golden.Equal(t, name, encoded)

		var got learnedMessage
		require.NoError(t, cbor.Unmarshal(golden.Read(t, name), &got))
		require.Equal(t, want, got)
		again, err := cbor.Marshal(got)
		require.NoError(t, err)
		golden.Equal(t, name, again)
	}
}

// TestGoldenSettingsDigest checks that the digest of given settings is the one that earlier versions computed: a successor accepts
// learned state only if the digests are equal.
func TestGoldenSettingsDigest(t *testing.T) {
	for name, settings := range map[string]policy.Settings{"settings.digest": fullSettings(), "settings-empty.digest": {}} {
		sum, err := digestOf(settings)
		require.NoError(t, err)
		golden.Equal(t, name, []byte(hex.EncodeToString(sum[:])+"\n"))
	}
}
