package store

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
)

// patience bounds a wait; it is no expectation of speed.
const patience = 60 * time.Second

func eventually(t *testing.T, ok func() bool, what string) {
	t.Helper()
	require.Eventually(t, ok, patience, 5*time.Millisecond, what)
}

// spend tries until a quorum has spoken.
func spend(t *testing.T, s *Store, jti string, until float64) (err error) {
	t.Helper()
	eventually(t, func() bool { err = s.Spend(jti, until); return err != ErrUnavailable }, "a quorum")
	return err
}

func TestOneMemberInMemory(t *testing.T) {
	clk := clock.Manual(1000)
	s, err := Open(Options{Clock: clk})
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, spend(t, s, "a", 2000))
	require.ErrorIs(t, s.Spend("a", 2000), ErrSpent)
	require.NoError(t, s.PutKey("k1", Key{Alg: "HS256", Data: []byte("x")}))
	k, ok := s.Key("k1")
	require.True(t, ok && k.Alg == "HS256")
	require.NoError(t, s.DropKey("k1"))
	_, ok = s.Key("k1")
	require.False(t, ok)
	require.NoError(t, s.SetConfig("site", "th"))
	v, _ := s.Config("site")
	require.Equal(t, "th", v)
	require.NoError(t, s.Revoke("r", 1500))
	require.True(t, s.Revoked("r"))
	clk.Advance(1001) // what can no longer pass is pruned with the next change
	require.NoError(t, s.Spend("b", 3000))
	require.NoError(t, s.Revoke("r2", 3000))
	spent, revoked := s.Held()
	require.Equal(t, [2]int{1, 1}, [2]int{spent, revoked})
}

// spendNew spends a new id. One whose try got no quorum may still be spent later, so each try has its own.
func spendNew(t *testing.T, s *Store) (jti string) {
	t.Helper()
	n := 0
	eventually(t, func() bool {
		n++
		jti = fmt.Sprintf("%p-%d", &n, n)
		return s.Spend(jti, 9000) == nil
	}, "a quorum")
	return jti
}

// freePeer has ports from the kernel at an address that only listeners of this test use, so that a member
// that restarts finds them free.
func freePeer(t *testing.T, i int) Peer {
	port := func() string {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.71.%d:0", i+1))
		require.NoError(t, err)
		defer ln.Close()
		return ln.Addr().String()
	}
	return Peer{Raft: port(), Apply: port()}
}

func TestThreeMembers(t *testing.T) {
	clk := clock.Manual(1000)
	var peers []Peer
	for i := range 3 {
		peers = append(peers, freePeer(t, i))
	}
	dirs, members := []string{t.TempDir(), t.TempDir(), t.TempDir()}, make([]*Store, 3)
	start := func(i int) {
		s, err := Open(Options{Self: peers[i], Peers: peers, Dir: dirs[i], Fast: true, Timeout: 500 * time.Millisecond, Clock: clk})
		require.NoError(t, err)
		members[i] = s
	}
	stop := func(i int) { require.NoError(t, members[i].Close()); members[i] = nil }
	leader := func() (at int) {
		at = -1
		eventually(t, func() bool {
			for i, s := range members {
				if s != nil && s.Leader() {
					at = i
				}
			}
			return at >= 0
		}, "a leader")
		return at
	}
	for i := range members {
		start(i)
	}
	defer func() {
		for _, s := range members {
			if s != nil {
				_ = s.Close()
			}
		}
	}()

	first := leader()
	follower := (first + 1) % 3
	a := spendNew(t, members[follower]) // a follower hands its change to the leader
	require.ErrorIs(t, spend(t, members[first], a, 9000), ErrSpent)

	stop(first) // leader loss: two go on
	require.ErrorIs(t, spend(t, members[follower], a, 9000), ErrSpent)
	b := spendNew(t, members[follower])

	start(first) // restart: the log brings all back
	require.ErrorIs(t, spend(t, members[first], b, 9000), ErrSpent)

	stop((follower + 1) % 3) // no quorum: nothing is spent
	stop((follower + 2) % 3)
	require.ErrorIs(t, members[follower].Spend("c", 9000), ErrUnavailable)
}
