package recovery_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
)

// remaining returns the purges and members that a scan of all of them would keep at a time.
func remaining(purges []recovery.Purge, members []recovery.Member, now float64) (
	leftPurges []recovery.Purge, leftMembers []recovery.Member,
) {
	for _, p := range purges {
		if max(p.NotifiedAt, p.IssuedAt)+2*settings.PurgePropagation+settings.PurgeGrace >= now {
			leftPurges = append(leftPurges, p)
		}
	}
	for _, m := range members {
		if m.Phase != membership.Gone || m.Since+settings.GoneRetention >= now {
			leftMembers = append(leftMembers, m)
		}
	}
	return leftPurges, leftMembers
}

// Prune removes exactly the entries that a scan of the whole state would remove, for any history of events and any steps of the
// clock.
func TestPruneDropsWhatAFullScanWould(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := recovery.NewState(), 1e12
		for range rapid.IntRange(0, 120).Draw(t, "n") {
			now += float64(rapid.OneOf(rapid.IntRange(0, 3000), rapid.IntRange(-40_000, 40_000)).Draw(t, "ms"))
			s.Apply(drawEvent(t, now))
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				raw, err := s.Encode()
				require.NoError(t, err)
				s, err = recovery.DecodeState(raw)
				require.NoError(t, err)
			case 1, 2:
				at := now + float64(rapid.IntRange(-20_000, 20_000).Draw(t, "offset"))
				purges, members := s.Purges(), s.Members()
				leftPurges, leftMembers := remaining(purges, members, at)
				dropped := s.Prune(at, settings)
				require.Equal(t, len(purges)+len(members)-len(leftPurges)-len(leftMembers), dropped)
				require.ElementsMatch(t, leftPurges, s.Purges())
				require.ElementsMatch(t, leftMembers, s.Members())
			}
		}
	})
}

// A server that joins and leaves many times must not leave an entry in the expiry queue each time.
func TestRepeatedDepartureKeepsExpiryQueueShort(t *testing.T) {
	s := recovery.NewState()
	for i := range 200_000 {
		phase := membership.Ready
		if i%2 == 0 {
			phase = membership.Gone
		}
		s.Apply(recovery.Event{At: float64(i), Member: &recovery.Member{ID: 1, Phase: phase, Since: float64(i)}})
	}
	s.Apply(recovery.Event{At: 200_000, Member: &recovery.Member{ID: 1, Phase: membership.Gone, Since: 200_000}})
	require.LessOrEqual(t, s.GoneQueueLen(), 100)
	require.Zero(t, s.Prune(200_000+settings.GoneRetention, settings))
	require.Equal(t, 1, s.Prune(200_001+settings.GoneRetention, settings))
}
