package capacity

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// book has one linear recording, measured from 100 to 1,000.
func fixtureRecordings() RecordingSet {
	r := Recording{
		Name: "x", Role: Proxy, Driver: "servers", Quantity: "memory", Unit: "bytes", Command: "c",
		Points: []Point{{100, 1100}, {300, 3100}, {500, 5100}, {1000, 10_100}},
	}
	return RecordingSet{"x": r.Fitted()}
}

// A figure that was stretched far beyond its measurements must not read as a measured one, whatever is made of it.
func TestWeakestMarkStands(t *testing.T) {
	b := fixtureRecordings()
	within, beyond := b.Estimate("x", given(400)), b.Estimate("x", given(17_000))
	require.Equal(t, Measured, within.Basis)
	require.InDelta(t, 4100, within.Value, 0.1)
	require.Equal(t, Extrapolated, beyond.Basis)
	require.InDelta(t, 17, beyond.Extrapolation, 1e-9)
	require.Equal(t, Extrapolated, b.Estimate("x", given(10)).Basis, "below the measured sizes")
	require.Equal(t, Assumed, b.Estimate("x", assumed(400)).Basis, "at a size that is assumed")
	for _, f := range []Figure{within.Plus(beyond), beyond.Plus(within), within.Times(beyond), within.DividedBy(beyond)} {
		require.Equal(t, Extrapolated, f.Basis)
		require.InDelta(t, 17, f.Extrapolation, 1e-9)
	}
	both := beyond.Plus(assumed(1))
	require.Equal(t, Assumed, both.Basis)
	require.InDelta(t, 17, both.Extrapolation, 1e-9, "how far it was stretched is still said")
	require.Equal(t, "170 KB x17", beyond.FormatBytes())
	require.Equal(t, "170 KB a, x17", both.FormatBytes())
	require.Equal(t, "4.1 KB m", within.FormatBytes())
	require.Equal(t, given(5).Plus(given(0)), given(5))
	r := b["x"]
	r.Points[1].Measured = 3300
	require.InDelta(t, 3300, b.Estimate("x", given(300)).Value, 0, "what was measured, and not the fit of it")
}

func TestNumbersReadAsWritten(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.01234: "0.0123", 1: "1", 12.34: "12.3", 123.4: "123", 1234: "1,230", 1_234_567: "1,230,000", -2140: "-2,140", 99.96: "100", 999.6: "1,000"} {
		require.Equal(t, want, formatNumber(v), "%v", v)
	}
	require.Equal(t, "16,384", formatCount(given(16_384)))
}

// near is equality but for rounding of the fits.
func requireNear(t *testing.T, want, got float64, what string) {
	t.Helper()
	if math.Abs(got-want) > 0.002*math.Abs(want) {
		t.Errorf("%s: %v, by hand %v", what, got, want)
	}
}

func TestFormulasAgreeWithSumsByHand(t *testing.T) {
	f := loadFleet(t)
	l := f.OrdinaryLoad()
	requireNear(t, 2*2500*6000/23_042.0/86_400, l.ListChangesPerS, "changes of lists")
	requireNear(t, 9100/86_400.0, l.ListChangesPerS+l.RevisionsPerS, "changes of the configuration")
	requireNear(t, 87*14.6, purgesInEffect(f.Assumptions, l.PurgesPerS).Value, "purges that bind")

	// 50 frames a second at most, each with a purge or not, and two heartbeats; 25 + 52 + 22 bytes beside the purges.
	perS := 50*(1-math.Exp(-87/50.0)) + 2
	requireNear(t, 87*40+perS*(25+52+22), f.followCost(DesignDistribution, l).BytesInPerS.Value, "bytes of a subscriber")
	requireNear(t, f.UnitCost("raft/leader-bytes").Value+87*(52+22), f.followCost(DesignCurrent, l).BytesInPerS.Value, "bytes of a follower")
	requireNear(t, 17_004*f.UnitCost("raft/leader-bytes").Value, f.LeaderCost(DesignCurrent, l)[0].BytesOutPerS.Value, "bytes of a leader of all")
	requireNear(t, 4*f.UnitCost("raft/leader-bytes").Value, f.LeaderCost(DesignDistribution, l)[0].BytesOutPerS.Value, "bytes of a leader of voters")

	one := f.followCost(DesignDistribution, l).BytesInPerS.Value + f.revisionCost(l).BytesInPerS.Value + f.listCost(DesignDistribution, l).BytesInPerS.Value
	requireNear(t, 17_000/37.0*one, f.DistributorCost(DesignDistribution, l, 37)[1].BytesOutPerS.Value, "bytes of a distributor")
	requireNear(t, f.Estimate("replica/list-entry", given(6000)).Value*l.ListChangesPerS, f.listCost(DesignDistribution, l).BytesInPerS.Value, "whole lists")

	// An exchange with another that each begins and each is asked for, in 11 minutes at 17,000; no other traffic than probes.
	quiet := Load{PurgesPerS: l.PurgesPerS}
	requireNear(t, 2/0.7*160+2*f.Estimate("membership/whole-state", given(17_000)).Value/660, f.membershipCost(DesignDistribution, quiet).BytesOutPerS.Value, "membership at rest")
	starts := Load{StartsPerS: 17_000 / 3600.0}
	news := 2 * starts.StartsPerS * 20 * f.UnitCost("membership/whole-state").Value
	wholes := 2 * 3 / 3600.0 * f.Estimate("membership/whole-state", given(17_000)).Value
	requireNear(t, f.membershipCost(DesignDistribution, Load{}).BytesOutPerS.Value+news+wholes, f.membershipCost(DesignDistribution, starts).BytesOutPerS.Value, "membership as all start")
}

// What is gathered for longer is sent in fewer frames, and never in more than one an interval or one a purge.
func TestFramesAreBounded(t *testing.T) {
	for _, purges := range []float64{0.01, 1, 87, 870, 1e6} {
		last := math.Inf(1)
		for _, every := range []float64{1, 20, 100, 1000} {
			n := framesPerS(purges, assumed(every)).Value
			require.LessOrEqual(t, n, min(purges, 1000/every)*(1+1e-9))
			require.LessOrEqual(t, n, last)
			last = n
		}
	}
}

// No loss of one machine, rack, zone or region may leave the store without a quorum or a fleet without distributors.
func TestOneLossLeavesAQuorum(t *testing.T) {
	f := loadFleet(t)
	for _, p := range f.Losses() {
		require.Equal(t, p.Name == "three voters", p.VotersLeft < p.VotersNeeded, p.Name)
		require.GreaterOrEqual(t, p.DistributorsLeft, f.Regions, p.Name)
	}
	require.InDelta(t, f.ControlMachines, f.Distributors()+voters, 0)
}

// Bounds that the formulas repeat are those of the code.
func TestBoundsAreThoseOfTheReplica(t *testing.T) {
	require.Len(t, stateWithRevisions(maxRevisions+30).Revisions, maxRevisions)
	require.Len(t, stateWithResults(maxResults+30).Results, maxResults)
}
