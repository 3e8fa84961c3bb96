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

// everySetting has a value in each field, since a handover compares the digest of all of them.
func everySetting() policy.Settings {
	return policy.Settings{
		Rank: 1, Routers: 2, Zone: 3, ZoneRouters: []int{4, 5}, HomeHub: []int{6, 7}, LinkKBPerS: []float64{8.5, 9.25},
		Classes: []policy.Class{
			{
				Target: 10 * time.Millisecond, AimStretch: 11.5, Deadline: 12 * time.Second, Worth: 13.5, LateValue: 0.25,
				Effect: policy.Keyed, Group: policy.GroupCell, Window: 14 * time.Second, Stream: true, Uncached: true,
				InParts: true, Fresh: 15 * time.Second, StaleFor: 16 * time.Second, StaleWorth: 0.5,
			},
			{Deadline: time.Second},
		},
		ParentKind: 17, OriginKind: 18, MayPassBy: true, Siblings: policy.ReachAny, SharesFills: true,
		Details: policy.DetailAll, FlowKBPerS: 19.5, PurgeTakes: 20 * time.Second, PurgeNotice: 21 * time.Second,
		OriginMultiple: 22.5, OriginBears: 23 * time.Second, AskDiscovery: true, AskWithin: 24 * time.Second,
		DrainGrace:  25 * time.Second,
		CacheFall:   policy.Fall{ColdFrom: 0.125, WarmWithin: 26 * time.Second, Multiple: 27.5, Within: 28 * time.Second},
		ParentFall:  policy.Fall{ColdFrom: 0.375, WarmWithin: 29 * time.Second, Multiple: 30.5, Within: 31 * time.Second},
		AnswerSlack: 32 * time.Millisecond, WeightsTold: true, MaxTries: 33, Cancel: true, RetryAfter: true,
		MaxRetryAfter: 34 * time.Second, ConnectWithin: 35 * time.Millisecond, Tick: 36 * time.Millisecond,
	}
}

// everyJudgement has a value in each field.
func everyJudgement(limit float64) policy.Judged {
	return policy.Judged{
		Down: true, Lost: true, Unanswered: 2, FailedAt: 3 * time.Second, FailShare: 0.25, LateShare: 0.5,
		LastAnswer: 4 * time.Second, TrialAt: 5 * time.Second, Limit: limit, Heard: 6 * time.Second, Ramped: 7 * time.Second,
		Ramps: true, Cold: 8 * time.Second, Colds: true, Credit: -9.5, CreditAt: 10 * time.Second,
	}
}

// everyLearned has a value in each field. It holds one target, since the order of a map is not fixed.
func everyLearned() learned {
	return learned{
		Revision: learnedRevision, Classes: []string{"tiles", "edits"}, Settings: sha256.Sum256([]byte("settings")),
		Learned: policy.Learned{
			Targets: map[policy.CacheID]policy.Judged{77: everyJudgement(11.5)}, Link: everyJudgement(12.5),
			MeanSend: []float64{0.125, 0.25}, MeanTook: []float64{0.375, 0.5}, FillShare: 0.625, OriginShare: 0.75,
			LinkSeen: [4]float64{1.5, 2.5, 3.5, 4.5},
		},
		Counted: []int64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, Epoch: 1_700_000_000_000.5,
	}
}

// TestGoldenLearned: what a process hands to its successor keeps the form that earlier versions wrote and read.
func TestGoldenLearned(t *testing.T) {
	for name, want := range map[string]learned{"learned.cbor": everyLearned(), "learned-empty.cbor": {}} {
		encoded, err := cbor.Marshal(want)
		require.NoError(t, err)
		golden.Equal(t, name, encoded)

		var got learned
		require.NoError(t, cbor.Unmarshal(golden.Read(t, name), &got))
		require.Equal(t, want, got)
		again, err := cbor.Marshal(got)
		require.NoError(t, err)
		golden.Equal(t, name, again)
	}
}

// TestGoldenSettingsDigest: a successor accepts learned state only under equal settings, so the digest of equal settings
// must be the one that earlier versions computed.
func TestGoldenSettingsDigest(t *testing.T) {
	for name, settings := range map[string]policy.Settings{"settings.digest": everySetting(), "settings-empty.digest": {}} {
		sum, err := digest(settings)
		require.NoError(t, err)
		golden.Equal(t, name, []byte(hex.EncodeToString(sum[:])+"\n"))
	}
}
