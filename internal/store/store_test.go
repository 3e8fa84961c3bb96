package store

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/storestate"
)

// waitTimeout is how long a test waits for an event before it fails. It is long on purpose: no test checks how fast the store is.
const waitTimeout = 60 * time.Second

// eventually waits until a condition holds, and fails the test if it does not within waitTimeout.
func eventually(t testing.TB, ok func() bool, what string) {
	t.Helper()
	require.Eventually(t, ok, waitTimeout, 2*time.Millisecond, what)
}

// cluster is a set of members on loopback addresses. A test can disconnect, kill and restart them.
type cluster struct {
	t    testing.TB
	keys string // directory of the members' identities
	clk  *clock.Clock

	mu      sync.Mutex
	members map[string]*Store
	addrs   map[string]string
	dirs    map[string]string
	cut     map[[2]string]bool       // pairs of members that can't connect, by pairKey
	conns   map[[2]string][]net.Conn // connections between two members, by pairKey
}

func newCluster(t testing.TB, names ...string) *cluster {
	c := &cluster{
		t: t, keys: t.TempDir(), clk: clock.System(), members: map[string]*Store{}, addrs: map[string]string{},
		dirs: map[string]string{}, cut: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{},
	}
	require.NoError(t, CreateAuthority(c.keys, "th"))
	var peers []Member
	for _, n := range names {
		peers = append(peers, c.add(n))
	}
	for _, n := range names {
		c.open(n, Options{Peers: peers})
	}
	t.Cleanup(func() {
		for _, s := range c.members {
			s.Kill()
		}
	})
	return c
}

// add issues a member's identity and picks its address. Only listeners of these tests use addresses in this range, so that the
// member's address is still free when it restarts.
func (c *cluster) add(name string) Member {
	require.NoError(c.t, IssueCertificate(c.keys, name))
	ln, err := net.Listen("tcp", "127.0.73.1:0")
	require.NoError(c.t, err)
	defer ln.Close()
	c.addrs[name] = ln.Addr().String()
	c.dirs[name] = c.t.TempDir()
	return Member{Name: name, Addr: c.addrs[name]}
}

// open starts or restarts a member on its directory.
func (c *cluster) open(name string, o Options) *Store {
	id, err := LoadIdentity(c.keys, name)
	require.NoError(c.t, err)
	o.Self, o.Identity, o.Clock, o.FastElections, o.Timeout = Member{name, c.addrs[name]}, id, c.clk, true, 2*time.Second
	o.Dir = c.dirs[name]
	o.SnapshotThreshold, o.TrailingLogs = 64, 8
	o.Dial = func(addr string, wait time.Duration) (net.Conn, error) { return c.dial(name, addr, wait) }
	s, err := Open(o)
	require.NoError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[name] = s
	return s
}

// pairKey returns the key of a pair of members, in whatever order.
func pairKey(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// dial connects two members unless they are cut off from one another. It checks this again once the connection is open: isolate
// closes only the connections in conns, and would miss one that is added after it.
func (c *cluster) dial(from, addr string, wait time.Duration) (net.Conn, error) {
	c.mu.Lock()
	to := ""
	for n, a := range c.addrs {
		if a == addr {
			to = n
		}
	}
	pair := pairKey(from, to)
	cut := c.cut[pair]
	c.mu.Unlock()
	errCut := fmt.Errorf("%s and %s are cut off from one another", from, to)
	if cut {
		return nil, errCut
	}
	conn, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[pair] {
		conn.Close()
		return nil, errCut
	}
	c.conns[pair] = append(c.conns[pair], conn)
	return conn, nil
}

// isolate cuts a member off from all others, or connects it again.
func (c *cluster) isolate(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.addrs {
		if n == name {
			continue
		}
		c.cut[pairKey(name, n)] = cut
		if cut {
			for _, nc := range c.conns[pairKey(name, n)] {
				nc.Close()
			}
			delete(c.conns, pairKey(name, n))
		}
	}
}

func (c *cluster) member(name string) *Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[name]
}

func (c *cluster) allMembers() []*Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Store
	for _, s := range c.members {
		out = append(out, s)
	}
	return out
}

// leader waits until a member is the leader and a quorum confirms it, and returns the member's name.
func (c *cluster) leader() (name string) {
	c.t.Helper()
	eventually(c.t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for n, s := range c.members {
			if !s.closed.Load() && s.IsLeader() && s.raft.VerifyLeader().Error() == nil {
				name = n
				return true
			}
		}
		return false
	}, "a leader is elected")
	return name
}

// otherMember returns the first of the members a, b and c that is not one of one or two excluded members.
func (c *cluster) otherMember(excluded ...string) string {
	for _, n := range []string{"a", "b", "c"} {
		if n != excluded[0] && (len(excluded) < 2 || n != excluded[1]) {
			return n
		}
	}
	return ""
}

// redeemNewToken redeems a new token id, and tries until a quorum accepts it. An attempt without a quorum may still succeed later,
// so each attempt redeems another token id.
func redeemNewToken(t testing.TB, s *Store) (tokenID string) {
	t.Helper()
	n := 0
	eventually(t, func() bool {
		n++
		tokenID = fmt.Sprintf("%p-%d", &n, n)
		return s.RedeemToken(tokenID, 9e15) == nil
	}, "a quorum accepts a change")
	return tokenID
}

// A single member in memory serves all operations, without a log or a socket.
func TestSingleMemberNeedsNoLog(t *testing.T) {
	clk := clock.Manual(1000)
	s, err := Open(Options{Clock: clk})
	require.NoError(t, err)
	require.True(t, s.IsLeader())
	require.NoError(t, s.RedeemToken("a", 2000))
	require.ErrorIs(t, s.RedeemToken("a", 2000), ErrTokenRedeemed)
	require.NoError(t, s.PutKey("k1", Key{Alg: "HS256", Data: []byte("x")}))
	k, ok := s.Key("k1")
	require.True(t, ok && k.Alg == "HS256")
	require.NoError(t, s.DeleteKey("k1"))
	_, ok = s.Key("k1")
	require.False(t, ok)
	require.NoError(t, s.RevokeToken("r", 1500))
	require.True(t, s.IsRevoked("r"))
	clk.Advance(1001) // past the expiry of "a" and "r", which the next change of their kind deletes
	require.NoError(t, s.RedeemToken("b", 3000))
	require.NoError(t, s.RevokeToken("r2", 3000))
	redeemed, revoked := s.TokenCounts()
	require.Equal(t, [2]int{1, 1}, [2]int{redeemed, revoked})

	w := s.Watch()
	rev, err := s.SetConfig(0, "one", "ops")
	require.NoError(t, err)
	require.EqualValues(t, 1, rev)
	require.Equal(t, "one", (<-w).Text)
	rev, err = s.SetConfig(0, "other", "ops")
	require.ErrorIs(t, err, ErrConflict)
	require.EqualValues(t, 1, rev, "the current revision is returned with ErrConflict")
	_, err = s.SetConfig(1, "two", "ops")
	require.NoError(t, err)
	rev, err = s.Rollback(1, "ops")
	require.NoError(t, err)
	require.Equal(t, storestate.Revision{Number: 3, CreatedAt: 2001, Author: "ops", Text: "one", RollbackOf: 1}, s.Config())
	require.EqualValues(t, 3, rev)
	_, err = s.Rollback(9, "ops")
	require.Error(t, err)
	require.NoError(t, s.Close())
	require.ErrorIs(t, s.RedeemToken("c", 3000), ErrUnavailable)
}

// A member that was down catches up by a snapshot, as the entries that it lacks were compacted. Then the leader is killed. In the
// end, all members have all acknowledged changes.
func TestMemberReturnsBySnapshotAfterLeaderLoss(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	firstLeader := c.leader()
	redeemed := []string{redeemNewToken(t, c.members[firstLeader]), redeemNewToken(t, c.members[c.otherMember(firstLeader)])}
	down := c.otherMember(firstLeader)
	c.members[down].Kill()
	for range 150 { // beyond the snapshot's threshold and its trailing entries
		require.NoError(t, c.members[firstLeader].PutKey("k", Key{Alg: "HS256", Data: []byte("y")}))
	}
	redeemed = append(redeemed, redeemNewToken(t, c.members[firstLeader]))
	eventually(t, func() bool { return c.members[firstLeader].raft.Stats()["last_snapshot_index"] != "0" }, "the leader's snapshot")
	restarted := c.open(down, Options{})
	eventually(t, func() bool { k, ok := restarted.Key("k"); return ok && string(k.Data) == "y" }, "the member catches up")

	c.members[firstLeader].Kill()
	secondLeader := c.leader()
	require.NotEqual(t, firstLeader, secondLeader)
	redeemed = append(redeemed, redeemNewToken(t, c.members[c.otherMember(firstLeader, secondLeader)]))
	c.open(firstLeader, Options{})
	for _, s := range c.allMembers() {
		for _, tokenID := range redeemed {
			var err error
			eventually(t, func() bool { err = s.RedeemToken(tokenID, 9e15); return err == ErrTokenRedeemed || err == nil }, "a quorum")
			require.ErrorIs(t, err, ErrTokenRedeemed, tokenID)
		}
	}
}

// The leader has a change in its log and is killed before it answers, so that the caller gets ErrOutcomeUnknown. The change is
// applied once, however often it is proposed again under its id. Another change that redeems the same token is refused.
func TestChangeIsAppliedOnceWhenLeaderIsKilled(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	s := c.members[leader]
	require.NoError(t, s.PutKey("k", Key{Alg: "HS256"}))
	c.isolate(leader, true) // no other member receives what it appends now
	change := storestate.Change{ID: "one", Kind: storestate.RedeemToken, Name: "j", ExpiresAt: 9e15}
	before, outcome := s.raft.LastIndex(), make(chan error, 1)
	go func() { _, err := s.Propose(change); outcome <- err }()
	eventually(t, func() bool { return s.raft.LastIndex() > before }, "the change is in the leader's log")
	s.Kill()
	require.ErrorIs(t, <-outcome, ErrOutcomeUnknown)
	c.isolate(leader, false)
	next := c.members[c.leader()]
	c.open(leader, Options{})
	for range 3 {
		var err error
		eventually(t, func() bool { _, err = next.Propose(change); return !errors.Is(err, ErrUnavailable) }, "a quorum answers")
		require.NoError(t, err)
	}
	require.ErrorIs(t, next.RedeemToken("j", 9e15), ErrTokenRedeemed)
}

// A member that is cut off serves local reads, reports how stale they are, and acknowledges no change. A leader that is cut off
// steps down, and the other members elect another one.
func TestMinorityServesStaleReadsOnly(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	require.NoError(t, c.members[leader].PutKey("k", Key{Alg: "HS256", Data: []byte("x")}))
	isolated := c.otherMember(leader)
	eventually(t, func() bool { _, ok := c.members[isolated].Key("k"); return ok }, "the follower has the key")
	c.isolate(isolated, true)
	eventually(t, func() bool { return c.members[isolated].Status().StaleMs > 300 }, "the isolated member reports stale state")
	_, ok := c.members[isolated].Key("k")
	require.True(t, ok, "the isolated member serves local reads")
	require.ErrorIs(t, c.members[isolated].RedeemToken("j", 9e15), ErrUnavailable)
	require.ErrorIs(t, c.members[isolated].ReadLinearizable(func(*storestate.State) {}), ErrUnavailable, "no linearizable read without the leader")
	require.NoError(t, c.members[leader].DeleteKey("k"))
	_, ok = c.members[isolated].Key("k")
	require.True(t, ok, "the isolated member does not know yet that the key was deleted")
	c.isolate(isolated, false)
	eventually(t, func() bool {
		return c.members[isolated].ReadLinearizable(func(s *storestate.State) { _, ok = s.Keys["k"] }) == nil && !ok
	}, "the member catches up once it is connected again")

	// The leader itself is cut off: it steps down, and the others elect another one.
	c.isolate(leader, true)
	eventually(t, func() bool { return !c.members[leader].IsLeader() }, "the isolated leader steps down")
	next := ""
	eventually(t, func() bool {
		for _, n := range []string{"a", "b", "c"} {
			if n != leader && c.members[n].IsLeader() {
				next = n
			}
		}
		return next != ""
	}, "another member is elected leader")
	redeemNewToken(t, c.members[next])

	// A member that knows no leader refuses an operation, which has no effect, and Request tries it again.
	id, err := LoadIdentity(c.keys, leader)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { _, err := Request(id, c.addrs[leader], OpRemove, "nobody", "", 20*time.Second); done <- err }()
	time.Sleep(5 * requestRetryDelay)
	c.isolate(leader, false)
	require.NoError(t, <-done)
	redeemNewToken(t, c.members[leader])
}

// Raft has passed two acknowledged changes to a follower's state machine, which has not applied them yet. A linearizable read at
// that follower waits until both are applied.
func TestLinearizableReadWaitsForAppliedState(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	follower := c.members[c.otherMember(leader)]
	follower.fsm.mu.Lock()
	require.NoError(t, c.members[leader].PutKey("one", Key{Alg: "HS256"}))
	require.NoError(t, c.members[leader].PutKey("two", Key{Alg: "HS256"}))
	eventually(t, func() bool { return follower.raft.AppliedIndex() >= c.members[leader].raft.AppliedIndex() }, "raft has passed on both changes")
	done, seen := make(chan error, 1), false
	go func() { done <- follower.ReadLinearizable(func(s *storestate.State) { _, seen = s.Keys["two"] }) }()
	time.Sleep(50 * time.Millisecond)
	follower.fsm.mu.Unlock()
	require.NoError(t, <-done)
	require.True(t, seen)
}

// Members join and are removed while the cluster serves, and leadership is transferred on request.
func TestMembersJoinLeaveAndTransferLeadership(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	tokenID := redeemNewToken(t, c.members[leader])
	c.add("d")
	d := c.open("d", Options{Join: c.addrs[c.otherMember(leader)]}) // through a follower
	// The leader has added d when Open returns, but d itself receives the new list of members a moment later.
	eventually(t, func() bool { return len(d.Status().Members) == 4 }, "the new member has the list of all members")
	require.ErrorIs(t, d.RedeemToken(tokenID, 9e15), ErrTokenRedeemed)
	id, err := LoadIdentity(c.keys, "d")
	require.NoError(t, err)
	_, err = Request(id, c.addrs["d"], OpTransfer, "d", "", 5*time.Second)
	require.NoError(t, err)
	eventually(t, d.IsLeader, "leadership is transferred to the new member")
	_, err = Request(id, c.addrs["a"], OpRemove, leader, "", 5*time.Second)
	require.NoError(t, err)
	eventually(t, func() bool {
		st, err := Request(id, c.addrs["d"], OpStatus, "", "", 5*time.Second)
		return err == nil && len(st.Members) == 3
	}, "the list has one member less")
	c.members[leader].Kill()
	require.NoError(t, d.Close()) // a leader transfers its leadership first
	redeemNewToken(t, c.members[c.otherMember(leader)])
}

// Connections fail between a store and a peer that is not a member of its cluster: one of a cluster of the same name with another
// authority, one of another cluster with the same authority, and one in plain text. A member can't join under another name.
func TestUnauthenticatedPeersAreRefused(t *testing.T) {
	c := newCluster(t, "a")
	c.leader()
	id, err := LoadIdentity(c.keys, "a")
	require.NoError(t, err)
	_, err = Request(id, c.addrs["a"], OpStatus, "", "", 5*time.Second)
	require.NoError(t, err)
	other := t.TempDir()
	require.NoError(t, CreateAuthority(other, "th")) // the same cluster name, but another authority
	require.NoError(t, IssueCertificate(other, "a"))
	forged, err := LoadIdentity(other, "a")
	require.NoError(t, err)
	_, err = Request(forged, c.addrs["a"], OpStatus, "", "", 5*time.Second)
	require.Error(t, err)
	// A member of another cluster with the same authority refuses the store's certificate.
	forged, err = LoadIdentity(c.keys, "a")
	require.NoError(t, err)
	forged.Cluster = "elsewhere"
	_, err = Request(forged, c.addrs["a"], OpStatus, "", "", 5*time.Second)
	require.ErrorContains(t, err, `not a certificate of a member of this cluster: it names cluster "th", member "a"`)
	// A member that asks to join under another name.
	require.NoError(t, IssueCertificate(c.keys, "b"))
	b, err := LoadIdentity(c.keys, "b")
	require.NoError(t, err)
	_, err = Request(b, c.addrs["a"], OpJoin, "c", "", 5*time.Second)
	require.ErrorContains(t, err, `member "b" asks in the name of "c"`)
	nc, err := net.Dial("tcp", c.addrs["a"])
	require.NoError(t, err)
	_, _ = nc.Write([]byte("C\x00\x00\x00\x01x"))
	_ = nc.SetReadDeadline(time.Now().Add(waitTimeout))
	_, err = nc.Read(make([]byte, 64))
	if err == nil { // the first read returned a TLS alert, after which the connection is closed
		_, err = nc.Read(make([]byte, 64))
	}
	require.Error(t, err)
	require.Error(t, IssueCertificate(c.keys, "ca"))
	require.Error(t, CreateAuthority(c.keys, "th"))
	_, err = LoadIdentity(c.keys, "nobody")
	require.Error(t, err)
}

// A store can't open a directory that another store has open, and names the directory in its error.
func TestDirectoryIsLockedByOneProcess(t *testing.T) {
	c := newCluster(t, "a")
	id, err := LoadIdentity(c.keys, "a")
	require.NoError(t, err)
	_, err = Open(Options{Self: Member{"a", "127.0.73.1:0"}, Identity: id, Dir: c.dirs["a"], Clock: c.clk})
	require.ErrorContains(t, err, c.dirs["a"])
	_, err = os.Stat(filepath.Join(c.dirs["a"], "raft.db"))
	require.NoError(t, err)
}
