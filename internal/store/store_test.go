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

// waitTimeout bounds a wait. It expresses no expectation of speed.
const waitTimeout = 60 * time.Second

func eventually(t testing.TB, ok func() bool, what string) {
	t.Helper()
	require.Eventually(t, ok, waitTimeout, 2*time.Millisecond, what)
}

// cluster is a set of members on loopback whose connections can be cut.
type cluster struct {
	t    testing.TB
	keys string
	clk  *clock.Clock

	mu      sync.Mutex
	members map[string]*Store
	addrs   map[string]string
	dirs    map[string]string
	cut     map[[2]string]bool // by names
	links   map[[2]string][]net.Conn
}

func newCluster(t testing.TB, names ...string) *cluster {
	c := &cluster{
		t: t, keys: t.TempDir(), clk: clock.System(), members: map[string]*Store{}, addrs: map[string]string{},
		dirs: map[string]string{}, cut: map[[2]string]bool{}, links: map[[2]string][]net.Conn{},
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

// add issues a member's key and picks its address, in a range that only listeners of these tests use, so that it is still
// free after a restart.
func (c *cluster) add(name string) Member {
	require.NoError(c.t, IssueCertificate(c.keys, name))
	ln, err := net.Listen("tcp", "127.0.73.1:0")
	require.NoError(c.t, err)
	defer ln.Close()
	c.addrs[name] = ln.Addr().String()
	c.dirs[name] = c.t.TempDir()
	return Member{Name: name, Addr: c.addrs[name]}
}

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

func link(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// dial connects two members, unless they are cut off from one another. It looks again once the connection is up: one that is
// registered after isolate has closed the others would stay.
func (c *cluster) dial(from, addr string, wait time.Duration) (net.Conn, error) {
	c.mu.Lock()
	to := ""
	for n, a := range c.addrs {
		if a == addr {
			to = n
		}
	}
	pair := link(from, to)
	cut := c.cut[pair]
	c.mu.Unlock()
	errCut := fmt.Errorf("%s and %s are cut off from one another", from, to)
	if cut {
		return nil, errCut
	}
	nc, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[pair] {
		nc.Close()
		return nil, errCut
	}
	c.links[pair] = append(c.links[pair], nc)
	return nc, nil
}

// isolate cuts a member off from all others, or connects it again.
func (c *cluster) isolate(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.addrs {
		if n == name {
			continue
		}
		c.cut[link(name, n)] = cut
		if cut {
			for _, nc := range c.links[link(name, n)] {
				nc.Close()
			}
			delete(c.links, link(name, n))
		}
	}
}

func (c *cluster) member(name string) *Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[name]
}

func (c *cluster) all() []*Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Store
	for _, s := range c.members {
		out = append(out, s)
	}
	return out
}

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
	}, "a leader")
	return name
}

func (c *cluster) otherMember(excluded ...string) string {
	for _, n := range []string{"a", "b", "c"} {
		if n != excluded[0] && (len(excluded) < 2 || n != excluded[1]) {
			return n
		}
	}
	return ""
}

// spendNewToken spends a new token id. An attempt without a quorum may still succeed later, so each attempt has an id of its own.
func spendNewToken(t testing.TB, s *Store) (jti string) {
	t.Helper()
	n := 0
	eventually(t, func() bool {
		n++
		jti = fmt.Sprintf("%p-%d", &n, n)
		return s.SpendToken(jti, 9e15) == nil
	}, "a quorum")
	return jti
}

func TestMemberAloneNeedsNoLog(t *testing.T) {
	clk := clock.Manual(1000)
	s, err := Open(Options{Clock: clk})
	require.NoError(t, err)
	require.True(t, s.IsLeader())
	require.NoError(t, s.SpendToken("a", 2000))
	require.ErrorIs(t, s.SpendToken("a", 2000), ErrTokenSpent)
	require.NoError(t, s.PutKey("k1", Key{Alg: "HS256", Data: []byte("x")}))
	k, ok := s.Key("k1")
	require.True(t, ok && k.Alg == "HS256")
	require.NoError(t, s.DeleteKey("k1"))
	_, ok = s.Key("k1")
	require.False(t, ok)
	require.NoError(t, s.RevokeToken("r", 1500))
	require.True(t, s.IsRevoked("r"))
	clk.Advance(1001) // expired ids are dropped with the next change
	require.NoError(t, s.SpendToken("b", 3000))
	require.NoError(t, s.RevokeToken("r2", 3000))
	spent, revoked := s.TokenCounts()
	require.Equal(t, [2]int{1, 1}, [2]int{spent, revoked})

	w := s.Watch()
	rev, err := s.SetConfig(0, "one", "ops")
	require.NoError(t, err)
	require.EqualValues(t, 1, rev)
	require.Equal(t, "one", (<-w).Text)
	rev, err = s.SetConfig(0, "other", "ops")
	require.ErrorIs(t, err, ErrConflict)
	require.EqualValues(t, 1, rev, "the revision in force")
	_, err = s.SetConfig(1, "two", "ops")
	require.NoError(t, err)
	rev, err = s.Rollback(1, "ops")
	require.NoError(t, err)
	require.Equal(t, storestate.Revision{Number: 3, CreatedAt: 2001, Author: "ops", Text: "one", RollbackOf: 1}, s.Config())
	require.EqualValues(t, 3, rev)
	_, err = s.Rollback(9, "ops")
	require.Error(t, err)
	require.NoError(t, s.Close())
	require.ErrorIs(t, s.SpendToken("c", 3000), ErrUnavailable)
}

// A member that was down returns by a snapshot, as the entries that it lacks were compacted, and then the leader is lost. All
// acknowledged changes are on all members in the end.
func TestMemberReturnsBySnapshotAfterLeaderLoss(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	first := c.leader()
	spent := []string{spendNewToken(t, c.members[first]), spendNewToken(t, c.members[c.otherMember(first)])}
	down := c.otherMember(first)
	c.members[down].Kill()
	for range 150 { // beyond the snapshot's threshold and its trailing entries
		require.NoError(t, c.members[first].PutKey("k", Key{Alg: "HS256", Data: []byte("y")}))
	}
	spent = append(spent, spendNewToken(t, c.members[first]))
	eventually(t, func() bool { return c.members[first].raft.Stats()["last_snapshot_index"] != "0" }, "a snapshot")
	restarted := c.open(down, Options{})
	eventually(t, func() bool { k, ok := restarted.Key("k"); return ok && string(k.Data) == "y" }, "it caught up")

	c.members[first].Kill()
	second := c.leader()
	require.NotEqual(t, first, second)
	spent = append(spent, spendNewToken(t, c.members[c.otherMember(first, second)]))
	c.open(first, Options{})
	for _, s := range c.all() {
		for _, jti := range spent {
			var err error
			eventually(t, func() bool { err = s.SpendToken(jti, 9e15); return err == ErrTokenSpent || err == nil }, "a quorum")
			require.ErrorIs(t, err, ErrTokenSpent, jti)
		}
	}
}

// The leader has a change in its log and is killed before it answers. The caller gets ErrOutcomeUnknown. The same change under
// its id counts once, however often it is proposed; another change that spends the same token is refused.
func TestChangeCountsOnceWhenLeaderIsKilled(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	lead := c.leader()
	s := c.members[lead]
	require.NoError(t, s.PutKey("k", Key{Alg: "HS256"}))
	c.isolate(lead, true) // no other member receives what it appends now
	change := storestate.Change{ID: "one", Kind: storestate.SpendToken, Name: "j", ExpiresAt: 9e15}
	before, outcome := s.raft.LastIndex(), make(chan error, 1)
	go func() { _, err := s.Propose(change); outcome <- err }()
	eventually(t, func() bool { return s.raft.LastIndex() > before }, "it is in the leader's log")
	s.Kill()
	require.ErrorIs(t, <-outcome, ErrOutcomeUnknown)
	c.isolate(lead, false)
	next := c.members[c.leader()]
	c.open(lead, Options{})
	for range 3 {
		var err error
		eventually(t, func() bool { _, err = next.Propose(change); return !errors.Is(err, ErrUnavailable) }, "a quorum")
		require.NoError(t, err)
	}
	require.ErrorIs(t, next.SpendToken("j", 9e15), ErrTokenSpent)
}

// A member that is cut off serves reads and reports how stale they are, and acknowledges no change. A leader that is cut off
// steps down, and the others elect another one.
func TestMinorityServesStaleReadsOnly(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	lead := c.leader()
	require.NoError(t, c.members[lead].PutKey("k", Key{Alg: "HS256", Data: []byte("x")}))
	isolated := c.otherMember(lead)
	eventually(t, func() bool { _, ok := c.members[isolated].Key("k"); return ok }, "the key is there")
	c.isolate(isolated, true)
	eventually(t, func() bool { return c.members[isolated].Status().StaleMs > 300 }, "it reports that it is stale")
	_, ok := c.members[isolated].Key("k")
	require.True(t, ok, "reads go on")
	require.ErrorIs(t, c.members[isolated].SpendToken("j", 9e15), ErrUnavailable)
	require.ErrorIs(t, c.members[isolated].ReadLinearizable(func(*storestate.State) {}), ErrUnavailable, "no linearizable read without the leader")
	require.NoError(t, c.members[lead].DeleteKey("k"))
	_, ok = c.members[isolated].Key("k")
	require.True(t, ok, "a stale read")
	c.isolate(isolated, false)
	eventually(t, func() bool {
		return c.members[isolated].ReadLinearizable(func(s *storestate.State) { _, ok = s.Keys["k"] }) == nil && !ok
	}, "it caught up")

	// The leader itself is cut off: it steps down, and the others elect another one.
	c.isolate(lead, true)
	eventually(t, func() bool { return !c.members[lead].IsLeader() }, "it steps down")
	next := ""
	eventually(t, func() bool {
		for _, n := range []string{"a", "b", "c"} {
			if n != lead && c.members[n].IsLeader() {
				next = n
			}
		}
		return next != ""
	}, "another leads")
	spendNewToken(t, c.members[next])

	// A member that knows no leader refuses an operation without effect, and the operation is requested again.
	id, err := LoadIdentity(c.keys, lead)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { _, err := Request(id, c.addrs[lead], OpRemove, "nobody", "", 20*time.Second); done <- err }()
	time.Sleep(5 * requestRetryDelay)
	c.isolate(lead, false)
	require.NoError(t, <-done)
	spendNewToken(t, c.members[lead])
}

// Raft has handed a follower two acknowledged changes that its state machine has not applied yet. A linearizable read there
// waits for both.
func TestLinearizableReadWaitsForAppliedState(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	lead := c.leader()
	follower := c.members[c.otherMember(lead)]
	follower.fsm.mu.Lock()
	require.NoError(t, c.members[lead].PutKey("one", Key{Alg: "HS256"}))
	require.NoError(t, c.members[lead].PutKey("two", Key{Alg: "HS256"}))
	eventually(t, func() bool { return follower.raft.AppliedIndex() >= c.members[lead].raft.AppliedIndex() }, "it was handed both")
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
	lead := c.leader()
	jti := spendNewToken(t, c.members[lead])
	c.add("d")
	d := c.open("d", Options{Join: c.addrs[c.otherMember(lead)]}) // through a follower
	// The leader has added it; the newcomer itself learns of that a moment later.
	eventually(t, func() bool { return len(d.Status().Members) == 4 }, "the newcomer knows of all")
	require.ErrorIs(t, d.SpendToken(jti, 9e15), ErrTokenSpent)
	id, err := LoadIdentity(c.keys, "d")
	require.NoError(t, err)
	_, err = Request(id, c.addrs["d"], OpTransfer, "d", "", 5*time.Second)
	require.NoError(t, err)
	eventually(t, d.IsLeader, "the newcomer leads")
	_, err = Request(id, c.addrs["a"], OpRemove, lead, "", 5*time.Second)
	require.NoError(t, err)
	eventually(t, func() bool {
		st, err := Request(id, c.addrs["d"], OpStatus, "", "", 5*time.Second)
		return err == nil && len(st.Members) == 3
	}, "one less")
	c.members[lead].Kill()
	require.NoError(t, d.Close()) // a leader transfers its leadership first
	spendNewToken(t, c.members[c.otherMember(lead)])
}

// Connections without a certificate of this cluster are refused: another cluster's member, a member under another's name, and
// plain text.
func TestUnauthenticatedPeersAreRefused(t *testing.T) {
	c := newCluster(t, "a")
	c.leader()
	id, err := LoadIdentity(c.keys, "a")
	require.NoError(t, err)
	_, err = Request(id, c.addrs["a"], OpStatus, "", "", 5*time.Second)
	require.NoError(t, err)
	other := t.TempDir()
	require.NoError(t, CreateAuthority(other, "th")) // of the same name, with another authority
	require.NoError(t, IssueCertificate(other, "a"))
	forged, err := LoadIdentity(other, "a")
	require.NoError(t, err)
	_, err = Request(forged, c.addrs["a"], OpStatus, "", "", 5*time.Second)
	require.Error(t, err)
	// A certificate of the right authority for another cluster.
	forged, err = LoadIdentity(c.keys, "a")
	require.NoError(t, err)
	forged.Cluster = "elsewhere"
	_, err = Request(forged, c.addrs["a"], OpStatus, "", "", 5*time.Second)
	require.ErrorContains(t, err, `not a certificate of a member of this cluster: it names cluster "th", member "a"`)
	// A member that asks to join under another's name.
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
	if err == nil { // a TLS alert, and then the end
		_, err = nc.Read(make([]byte, 64))
	}
	require.Error(t, err)
	require.Error(t, IssueCertificate(c.keys, "ca"))
	require.Error(t, CreateAuthority(c.keys, "th"))
	_, err = LoadIdentity(c.keys, "nobody")
	require.Error(t, err)
}

// A directory is locked by the process that uses it.
func TestDirectoryIsLockedByOneProcess(t *testing.T) {
	c := newCluster(t, "a")
	id, err := LoadIdentity(c.keys, "a")
	require.NoError(t, err)
	_, err = Open(Options{Self: Member{"a", "127.0.73.1:0"}, Identity: id, Dir: c.dirs["a"], Clock: c.clk})
	require.ErrorContains(t, err, c.dirs["a"])
	_, err = os.Stat(filepath.Join(c.dirs["a"], "raft.db"))
	require.NoError(t, err)
}
