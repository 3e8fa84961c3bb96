package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

// Two pairs of processes that started separately, because the seed that they share was not running, become one fleet once the seed
// runs, because each process goes on joining the seeds that are not members.
func TestSeparateGroupsMerge(t *testing.T) {
	clk, dir := clock.Manual(1e12), t.TempDir()
	require.NoError(t, store.CreateAuthority(dir, "th"))
	peersByName := map[string]*Peers{}
	start := func(name, listen string, seeds ...string) string {
		require.NoError(t, store.IssueCertificate(dir, name))
		id, err := store.LoadIdentity(dir, name)
		require.NoError(t, err)
		p, err := Start(Options{
			Name: name, Listen: listen, Seeds: seeds, Zone: "z", DigestInterval: 1000, Identity: id, Clock: clk,
			Totals:  func() (uint64, map[policy.ServerID]fleetview.Totals) { return 0, nil },
			Objects: func() []uint64 { return nil },
		})
		require.NoError(t, err)
		t.Cleanup(p.Close)
		peersByName[name] = p
		return p.address()
	}
	expectMembers := func(name string, n int) {
		t.Helper()
		require.Eventually(t, func() bool { return peersByName[name].memberlist.NumMembers() == n }, time.Minute, 5*time.Millisecond, "%s must have %d members", name, n)
	}
	a := start("a", "127.0.0.1:0")
	c := start("c", "127.0.0.1:0")
	peersByName["c"].Close() // b and d know its address as a seed, but no process listens there yet
	start("b", "127.0.0.1:0", a, c)
	expectMembers("b", 2)
	start("c", c)
	start("d", "127.0.0.1:0", c)
	expectMembers("d", 2)
	clk.Advance(1.5 * rejoinInterval)
	for name := range peersByName {
		expectMembers(name, 4)
	}
}
