package store

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/storestate"
)

// told keeps what a member tells of drains, in order.
type told struct {
	mu   sync.Mutex
	last map[string]storestate.Kind
}

func (t *told) fact(c storestate.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Kind == storestate.StartDrain || c.Kind == storestate.EndDrain {
		t.last[c.Name] = c.Kind
	}
}

func (t *told) of(name string) storestate.Kind {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last[name]
}

// A member that comes back applies its log while the proxy around it is still starting. The end of a drain it applies
// then is told: the proxy had kept the drain from before, and held it for good when the end was passed over untold.
func TestFactsFromTheStart(t *testing.T) {
	c := newCluster(t, "a")
	eventually(t, func() bool { // its election may take longer than a call waits, on a loaded machine
		_, err := c.members["a"].Propose(storestate.Change{Kind: storestate.StartDrain, Name: "s-1"})
		return err == nil
	}, "a leader, and the drain")
	_, err := c.members["a"].Propose(storestate.Change{Kind: storestate.EndDrain, Name: "s-1"})
	require.NoError(t, err)
	c.members["a"].Kill()

	heard := &told{last: map[string]storestate.Kind{}}
	back := c.open("a", Options{OnFact: heard.fact})
	eventually(t, func() bool { return heard.of("s-1") == storestate.EndDrain }, "the end of the drain, told")
	var held bool
	require.NoError(t, back.Read(false, func(s *storestate.State) { _, held = s.Drains["s-1"] }))
	require.False(t, held)
}

// A member far behind is given a snapshot in place of the entries: a drain it held and the snapshot does not is told
// as ended.
func TestSnapshotEndsDrain(t *testing.T) {
	heard := &told{last: map[string]storestate.Kind{}}
	f := &fsm{state: storestate.New(), onFact: heard.fact}
	raw, err := storestate.Encode(storestate.Change{ID: "1", Kind: storestate.StartDrain, Name: "s-1"})
	require.NoError(t, err)
	require.Equal(t, storestate.OK, f.Apply(&raft.Log{Index: 1, Data: raw}).(storestate.Result).Verdict)
	require.Equal(t, storestate.StartDrain, heard.of("s-1"))

	later, err := storestate.Encode(storestate.New())
	require.NoError(t, err)
	require.NoError(t, f.Restore(io.NopCloser(bytes.NewReader(later))))
	require.Equal(t, storestate.EndDrain, heard.of("s-1"))
}

// A change that comes again, as its proposer did not hear of the first, has no second effect, and is not told again: a
// drain that was ended in between came back in the proxies, and in no state.
func TestToldOnce(t *testing.T) {
	heard := &told{last: map[string]storestate.Kind{}}
	f := &fsm{state: storestate.New(), onFact: heard.fact}
	for i, c := range []storestate.Change{
		{ID: "1", Kind: storestate.StartDrain, Name: "s-1"}, {ID: "2", Kind: storestate.EndDrain, Name: "s-1"}, {ID: "1", Kind: storestate.StartDrain, Name: "s-1"},
	} {
		raw, err := storestate.Encode(c)
		require.NoError(t, err)
		require.Equal(t, storestate.OK, f.Apply(&raft.Log{Index: uint64(i + 1), Data: raw}).(storestate.Result).Verdict)
	}
	require.Empty(t, f.state.Drains)
	require.Equal(t, storestate.EndDrain, heard.of("s-1"))
}

// follower keeps the index under which each fact was told.
type follower struct {
	state *storestate.State
	told  map[string]uint64
}

func (f *follower) StateReplaced(s *storestate.State) { f.state = s }

func (f *follower) ChangeApplied(index uint64, c storestate.Change, r storestate.Revision) {
	switch c.Kind {
	case storestate.EndDrain:
		delete(f.told, storestate.FactKey(storestate.StartDrain, c.Name))
	case storestate.AddPurge:
		f.told[storestate.FactKey(c.Kind, c.Purge.Object)] = index
	default:
		f.told[storestate.FactKey(c.Kind, c.Name)] = index
	}
}

// Whoever follows is told the state and then each change with its index; a state that went through a snapshot still knows
// the index of all that it holds.
func TestFollow(t *testing.T) {
	s := &Store{fsm: &fsm{state: storestate.New()}}
	f := &follower{told: map[string]uint64{}}
	s.Observe(f)
	for i, c := range []storestate.Change{
		{Kind: storestate.StartDrain, Name: "s-1"}, {Kind: storestate.StartDrain, Name: "s-2"}, {Kind: storestate.EndDrain, Name: "s-1"},
		{Kind: storestate.SetList, Name: "l", List: &storestate.List{Generation: 2}}, {Kind: storestate.SetList, Name: "l", List: &storestate.List{Generation: 1}},
		{Kind: storestate.SetConfig, Text: "x"}, {Kind: storestate.AddPurge, ExpiresAt: 9000, Purge: &storestate.Purge{Object: "o", IssuedAt: 1}},
		{Kind: storestate.AddPurge, ExpiresAt: 10, Purge: &storestate.Purge{Object: "over", IssuedAt: 1}},
	} {
		c.ProposedAt = 1000
		raw, err := storestate.Encode(c)
		require.NoError(t, err)
		s.fsm.Apply(&raft.Log{Index: uint64(i + 5), Data: raw})
	}
	require.Equal(t, uint64(12), f.told["purge over"], "told, and over at once")
	delete(f.told, "purge over")
	require.Equal(t, map[string]uint64{"drain s-2": 6, "list l": 8, "config": 10, "purge o": 11}, f.told)
	raw, err := storestate.Encode(s.fsm.state)
	require.NoError(t, err)
	require.NoError(t, s.fsm.Restore(io.NopCloser(bytes.NewReader(raw))))
	require.Equal(t, f.told, f.state.FactIndexes)
}
