package recovery_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/scenario/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var settings = recovery.Settings{PurgePropagation: 6000, PurgeGrace: 1000, GoneRetention: 9000}

// drawEvent draws an event of any kind that happens at a time.
func drawEvent(t *rapid.T, at float64) recovery.Event {
	e := recovery.Event{At: at}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		e.Purge = &recovery.Purge{IssuedAt: at - float64(rapid.IntRange(-5, 500).Draw(t, "age")), NotifiedAt: at}
		if rapid.Bool().Draw(t, "object") {
			e.Purge.Object = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
		} else {
			e.Purge.Group = rapid.IntRange(0, 2).Draw(t, "group")
		}
	case 1:
		e.Member = &recovery.Member{
			ID: uint64(rapid.IntRange(1, 4).Draw(t, "id")), Addr: "x", Since: at,
			Phase: rapid.SampledFrom([]membership.Phase{membership.Ready, membership.Draining, membership.Gone}).Draw(t, "phase"),
		}
	case 2:
		e.List = &recovery.List{
			Source: "f", Generation: uint64(rapid.IntRange(1, 9).Draw(t, "gen")), Servers: []serverlist.Server{{ID: 7, Host: "h", Port: 1}},
		}
	case 3:
		e.Revision = uint64(rapid.IntRange(1, 9).Draw(t, "rev"))
	case 4:
		e.Boot = true
	case 5:
		e.ManualDrain = &recovery.ManualDrain{ID: uint64(rapid.IntRange(1, 3).Draw(t, "id")), Active: rapid.Bool().Draw(t, "on")}
	}
	return e
}

// A state that was encoded, decoded and pruned between arbitrary events gives the same plan as one that was not: pruning removes
// nothing that a plan would contain.
func TestEncodedStateGivesTheSamePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, stored := recovery.NewState(), recovery.NewState()
		now := 1e12
		for range rapid.IntRange(0, 60).Draw(t, "n") {
			now += float64(rapid.IntRange(0, 4000).Draw(t, "ms"))
			e := drawEvent(t, now)
			raw, err := e.Encode()
			require.NoError(t, err)
			decoded, err := recovery.DecodeEvent(raw)
			require.NoError(t, err)
			plain.Apply(e)
			stored.Apply(decoded)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				raw, err := stored.Encode()
				require.NoError(t, err)
				stored, err = recovery.DecodeState(raw)
				require.NoError(t, err)
			case 1:
				stored.Prune(now, settings)
			}
		}
		restartAt := now + float64(rapid.IntRange(-8000, 20_000).Draw(t, "downtime"))
		require.Equal(t, plain.Plan(max(now, restartAt), settings), stored.Plan(max(now, restartAt), settings))
		p := stored.Plan(restartAt, settings)
		require.Equal(t, max(0, stored.LatestTime-restartAt), p.ClockStepBack)
		for _, x := range p.Purges {
			require.LessOrEqual(t, x.IssuedAt, restartAt, "a purge issued in the future would have a negative age")
			require.Equal(t, restartAt, x.NotifiedAt)
		}
		for _, x := range p.Members {
			require.LessOrEqual(t, x.Since, restartAt, "a drain that began in the future would last longer by the step")
		}
	})
}

func TestPurgesExpireAndSurviveClockSteps(t *testing.T) {
	s := recovery.NewState()
	s.Apply(recovery.Event{At: 1000, Purge: &recovery.Purge{Object: "a", IssuedAt: 990, NotifiedAt: 1000}})
	s.Apply(recovery.Event{At: 2000, Purge: &recovery.Purge{Object: "a", IssuedAt: 900, NotifiedAt: 2000}})
	s.Apply(recovery.Event{At: 3000, Purge: &recovery.Purge{Group: 5, IssuedAt: 3000, NotifiedAt: 3000}})
	require.Equal(t, []recovery.Purge{
		{Object: "a", IssuedAt: 990, NotifiedAt: 4000}, {Group: 5, IssuedAt: 3000, NotifiedAt: 4000},
	}, s.Plan(4000, settings).Purges)
	require.Len(t, s.Plan(15_500, settings).Purges, 1, "the first expired at 2000 + 2*6000 + 1000")
	require.Empty(t, s.Plan(16_500, settings).Purges)
	// The clock was stepped back by 5 s: a purge whose time of receipt is now in the future counts as received now.
	afterStepBack := s.Plan(-2000, settings)
	require.Equal(t, 5000.0, afterStepBack.ClockStepBack)
	require.Equal(t, []recovery.Purge{
		{Group: 5, IssuedAt: -2000, NotifiedAt: -2000}, {Object: "a", IssuedAt: -2000, NotifiedAt: -2000},
	}, afterStepBack.Purges)
	require.Equal(t, 1, s.Prune(15_500, settings))
}

func TestDecodeRejectsInvalidBytes(t *testing.T) {
	valid, err := recovery.Event{At: 1, Member: &recovery.Member{ID: 1, Phase: membership.Ready}}.Encode()
	require.NoError(t, err)
	for _, e := range []recovery.Event{
		{At: math.NaN()}, {Member: &recovery.Member{Phase: 9}}, {Purge: &recovery.Purge{IssuedAt: math.Inf(1)}},
	} {
		raw, err := e.Encode()
		require.NoError(t, err)
		_, err = recovery.DecodeEvent(raw)
		require.Error(t, err)
	}
	for _, raw := range [][]byte{nil, {9}, {2, 0xa0}, valid[:len(valid)-1]} {
		_, err := recovery.DecodeEvent(raw)
		require.Error(t, err)
		_, err = recovery.DecodeState(raw)
		require.Error(t, err)
	}
}

func FuzzDecode(f *testing.F) {
	s := recovery.NewState()
	s.Apply(recovery.Event{At: 1000, Purge: &recovery.Purge{Object: "a", IssuedAt: 990, NotifiedAt: 1000}})
	s.Apply(recovery.Event{At: 1, Member: &recovery.Member{ID: 1, Phase: membership.Draining}})
	raw, _ := s.Encode()
	f.Add(raw)
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := recovery.DecodeEvent(b); err == nil {
			recovery.NewState().Apply(e)
		}
		if s, err := recovery.DecodeState(b); err == nil {
			_ = s.Plan(1e12, settings)
		}
	})
}

func BenchmarkPlan100k(b *testing.B) {
	s := recovery.NewState()
	for i := range 100_000 {
		s.Apply(recovery.Event{At: 1000, Member: &recovery.Member{
			ID: uint64(i), Addr: "127.0.0.1:4100", Phase: membership.Draining, Since: 1000,
		}})
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = s.Plan(2000, settings)
	}
}
