package store

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/replica"
)

// told keeps what a member tells of drains, in order.
type told struct {
	mu   sync.Mutex
	last map[string]replica.Kind
}

func (t *told) fact(c replica.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Kind == replica.SetDrain || c.Kind == replica.EndDrain {
		t.last[c.Name] = c.Kind
	}
}

func (t *told) of(name string) replica.Kind {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last[name]
}

// A member that comes back applies its log while the proxy around it is still starting. The end of a drain it applies
// then is told: the proxy had kept the drain from before, and held it for good when the end was passed over untold.
func TestFactsFromTheStart(t *testing.T) {
	c := newCluster(t, "a")
	eventually(t, func() bool { // its election may take longer than a call waits, on a loaded machine
		_, err := c.members["a"].Do(replica.Change{Kind: replica.SetDrain, Name: "s-1"})
		return err == nil
	}, "a leader, and the drain")
	_, err := c.members["a"].Do(replica.Change{Kind: replica.EndDrain, Name: "s-1"})
	require.NoError(t, err)
	c.members["a"].Kill()

	heard := &told{last: map[string]replica.Kind{}}
	back := c.open("a", Options{Facts: heard.fact})
	eventually(t, func() bool { return heard.of("s-1") == replica.EndDrain }, "the end of the drain, told")
	var held bool
	require.NoError(t, back.Read(false, func(s *replica.State) { _, held = s.Drains["s-1"] }))
	require.False(t, held)
}

// A member far behind is given a snapshot in place of the entries: a drain it held and the snapshot does not is told
// as ended.
func TestSnapshotEndsDrain(t *testing.T) {
	heard := &told{last: map[string]replica.Kind{}}
	f := &fsm{state: replica.New(), facts: heard.fact}
	raw, err := replica.Encode(replica.Change{ID: "1", Kind: replica.SetDrain, Name: "s-1"})
	require.NoError(t, err)
	require.Equal(t, replica.OK, f.Apply(&raft.Log{Index: 1, Data: raw}).(replica.Result).Verdict)
	require.Equal(t, replica.SetDrain, heard.of("s-1"))

	later, err := replica.Encode(replica.New())
	require.NoError(t, err)
	require.NoError(t, f.Restore(io.NopCloser(bytes.NewReader(later))))
	require.Equal(t, replica.EndDrain, heard.of("s-1"))
}

// A change that comes again, as its proposer did not hear of the first, has no second effect, and is not told again: a
// drain that was ended in between came back in the proxies, and in no state.
func TestToldOnce(t *testing.T) {
	heard := &told{last: map[string]replica.Kind{}}
	f := &fsm{state: replica.New(), facts: heard.fact}
	for i, c := range []replica.Change{
		{ID: "1", Kind: replica.SetDrain, Name: "s-1"}, {ID: "2", Kind: replica.EndDrain, Name: "s-1"}, {ID: "1", Kind: replica.SetDrain, Name: "s-1"},
	} {
		raw, err := replica.Encode(c)
		require.NoError(t, err)
		require.Equal(t, replica.OK, f.Apply(&raft.Log{Index: uint64(i + 1), Data: raw}).(replica.Result).Verdict)
	}
	require.Empty(t, f.state.Drains)
	require.Equal(t, replica.EndDrain, heard.of("s-1"))
}

// follower keeps the index under which each fact was told.
type follower struct {
	state *replica.State
	told  map[string]uint64
}

func (f *follower) Replaced(s *replica.State) { f.state = s }

func (f *follower) Applied(index uint64, c replica.Change, r replica.Revision) {
	switch c.Kind {
	case replica.EndDrain:
		delete(f.told, replica.Fact(replica.SetDrain, c.Name))
	case replica.SetPurge:
		f.told[replica.Fact(c.Kind, c.Purge.Object)] = index
	default:
		f.told[replica.Fact(c.Kind, c.Name)] = index
	}
}

// Whoever follows is told the state and then each change with its index; a state that went through a snapshot still knows
// the index of all that it holds.
func TestFollow(t *testing.T) {
	s := &Store{fsm: &fsm{state: replica.New()}}
	f := &follower{told: map[string]uint64{}}
	s.Follow(f)
	for i, c := range []replica.Change{
		{Kind: replica.SetDrain, Name: "s-1"}, {Kind: replica.SetDrain, Name: "s-2"}, {Kind: replica.EndDrain, Name: "s-1"},
		{Kind: replica.SetList, Name: "l", List: &replica.List{Generation: 2}}, {Kind: replica.SetList, Name: "l", List: &replica.List{Generation: 1}},
		{Kind: replica.SetConfig, Text: "x"}, {Kind: replica.SetPurge, Until: 9000, Purge: &replica.Purge{Object: "o", Made: 1}},
		{Kind: replica.SetPurge, Until: 10, Purge: &replica.Purge{Object: "over", Made: 1}},
	} {
		c.At = 1000
		raw, err := replica.Encode(c)
		require.NoError(t, err)
		s.fsm.Apply(&raft.Log{Index: uint64(i + 5), Data: raw})
	}
	require.Equal(t, uint64(12), f.told["purge over"], "told, and over at once")
	delete(f.told, "purge over")
	require.Equal(t, map[string]uint64{"drain s-2": 6, "list l": 8, "config": 10, "purge o": 11}, f.told)
	raw, err := replica.Encode(s.fsm.state)
	require.NoError(t, err)
	require.NoError(t, s.fsm.Restore(io.NopCloser(bytes.NewReader(raw))))
	require.Equal(t, f.told, f.state.Indexes)
}
