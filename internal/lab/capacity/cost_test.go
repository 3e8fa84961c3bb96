package capacity

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// requireNear allows a relative difference of 0.2 %, as the parameters of fits are rounded.
func requireNear(t *testing.T, want, got float64, quantity string) {
	t.Helper()
	if math.Abs(got-want) > 0.002*math.Abs(want) {
		t.Errorf("%s: formula gives %v, computed by hand %v", quantity, got, want)
	}
}

// Formulas give the values that were computed by hand.
func TestFormulasMatchHandComputedValues(t *testing.T) {
	f := loadFleet(t)
	load := f.OrdinaryLoad()
	requireNear(t, 2*2500*6000/23_042.0/86_400, load.ListChangesPerS, "changes of lists")
	requireNear(t, 9100/86_400.0, load.ListChangesPerS+load.RevisionsPerS, "changes of the configuration")
	requireNear(t, 87*14.6, f.purgesInEffect(load.PurgesPerS).Value, "purges in effect")

	// Frames are sent in those of the 50 intervals a second that have a purge, and there are two heartbeats a second. Besides its
	// purges a frame has 25 bytes, and 52 + 22 bytes of packet and record headers.
	framesEachSecond := 50*(1-math.Exp(-87/50.0)) + 2
	requireNear(t, 87*40+framesEachSecond*(25+52+22), f.followCost(DesignDistribution, load).BytesInPerS.Value, "bytes of a subscriber")
	requireNear(t, f.UnitCost("raft/leader-bytes").Value+87*(52+22),
		f.followCost(DesignCurrent, load).BytesInPerS.Value, "bytes of a follower")
	requireNear(t, 17_004*f.UnitCost("raft/leader-bytes").Value,
		f.LeaderCost(DesignCurrent, load)[0].BytesOutPerS.Value, "bytes of a leader that replicates to every process")
	requireNear(t, 4*f.UnitCost("raft/leader-bytes").Value,
		f.LeaderCost(DesignDistribution, load)[0].BytesOutPerS.Value, "bytes of a leader that replicates to voters only")

	bytesPerSubscriber := f.followCost(DesignDistribution, load).BytesInPerS.Value + f.revisionCost(load).BytesInPerS.Value +
		f.listCost(DesignDistribution, load).BytesInPerS.Value
	requireNear(t, 17_000/37.0*bytesPerSubscriber, f.DistributorCost(DesignDistribution, load, 37)[1].BytesOutPerS.Value, "bytes of a distributor")
	requireNear(t, f.Estimate("replica/list-entry", given(6000)).Value*load.ListChangesPerS,
		f.listCost(DesignDistribution, load).BytesInPerS.Value, "whole lists")

	// At 17,000 members each member starts an exchange of the whole state every 11 minutes (660 s) and answers one. It also sends
	// probes.
	noStarts := Load{PurgesPerS: load.PurgesPerS}
	requireNear(t, 2/0.7*160+2*f.Estimate("membership/whole-state", given(17_000)).Value/660,
		f.membershipCost(DesignDistribution, noStarts).BytesOutPerS.Value, "membership without starts")
	starts := Load{StartsPerS: 17_000 / 3600.0}
	updates := 2 * starts.StartsPerS * 20 * f.UnitCost("membership/whole-state").Value
	exchanges := 2 * 3 / 3600.0 * f.Estimate("membership/whole-state", given(17_000)).Value
	requireNear(t, f.membershipCost(DesignDistribution, Load{}).BytesOutPerS.Value+updates+exchanges,
		f.membershipCost(DesignDistribution, starts).BytesOutPerS.Value, "membership while all processes start within an hour")
}

// A longer interval gives no more frames, and there is at most one frame for each interval and for each purge.
func TestFrameRateIsBounded(t *testing.T) {
	for _, purges := range []float64{0.01, 1, 87, 870, 1e6} {
		previous := math.Inf(1)
		for _, intervalMs := range []float64{1, 20, 100, 1000} {
			frames := framesPerS(purges, assumed(intervalMs)).Value
			require.LessOrEqual(t, frames, min(purges, 1000/intervalMs)*(1+1e-9))
			require.LessOrEqual(t, frames, previous)
			previous = frames
		}
	}
}

// The loss of one machine, rack, zone or region leaves the store a quorum, and as many distributors as there are regions or more.
// Only the loss of three voters leaves no quorum.
func TestSingleLossKeepsQuorum(t *testing.T) {
	f := loadFleet(t)
	for _, loss := range f.Losses() {
		require.Equal(t, loss.Name == "three voters", loss.VotersLeft < loss.VotersNeeded, loss.Name)
		require.GreaterOrEqual(t, loss.DistributorsLeft, f.Regions, loss.Name)
	}
	require.InDelta(t, f.ControlMachines, f.Distributors()+voters, 0)
}

// maxRevisions and maxResults are copied from decide/storestate and must equal the bounds there.
func TestBoundsMatchStoreState(t *testing.T) {
	require.Len(t, stateWithRevisions(maxRevisions+30).Revisions, maxRevisions)
	require.Len(t, stateWithResults(maxResults+30).Results, maxResults)
}
