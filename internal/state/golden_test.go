package state_test

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/golden"
	"ravenwheel/internal/journal"
	"ravenwheel/internal/state"
	"ravenwheel/policy"
)

// writeState writes a snapshot, and records of all kinds of events after it, to a directory.
func writeState(t *testing.T, dir string) {
	clk := clock.Manual(1e12)
	o := options(nil, clk)
	o.Dir = dir
	recorder, _, err := state.Open(o)
	require.NoError(t, err)
	list := &serverlist.List{Generation: 3, Servers: []serverlist.Server{
		{ID: 1, Host: "h1", Port: 4100, Zone: "east"}, {ID: 2, Host: "h2", Port: 4100},
	}}
	require.NoError(t, recorder.RecordList("file", list))
	recorder.RecordPublish(published(1, policy.Ready))
	recorder.RecordPublish(published(2, policy.Draining))
	recorder.RecordRevision(4)
	require.NoError(t, recorder.RecordPurge(recovery.Purge{Object: "before", IssuedAt: 1e12 - 5, NotifiedAt: 1e12}))
	require.NoError(t, recorder.RecordManualDrain(9, true))
	recorder.Compact()
	clk.Advance(100)
	recorder.RecordPublish(published(3, policy.Gone))
	recorder.RecordRevision(5)
	list.Generation = 4
	require.NoError(t, recorder.RecordList("file", list))
	require.NoError(t, recorder.RecordManualDrain(9, false))
	require.NoError(t, recorder.RecordManualDrain(8, true))
	require.NoError(t, recorder.RecordPurge(recovery.Purge{Group: 6, IssuedAt: clk.Now(), NotifiedAt: clk.Now()}))
	require.NoError(t, recorder.Close())
}

// A state directory written by an earlier version is opened, and everything that it wrote is recovered.
func TestGoldenDirectory(t *testing.T) {
	dir := golden.Directory(t, "directory", func(dir string) { writeState(t, dir) })
	for pattern, minFiles := range map[string]int{"*.snap": 1, "*.log": 2} {
		files, err := filepath.Glob(filepath.Join(dir, pattern))
		require.NoError(t, err)
		require.GreaterOrEqual(t, len(files), minFiles, pattern)
	}
	read, stats, err := state.Read(dir, nil)
	require.NoError(t, err)
	require.NotZero(t, stats.Snapshot)
	require.Greater(t, stats.Next-1, stats.Snapshot, "there are records after the snapshot")
	require.Equal(t, 1e12+100, read.LatestTime)
	require.Equal(t, []recovery.Purge{
		{Object: "before", IssuedAt: 1e12 - 5, NotifiedAt: 1e12}, {Group: 6, IssuedAt: 1e12 + 100, NotifiedAt: 1e12 + 100},
	}, read.Purges())
	require.Equal(t, []recovery.Member{
		{ID: 1, Addr: "a1", Phase: membership.Ready, Since: 1e12}, {ID: 2, Addr: "a2", Phase: membership.Draining, Since: 1e12},
		{ID: 3, Addr: "a3", Phase: membership.Gone, Since: 1e12 + 100},
	}, read.Members())
	o := options(nil, clock.Manual(1e12+200))
	o.Dir = dir
	recorder, plan, err := state.Open(o)
	require.NoError(t, err)
	require.Equal(t, 1, plan.Boots)
	require.EqualValues(t, 5, plan.Revision)
	require.Equal(t, []uint64{8}, plan.ManualDrains)
	require.Len(t, plan.Purges, 2)
	require.Len(t, plan.Members, 3)
	require.Equal(t, []recovery.List{{Source: "file", Generation: 4, Servers: []serverlist.Server{
		{ID: 1, Host: "h1", Port: 4100, Zone: "east"}, {ID: 2, Host: "h2", Port: 4100},
	}}}, plan.Lists)
	require.NoError(t, recorder.RecordPurge(recovery.Purge{Object: "after", IssuedAt: 1e12 + 200, NotifiedAt: 1e12 + 200}))
	require.NoError(t, recorder.Close())
}

func TestGoldenStatus(t *testing.T) {
	raw, err := json.MarshalIndent(state.Status{
		Purges: 1, Members: 2, Lists: 3, Boots: 4, Pending: 5, Dropped: 6, Journal: journal.Stats{Next: 7, Segments: []uint64{1}},
	}, "", "  ")
	require.NoError(t, err)
	golden.Equal(t, "status.json", raw)
}
