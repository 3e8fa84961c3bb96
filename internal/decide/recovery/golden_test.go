package recovery_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/golden"
)

func goldenList() *recovery.List {
	return &recovery.List{Source: "board", Generation: 12, Servers: []serverlist.Server{
		{
			ID: 1, Host: "cache1.example.org", Port: 4100, Addr: "127.0.0.1:4100", Zone: "east", Kind: "small", Cell: 2, Draining: true,
			Weight: 4.5, StartedMs: 1e12, Warm: true,
		},
		{ID: 2, Host: "127.0.0.2", Port: 4100},
	}}
}

func goldenMember() *recovery.Member {
	return &recovery.Member{
		ID: 7, Addr: "127.0.0.7:4100", Zone: 1, Kind: 2, Cell: 3, Weight: 4.5, Started: 1e12, Phase: membership.Draining, Since: 1e12 + 5,
	}
}

// goldenEvents returns events of each kind by golden file: with all fields set, and with the optional ones left out.
func goldenEvents() map[string]recovery.Event {
	return map[string]recovery.Event{
		"event-purge-object.cbor":     {At: 1e12, Purge: &recovery.Purge{Object: "o", IssuedAt: 1e12 - 10.5, NotifiedAt: 1e12}},
		"event-purge-group.cbor":      {At: 1e12, Purge: &recovery.Purge{Group: 5, IssuedAt: 1e12 - 10, NotifiedAt: 1e12}},
		"event-member.cbor":           {At: 1e12, Member: goldenMember()},
		"event-member-least.cbor":     {At: 1e12, Member: &recovery.Member{ID: 8, Addr: "x", Phase: membership.Gone, Since: 1e12}},
		"event-list.cbor":             {At: 1e12, List: goldenList()},
		"event-list-empty.cbor":       {At: 1e12, List: &recovery.List{Source: "f", Generation: 1}},
		"event-revision.cbor":         {At: 1e12, Revision: 9},
		"event-boot.cbor":             {At: 1e12, Boot: true, Epoch: 9e11, Shift: -3600000},
		"event-boot-least.cbor":       {At: 1e12, Boot: true},
		"event-manual-drain-on.cbor":  {At: 1e12, ManualDrain: &recovery.ManualDrain{ID: 9, Active: true}},
		"event-manual-drain-off.cbor": {At: 1e12, ManualDrain: &recovery.ManualDrain{ID: 9}},
	}
}

func TestGoldenEvents(t *testing.T) {
	for name, e := range goldenEvents() {
		raw, err := e.Encode()
		require.NoError(t, err)
		golden.Equal(t, name, raw)
		decoded, err := recovery.DecodeEvent(golden.Read(t, name))
		require.NoError(t, err)
		require.Equal(t, e, decoded, name)
	}
}

// goldenState returns the state after a boot and all golden events but the boots and the end of the manual drain. The order of the
// events does not matter.
func goldenState() *recovery.State {
	s := recovery.NewState()
	s.Apply(recovery.Event{At: 1e12, Boot: true, Epoch: 9e11})
	for name, e := range goldenEvents() {
		if !e.Boot && name != "event-manual-drain-off.cbor" {
			s.Apply(e)
		}
	}
	return s
}

func TestGoldenState(t *testing.T) {
	for name, s := range map[string]*recovery.State{"state.cbor": goldenState(), "state-empty.cbor": recovery.NewState()} {
		raw, err := s.Encode()
		require.NoError(t, err)
		golden.Equal(t, name, raw)
		decoded, err := recovery.DecodeState(golden.Read(t, name))
		require.NoError(t, err)
		require.Equal(t, s.Plan(1e12, settings), decoded.Plan(1e12, settings))
		require.Equal(t, [3]any{s.LatestTime, s.Epoch, s.Revision}, [3]any{decoded.LatestTime, decoded.Epoch, decoded.Revision})
		reencoded, err := decoded.Encode()
		require.NoError(t, err)
		golden.Equal(t, name, reencoded)
	}
}

// TestGoldenJSON covers the parts of a state that "state show --json" prints.
func TestGoldenJSON(t *testing.T) {
	s := goldenState()
	for name, v := range map[string]any{"purges.json": s.Purges(), "members.json": s.Members(), "lists.json": s.Lists()} {
		raw, err := json.MarshalIndent(v, "", "  ")
		require.NoError(t, err)
		golden.Equal(t, name, raw)
	}
}
