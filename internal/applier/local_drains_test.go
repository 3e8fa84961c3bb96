package applier_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/applier"
	"ravenwheel/internal/decide/storestate"
)

const drainedServer = "s-00000001"

func startDrain(id string) storestate.Change {
	return storestate.Change{ID: id, Kind: storestate.StartDrain, Name: drainedServer}
}

func endDrain(id string) storestate.Change {
	return storestate.Change{ID: id, Kind: storestate.EndDrain, Name: drainedServer}
}

// appliedDrains returns the drains that an applier makes of the changes pushed so far.
func appliedDrains(queue *applier.Queue) []any {
	e := &effects{}
	queue.Close()
	newApplier(e).Run(queue)
	return e.all
}

// Guards against a drain by hand that ends at a member that was away: the log brings the end of an earlier drain after it.
func TestEarlierEndOfDrainDoesNotEndLocalDrain(t *testing.T) {
	queue := applier.NewQueue()
	d := applier.NewLocalDrains(queue)
	d.Begin(drainedServer, "own")
	for _, c := range []storestate.Change{startDrain("old"), endDrain("old end"), startDrain("own"), endDrain("later")} {
		d.Push(c)
	}
	require.Equal(t, []any{drain{1, true}, drain{1, true}, drain{1, false}}, appliedDrains(queue))
}

// A change that the store did not accept holds nothing back, and drains of other servers are not held back.
func TestForgottenLocalDrainHoldsNothingBack(t *testing.T) {
	queue := applier.NewQueue()
	d := applier.NewLocalDrains(queue)
	d.Begin("s-00000002", "other")
	d.Begin(drainedServer, "own")
	d.Forget(drainedServer, "another change")
	d.Push(endDrain("held back"))
	d.Forget(drainedServer, "own")
	d.Push(endDrain("end"))
	require.Equal(t, []any{drain{1, false}}, appliedDrains(queue))
}

// A snapshot stands for the changes that it includes: it decides on the drain if it includes the drain's change, and only then.
func TestSnapshotDecidesOnLocalDrain(t *testing.T) {
	for _, test := range []struct {
		included []storestate.Change // in the snapshot
		want     []any               // effects of the snapshot, and of the end of a drain in the log after it
	}{
		{[]storestate.Change{startDrain("old"), endDrain("old end")}, nil},
		{[]storestate.Change{startDrain("own")}, []any{drain{1, false}}},
		{[]storestate.Change{startDrain("own"), endDrain("later")}, []any{drain{1, false}, drain{1, false}}},
	} {
		queue := applier.NewQueue()
		d := applier.NewLocalDrains(queue)
		d.Begin(drainedServer, "own")
		snapshot := storestate.New()
		for _, c := range test.included {
			snapshot.Apply(c)
		}
		d.StateReplaced(snapshot)
		d.Push(endDrain("in the log"))
		require.Equal(t, test.want, appliedDrains(queue))
	}
}
