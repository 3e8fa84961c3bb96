package hollow

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func read(t *testing.T, name string) Spec {
	t.Helper()
	path := filepath.Join("../../../lab/scale", name)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	s, bad := Parse(path, text)
	require.NoError(t, bad.Err())
	return s
}

func play(t *testing.T, s Spec, direct, loop bool) *Result {
	t.Helper()
	r, err := Play(context.Background(), s, s.Processes[0], direct, loop)
	require.NoError(t, err)
	return r
}

// Every fault on a small fleet: no committed purge, list, drain or revision is missed, all come in order and once, nobody is
// behind its bound without saying so, the last process is in time, and bytes stay bounded in each phase.
func TestEveryFault(t *testing.T) {
	s := read(t, "small.jsonc")
	r := play(t, s, false, false)
	t.Logf("%s", summary(r))
	require.Zero(t, r.Broken, "%v", r.Rules)
	require.Len(t, r.Healed, len(s.Faults))
}

func summary(r *Result) string {
	x := *r
	x.Spec, x.Phases = Spec{}, nil
	raw, _ := json.Marshal(x)
	return string(raw)
}

// tiny is the smallest fleet for a moment, with a fault of most kinds.
func tiny() Spec {
	s := Usual()
	s.Name, s.Seconds, s.Settle, s.Processes, s.BatchMs, s.Whole = "tiny", 12, 10, []int{90}, 50, 3
	s.Faults = []Fault{
		{At: 1, For: 3, Kind: "kill", Count: 1}, {At: 2, For: 2, Kind: "leader"}, {At: 5, For: 3, Kind: "cut", Region: 1},
		{At: 9, Kind: "restart", Share: 0.5}, {At: 10, For: 1, Kind: "loss", Size: 0.1},
	}
	return s
}

// virtual is a result without what is measured in real time.
func virtual(r *Result) *Result {
	x := *r
	x.Processor, x.Wall, x.HeapMB, x.Harness, x.PerRole = 0, 0, 0, 0, nil
	for _, c := range r.PerRole {
		c.MicrosCall, c.Percent, c.HeapMB, c.LightMB = 0, 0, 0, 0
		x.PerRole = append(x.PerRole, c)
	}
	return &x
}

// One seed gives one run to the byte, another gives another, and the loop with empty machines is the same loop.
func TestDeterministic(t *testing.T) {
	s := tiny()
	one, err := json.Marshal(virtual(play(t, s, false, false)))
	require.NoError(t, err)
	two, err := json.Marshal(virtual(play(t, s, false, false)))
	require.NoError(t, err)
	require.JSONEq(t, string(one), string(two))
	s.Seed = 2
	other, err := json.Marshal(virtual(play(t, s, false, false)))
	require.NoError(t, err)
	require.NotEqual(t, string(one), string(other))
}

// The loop with empty machines has the same events as that with the machines, and brings the same entries at the same times.
func TestEmptyMachines(t *testing.T) {
	s := tiny()
	for _, direct := range []bool{false, true} {
		w := newWorld(s, 90, direct)
		w.tape = &tape{}
		require.NoError(t, w.run(context.Background()))
		e := newWorld(s, 90, false)
		e.way = &empty{w: e, tape: w.tape}
		require.NoError(t, e.run(context.Background()))
		require.Equal(t, w.done, e.done)
		require.Equal(t, w.handshakes, e.handshakes)
		require.Equal(t, w.everywhere(purges), e.everywhere(purges))
		for i, p := range w.processes {
			require.Equal(t, p.in, e.processes[i].in, p.name)
			require.Equal(t, p.out, e.processes[i].out, p.name)
		}
	}
}

// Today's way brings everything everywhere too; what its leader sends grows with the processes, and the levels' does not.
func TestDirect(t *testing.T) {
	s := tiny()
	s.Faults = nil
	most := func(n int, direct bool) float64 {
		r, err := Play(context.Background(), s, n, direct, false)
		require.NoError(t, err)
		require.Zero(t, r.Broken, "%v", r.Rules)
		require.Equal(t, r.Entries[0]+r.Entries[1], int(r.Each[0].Count+r.Each[1].Count)/(n-s.Voters), "all entries reach all processes")
		return r.row().StoreKB
	}
	require.InEpsilon(t, 3, most(270, true)/most(90, true), 0.2)
	require.Less(t, most(270, false)/most(90, false), 1.5)
}

// A follower of today's way keeps what it has on its disk, and a killed leader's place is taken.
func TestDirectFaults(t *testing.T) {
	r := play(t, tiny(), true, false)
	require.Zero(t, r.Broken, "%v", r.Rules)
	for _, b := range r.Beyond {
		require.NotContains(t, b, "lack", "all that was committed is everywhere by the end")
	}
}

// The real transport's bytes: an entry costs something beside its data, and an answer less than a request.
func TestRaftSizes(t *testing.T) {
	s := measureRaft()
	require.Greater(t, s.request, 50)
	require.Greater(t, s.entry, 20)
	require.Greater(t, s.answer, 20)
	require.Less(t, s.answer, s.request+s.entry)
}

// The page names both ways and draws what grows.
func TestPage(t *testing.T) {
	s := tiny()
	s.Faults = s.Faults[:1]
	var runs []*Result
	for _, n := range []int{70, 100} {
		for _, direct := range []bool{false, true} {
			r, err := Play(context.Background(), s, n, direct, false)
			require.NoError(t, err)
			runs = append(runs, r)
		}
	}
	var out strings.Builder
	require.NoError(t, WritePage(&out, "tiny", runs))
	require.Equal(t, 5, strings.Count(out.String(), "<svg"))
	require.Contains(t, out.String(), "direct, 100 processes")
	require.Error(t, WritePage(&out, "none", nil))
}

// Of two events at one instant the one asked for first comes first, and time never goes back.
func TestQueue(t *testing.T) {
	q := &queue{}
	rng := stream(1, "q")
	var got []int
	for i := range 3000 {
		at := rng.IntN(50)
		q.push(event{at: float64(at), kind: atCall, call: func() { got = append(got, at*10_000+i) }})
	}
	for e, ok := q.next(); ok; e, ok = q.next() {
		e.call()
	}
	require.Len(t, got, 3000)
	require.True(t, slices.IsSorted(got))
}

// A slow process reads in order, and all that waits at once when it is slow no more.
func TestSlow(t *testing.T) {
	s := tiny()
	s.Faults = []Fault{{At: 1, For: 8, Kind: "slow", Count: 2, Size: 1}}
	r := play(t, s, false, false)
	require.Zero(t, r.Broken, "%v", r.Rules)
	require.Greater(t, r.HeldShare, 0.0, "those that read slowly say that they are behind")
}
