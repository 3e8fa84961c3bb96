package storestate_test

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/golden"
)

func goldenKey() *storestate.Key { return &storestate.Key{Alg: "HS256", Data: []byte("secret")} }

func goldenList() *storestate.List {
	return &storestate.List{Generation: 12, Servers: []serverlist.Server{{
		ID: 1, Host: "cache1.example.org", Port: 4100, Addr: "127.0.0.1:4100", Zone: "east", Kind: "small", Cell: 2, Draining: true,
		Weight: 4.5, StartedMs: 1e12, Warm: true,
	}, {ID: 2, Host: "127.0.0.2", Port: 4100}}}
}

type goldenEntry struct {
	name   string
	change storestate.Change
}

// goldenChanges returns changes of each kind, one with all fields set and one with none.
func goldenChanges() []goldenEntry {
	return []goldenEntry{
		{"change-spend.cbor", storestate.Change{ID: "id-1", ProposedAt: 1e12, Kind: storestate.RedeemToken, Name: "jti", ExpiresAt: 1e12 + 9000.5}},
		{"change-put-key.cbor", storestate.Change{ID: "id-2", ProposedAt: 1e12, Kind: storestate.PutKey, Name: "kid", Key: goldenKey()}},
		{"change-drop-key.cbor", storestate.Change{ID: "id-3", ProposedAt: 1e12, Kind: storestate.DeleteKey, Name: "other"}},
		{"change-revoke.cbor", storestate.Change{ID: "id-4", ProposedAt: 1e12, Kind: storestate.RevokeToken, Name: "jti", ExpiresAt: 1e12 + 9000}},
		{"change-set-config.cbor", storestate.Change{ID: "id-5", ProposedAt: 1e12, Kind: storestate.SetConfig, Text: "{}", Author: "ops"}},
		{"change-set-config-next.cbor", storestate.Change{ID: "id-6", ProposedAt: 1e12, Kind: storestate.SetConfig, BaseRevision: 1, Text: "{ }"}},
		{"change-set-config-back.cbor", storestate.Change{ID: "id-7", ProposedAt: 1e12, Kind: storestate.SetConfig, BaseRevision: 2, Text: "{}", Author: "ops"}},
		{"change-set-list.cbor", storestate.Change{ID: "id-8", ProposedAt: 1e12, Kind: storestate.SetList, Name: "main", List: goldenList()}},
		{"change-set-drain.cbor", storestate.Change{ID: "id-9", ProposedAt: 1e12, Kind: storestate.StartDrain, Name: "s-00000001"}},
		{"change-end-drain.cbor", storestate.Change{ID: "id-10", ProposedAt: 1e12, Kind: storestate.EndDrain, Name: "s-00000002"}},
		{"change-set-purge-object.cbor", storestate.Change{
			ID: "id-11", ProposedAt: 1e12, Kind: storestate.AddPurge, ExpiresAt: 1e12 + 9000,
			Purge: &storestate.Purge{Object: "o", IssuedAt: 1e12 - 5, ExpiresAt: 1e12},
		}},
		{"change-set-purge-group.cbor", storestate.Change{
			ID: "id-12", ProposedAt: 1e12, Kind: storestate.AddPurge, ExpiresAt: 1e12 + 9000, Purge: &storestate.Purge{Group: 3, IssuedAt: 1e12},
		}},
		{"change-stale-list.cbor", storestate.Change{
			ID: "id-13", ProposedAt: 1e12, Kind: storestate.SetList, Name: "main", List: &storestate.List{Generation: 1},
		}},
		{"change-full.cbor", storestate.Change{
			ID: "id-14", ProposedAt: 1e12, Kind: storestate.StartDrain, Name: "s-00000003", ExpiresAt: 1e12 + 1,
			Key: goldenKey(), BaseRevision: 4, Text: "t", Author: "b",
			List: goldenList(), Purge: &storestate.Purge{Object: "o", Group: 1, IssuedAt: 1e12, ExpiresAt: 1e12 + 2},
		}},
		{"change-least.cbor", storestate.Change{}},
	}
}

// Each change is encoded as its golden file, and decoded from it.
func TestGoldenChanges(t *testing.T) {
	for _, e := range goldenChanges() {
		raw, err := storestate.Encode(e.change)
		require.NoError(t, err)
		golden.Equal(t, e.name, raw)
		read, err := storestate.DecodeChange(golden.Read(t, e.name))
		require.NoError(t, err)
		require.Equal(t, e.change, read, e.name)
	}
}

// goldenState returns the state after all golden changes.
func goldenState() *storestate.State {
	s := storestate.New()
	for i, e := range goldenChanges() {
		s.AppliedIndex = uint64(i + 10)
		s.Apply(e.change)
	}
	return s
}

// A state is encoded as its golden file. Decoded from it, it has the same results of changes and the same encoding.
func TestGoldenState(t *testing.T) {
	for name, s := range map[string]*storestate.State{"state.cbor": goldenState(), "state-empty.cbor": storestate.New()} {
		raw, err := storestate.Encode(s)
		require.NoError(t, err)
		golden.Equal(t, name, raw)
		read, err := storestate.DecodeState(golden.Read(t, name))
		require.NoError(t, err)
		for _, e := range goldenChanges() {
			require.Equal(t, s.HasApplied(e.change.ID), read.HasApplied(e.change.ID))
		}
		again, err := storestate.Encode(read)
		require.NoError(t, err)
		golden.Equal(t, name, again)
	}
}

// A result is encoded as its golden file, and decoded from it without the format version: a leader does not send that to the member
// that proposed the change.
func TestGoldenResults(t *testing.T) {
	for name, r := range map[string]storestate.Result{
		"result-ok.cbor":       {},
		"result-conflict.cbor": {Verdict: storestate.Conflict, Revision: 7},
		"result-invalid.cbor":  {Verdict: storestate.Invalid},
	} {
		raw, err := storestate.Encode(r)
		require.NoError(t, err)
		golden.Equal(t, name, raw)
		var read storestate.Result
		require.NoError(t, cbor.Unmarshal(golden.Read(t, name)[1:], &read))
		require.Equal(t, r, read)
	}
}

// TestGoldenJSON covers the parts of a state that the admin interface shows.
func TestGoldenJSON(t *testing.T) {
	s := goldenState()
	for name, v := range map[string]any{
		"keys.json": s.Keys, "lists.json": s.Lists, "purges.json": s.Purges, "config.json": s.Revisions,
		"revision-empty.json": storestate.Revision{}, "purge-empty.json": storestate.Purge{},
	} {
		raw, err := json.MarshalIndent(v, "", "  ")
		require.NoError(t, err)
		golden.Equal(t, name, raw)
	}
}
