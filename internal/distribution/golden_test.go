package distribution

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	decider "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/golden"
)

const goldenTime = 1_780_000_000_000 // Unix ms

func goldenList() storestate.List {
	return storestate.List{Generation: 77, Servers: []serverlist.Server{
		{ID: 7, Host: "cache-7.example", Port: 8080, Addr: "cache-7.example:8080", Zone: "zone-1", Kind: "edge", Cell: 3, Draining: true,
			Weight: 1.5, StartedMs: goldenTime, Warm: true},
		{ID: 8, Host: "cache-8.example"},
	}}
}

func goldenRevision() storestate.Revision {
	return storestate.Revision{Number: 12, CreatedAt: goldenTime + 0.5, Author: "operator", Text: `{"limits": {}}`, RollbackOf: 9}
}

// goldenChanges returns changes of every kind that is distributed.
func goldenChanges() []storestate.Change {
	list := goldenList()
	return []storestate.Change{
		{
			ID: "1", Kind: storestate.AddPurge, ExpiresAt: goldenTime + 3_600_000,
			Purge: &storestate.Purge{Object: "/a/b.webp", IssuedAt: goldenTime - 1.5, ExpiresAt: goldenTime + 3_600_000},
		},
		{ID: "2", Kind: storestate.AddPurge, Purge: &storestate.Purge{Group: 17, IssuedAt: goldenTime}},
		{ID: "3", Kind: storestate.StartDrain, Name: "cache-7", ProposedAt: goldenTime + 0.25},
		{ID: "4", Kind: storestate.EndDrain, Name: "cache-7", ProposedAt: goldenTime + 1},
		{ID: "5", Kind: storestate.SetList, Name: "source-1", List: &list},
		{ID: "6", Kind: storestate.SetConfig, Text: goldenRevision().Text},
	}
}

// encodeEntries returns entries as they are sent.
func encodeEntries(entries []decider.Entry) []byte {
	return decider.Encode(decider.Batch{
		Stream: decider.Purges, Epoch: 1, Through: 1000, Watermark: decider.Watermark{Sequence: 1000, At: goldenTime}, Entries: entries,
	}).Bytes
}

// readGoldenEntries decodes the entries of a golden file, which an earlier version has encoded.
func readGoldenEntries(t *testing.T, name string) []decider.Entry {
	t.Helper()
	message, err := decider.Decode(golden.Read(t, name))
	require.NoError(t, err)
	return message.(decider.Batch).Entries
}

// A change of the store must be encoded to the same bytes as by earlier versions, and their entries must be applied as the same change.
func TestGoldenChanges(t *testing.T) {
	var entries []decider.Entry
	for i, change := range goldenChanges() {
		_, entry, err := entryOf(uint64(i)+100, change, goldenRevision())
		require.NoError(t, err)
		entries = append(entries, entry)
	}
	golden.Equal(t, "changes.bin", encodeEntries(entries))

	var changes []storestate.Change
	var revisions []storestate.Revision
	applier := newEntryApplier(&Options{
		ApplyChange:   func(c storestate.Change) { changes = append(changes, c) },
		ApplyRevision: func(r storestate.Revision) { revisions = append(revisions, r) },
	})
	for _, entry := range readGoldenEntries(t, "changes.bin") {
		require.NoError(t, applier.apply(entry))
	}
	require.Equal(t, []storestate.Revision{goldenRevision()}, revisions)
	list := goldenList()
	require.Equal(t, []storestate.Change{
		{Kind: storestate.AddPurge, ProposedAt: goldenTime - 1, ExpiresAt: goldenTime + 3_600_000,
			Purge: &storestate.Purge{Object: "/a/b.webp", IssuedAt: goldenTime - 1, ExpiresAt: goldenTime + 3_600_000}},
		{Kind: storestate.AddPurge, ProposedAt: goldenTime, ExpiresAt: 1, Purge: &storestate.Purge{Group: 17, IssuedAt: goldenTime, ExpiresAt: 1}},
		{Kind: storestate.StartDrain, Name: "cache-7", ProposedAt: goldenTime + 1},
		{Kind: storestate.EndDrain, Name: "cache-7"},
		{Kind: storestate.SetList, Name: "source-1", List: &list},
	}, changes)
}

// The entries of a state of the store must be encoded to the same bytes as by earlier versions, and be decoded to the same entries.
func TestGoldenState(t *testing.T) {
	state := storestate.New()
	state.AppliedIndex = 500
	state.Purges["/a/b.webp"] = storestate.Purge{Object: "/a/b.webp", IssuedAt: goldenTime - 1.5, ExpiresAt: goldenTime + 3_600_000}
	state.Purges["group 17"] = storestate.Purge{Group: 17, IssuedAt: goldenTime, ExpiresAt: goldenTime + 1}
	state.Revisions = []storestate.Revision{{Number: 11, Text: "{}"}, goldenRevision()}
	state.Lists["source-1"] = goldenList()
	state.Drains["cache-7"] = goldenTime + 0.25
	state.FactIndexes = map[string]uint64{
		storestate.FactKey(storestate.AddPurge, "/a/b.webp"): 5, storestate.FactKey(storestate.AddPurge, "group 17"): 3, storestate.FactKey(storestate.SetConfig, ""): 30,
		storestate.FactKey(storestate.SetList, "source-1"): 20, storestate.FactKey(storestate.StartDrain, "cache-7"): 25,
	}
	entriesByStream, err := snapshotEntries(state)
	require.NoError(t, err)
	for name, entries := range map[string][]decider.Entry{
		"state_purges.bin": entriesByStream[decider.Purges], "state_configuration.bin": entriesByStream[decider.Configuration],
	} {
		golden.Equal(t, name, encodeEntries(entries))
		require.Equal(t, entries, readGoldenEntries(t, name))
	}
}

// The status that operators are shown must keep its JSON keys.
func TestGoldenStatus(t *testing.T) {
	for name, status := range map[string]Status{
		"status.json": {Stream: "purges", Epoch: 12, Sequence: 900, WatermarkMs: goldenTime, LagMs: 751.5, Parent: "d1", Root: true, Restricted: true,
			Subscribers: 75, Entries: 400, Backlog: 300, QueuedBytes: 4096},
		"status_empty.json": {},
	} {
		raw, err := json.MarshalIndent(status, "", "  ")
		require.NoError(t, err)
		golden.Equal(t, name, raw)
		var decoded Status
		require.NoError(t, json.Unmarshal(golden.Read(t, name), &decoded))
		require.Equal(t, status, decoded)
	}
	require.Equal(t, map[decider.Stream]string{1: "purges", 2: "configuration"}, streamNames)
}
