package capacity

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// book has one linear recording, measured from 100 to 1,000.
func book() Book {
	r := Recording{
		Name: "x", Role: Proxy, Driver: "servers", Quantity: "memory", Unit: "bytes", Command: "c",
		Points: []Point{{100, 1100}, {300, 3100}, {500, 5100}, {1000, 10_100}},
	}
	return Book{"x": r.Fitted()}
}

// A figure that was stretched far beyond its measurements must not read as a measured one, whatever is made of it.
func TestWeakestMarkStands(t *testing.T) {
	b := book()
	within, beyond := b.At("x", given(400)), b.At("x", given(17_000))
	require.Equal(t, Measured, within.Mark)
	require.InDelta(t, 4100, within.Value, 0.1)
	require.Equal(t, Extrapolated, beyond.Mark)
	require.InDelta(t, 17, beyond.Beyond, 1e-9)
	require.Equal(t, Extrapolated, b.At("x", given(10)).Mark, "below the measured sizes")
	require.Equal(t, Assumed, b.At("x", assumed(400)).Mark, "at a size that is assumed")
	for _, f := range []Figure{within.Plus(beyond), beyond.Plus(within), within.Times(beyond), within.Over(beyond)} {
		require.Equal(t, Extrapolated, f.Mark)
		require.InDelta(t, 17, f.Beyond, 1e-9)
	}
	both := beyond.Plus(assumed(1))
	require.Equal(t, Assumed, both.Mark)
	require.InDelta(t, 17, both.Beyond, 1e-9, "how far it was stretched is still said")
	require.Equal(t, "170 KB x17", beyond.Bytes())
	require.Equal(t, "170 KB a, x17", both.Bytes())
	require.Equal(t, "4.1 KB m", within.Bytes())
	require.Equal(t, given(5).Plus(given(0)), given(5))
	r := b["x"]
	r.Points[1].Measured = 3300
	require.InDelta(t, 3300, b.At("x", given(300)).Value, 0, "what was measured, and not the fit of it")
}

func TestNumbersReadAsWritten(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.01234: "0.0123", 1: "1", 12.34: "12.3", 123.4: "123", 1234: "1,230", 1_234_567: "1,230,000", -2140: "-2,140", 99.96: "100", 999.6: "1,000"} {
		require.Equal(t, want, number(v), "%v", v)
	}
	require.Equal(t, "16,384", count(given(16_384)))
}

// near is equality but for rounding of the fits.
func near(t *testing.T, want, got float64, what string) {
	t.Helper()
	if math.Abs(got-want) > 0.002*math.Abs(want) {
		t.Errorf("%s: %v, by hand %v", what, got, want)
	}
}

func TestFormulasAgreeWithSumsByHand(t *testing.T) {
	f := loaded(t)
	l := f.Ordinary()
	near(t, 2*2500*6000/23_042.0/86_400, l.ListChanges, "changes of lists")
	near(t, 9100/86_400.0, l.ListChanges+l.Revisions, "changes of the configuration")
	near(t, 87*14.6, held(f.Assumptions, l.Purges).Value, "purges that bind")

	// 50 frames a second at most, each with a purge or not, and two heartbeats; 25 + 52 + 22 bytes beside the purges.
	perS := 50*(1-math.Exp(-87/50.0)) + 2
	near(t, 87*40+perS*(25+52+22), f.follow(Tree, l).BytesIn.Value, "bytes of a subscriber")
	near(t, f.Each("raft/leader-bytes").Value+87*(52+22), f.follow(AsIs, l).BytesIn.Value, "bytes of a follower")
	near(t, 17_004*f.Each("raft/leader-bytes").Value, f.LeaderCost(AsIs, l)[0].BytesOut.Value, "bytes of a leader of all")
	near(t, 4*f.Each("raft/leader-bytes").Value, f.LeaderCost(Tree, l)[0].BytesOut.Value, "bytes of a leader of voters")

	one := f.follow(Tree, l).BytesIn.Value + f.revisions(l).BytesIn.Value + f.lists(Tree, l).BytesIn.Value
	near(t, 17_000/37.0*one, f.DistributorCost(Tree, l, 37)[1].BytesOut.Value, "bytes of a distributor")
	near(t, f.At("replica/list-entry", given(6000)).Value*l.ListChanges, f.lists(Tree, l).BytesIn.Value, "whole lists")

	// An exchange with another that each begins and each is asked for, in 11 minutes at 17,000; no other traffic than probes.
	quiet := Load{Purges: l.Purges}
	near(t, 2/0.7*160+2*f.At("membership/whole-state", given(17_000)).Value/660, f.members(Tree, quiet).BytesOut.Value, "membership at rest")
	starts := Load{Starts: 17_000 / 3600.0}
	news := 2 * starts.Starts * 20 * f.Each("membership/whole-state").Value
	wholes := 2 * 3 / 3600.0 * f.At("membership/whole-state", given(17_000)).Value
	near(t, f.members(Tree, Load{}).BytesOut.Value+news+wholes, f.members(Tree, starts).BytesOut.Value, "membership as all start")
}

// What is gathered for longer is sent in fewer frames, and never in more than one an interval or one a purge.
func TestFramesAreBounded(t *testing.T) {
	for _, purges := range []float64{0.01, 1, 87, 870, 1e6} {
		last := math.Inf(1)
		for _, every := range []float64{1, 20, 100, 1000} {
			n := frames(purges, assumed(every)).Value
			require.LessOrEqual(t, n, min(purges, 1000/every)*(1+1e-9))
			require.LessOrEqual(t, n, last)
			last = n
		}
	}
}

// No loss of one machine, rack, zone or region may leave the store without a quorum or a fleet without distributors.
func TestOneLossLeavesAQuorum(t *testing.T) {
	f := loaded(t)
	for _, p := range f.Places() {
		require.Equal(t, p.Loss == "three voters", p.Voters < p.Needed, p.Loss)
		require.GreaterOrEqual(t, p.Distributors, f.Regions, p.Loss)
	}
	require.InDelta(t, f.Machines, f.Distributors()+voters, 0)
}

// Bounds that the formulas repeat are those of the code.
func TestBoundsAreThoseOfTheReplica(t *testing.T) {
	require.Len(t, revisedState(mostRevisions+30).Revisions, mostRevisions)
	require.Len(t, rememberingState(mostResults+30).Results, mostResults)
}
