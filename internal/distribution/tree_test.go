package distribution_test

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	decider "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/distribution/check"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/distribution"
	"ravenwheel/internal/store"
)

// waitTimeout bounds a wait. It is long, so that a slow machine does not fail a test.
const waitTimeout = 60 * time.Second

// eventually waits until a condition holds. Otherwise the test fails, and failure says what was not reached.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitTimeout, 5*time.Millisecond, failure)
}

// fakeMember is a member of the store at a root of the tree. It applies the committed changes when a test calls apply, or at ReadIndex.
type fakeMember struct {
	log *committedLog

	mu            sync.Mutex
	state         *storestate.State
	observer      store.Observer
	withoutQuorum bool // ReadIndex fails with store.ErrUnavailable
}

// committedLog holds the changes that the members of a store have committed, and their history, against which processes are checked.
type committedLog struct {
	clk *clock.Clock

	mu      sync.Mutex
	epoch   uint64
	changes []storestate.Change
	history map[decider.Stream]*check.History
}

func newCommittedLog() *committedLog {
	l := &committedLog{clk: clock.System(), epoch: 1, history: map[decider.Stream]*check.History{}}
	for _, s := range distribution.Streams {
		l.history[s] = &check.History{}
	}
	return l
}

// commit adds a change. Members apply it in apply.
func (l *committedLog) commit(c storestate.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.ProposedAt = l.clk.Now()
	l.changes = append(l.changes, c)
	index := uint64(len(l.changes))
	e := decider.Entry{Sequence: index, Name: c.Name}
	switch c.Kind {
	case storestate.AddPurge:
		e.Kind, e.Name, e.EffectiveAt, e.ExpiresAt = decider.PurgeObject, c.Purge.Object, int64(c.Purge.IssuedAt), int64(c.ExpiresAt)
	case storestate.StartDrain:
		e.Kind = decider.Drain
	case storestate.EndDrain:
		e.Kind = decider.DrainEnded
	}
	stream := decider.Configuration
	if c.Kind == storestate.AddPurge {
		stream = decider.Purges
	}
	l.history[stream].Commit(l.epoch, e, int64(c.ProposedAt))
}

// commitPurge adds a purge of an object, issued now, that expires after 1,000 s.
func (l *committedLog) commitPurge(object string) {
	issuedAt := l.clk.Now()
	l.commit(storestate.Change{
		Kind: storestate.AddPurge, ExpiresAt: float64(int64(issuedAt)) + 1e6,
		Purge: &storestate.Purge{Object: object, IssuedAt: float64(int64(issuedAt))},
	})
}

func (l *committedLog) newMember() *fakeMember { return &fakeMember{log: l, state: storestate.New()} }

// apply has the member apply all committed changes.
func (m *fakeMember) apply() {
	m.log.mu.Lock()
	changes := m.log.changes
	m.log.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.state.AppliedIndex < uint64(len(changes)) {
		c := changes[m.state.AppliedIndex]
		m.state.AppliedIndex++
		if m.state.Apply(c); m.observer != nil {
			m.observer.ChangeApplied(m.state.AppliedIndex, c, m.state.Revision())
		}
	}
}

func (m *fakeMember) Observe(observer store.Observer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observer = observer
	observer.StateReplaced(m.state)
}

func (m *fakeMember) ReadIndex() (uint64, float64, error) {
	m.mu.Lock()
	withoutQuorum := m.withoutQuorum
	m.mu.Unlock()
	if withoutQuorum {
		return 0, 0, store.ErrUnavailable
	}
	at := m.log.clk.Now()
	m.apply()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.AppliedIndex, at, nil
}

func (m *fakeMember) setWithoutQuorum(withoutQuorum bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.withoutQuorum = withoutQuorum
}

// tree runs nodes on loopback addresses. Tests can cut their links, freeze processes and limit how fast they read.
type tree struct {
	t      *testing.T
	keyDir string
	log    *committedLog

	mu             sync.Mutex
	addrs          map[string]string // addresses of the processes, by name
	processes      map[string]*process
	cutLinks       map[[2]string]bool
	conns          map[[2]string][]net.Conn
	names          map[string]string // names of the processes, by address
	bytesPerSecond map[string]int    // bytes a second that a process reads
	frozen         map[string]bool   // processes that neither read nor are read from, as when stopped by a signal
}

// process is a node, and the state that the checker has observed of it.
type process struct {
	node *distribution.Node
	peer decider.Peer

	mu        sync.Mutex
	observed  map[decider.Stream]*check.Process
	gate      *decider.FreshnessGate
	violation error
	changes   []storestate.Change
}

func newTree(t *testing.T) *tree {
	tr := &tree{
		t: t, keyDir: t.TempDir(), log: newCommittedLog(), addrs: map[string]string{}, processes: map[string]*process{},
		cutLinks: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}, names: map[string]string{}, bytesPerSecond: map[string]int{},
		frozen: map[string]bool{},
	}
	require.NoError(t, store.CreateAuthority(tr.keyDir, "th"))
	t.Cleanup(func() {
		for _, p := range tr.processes {
			p.node.Close()
		}
	})
	return tr
}

// settings returns settings with short timeouts, so that processes notice failures soon. Tests wait for the outcome, not for a time.
func settings(self decider.Peer) decider.Settings {
	s := decider.DefaultSettings(0, self)
	s.Seed = uint64(len(self.Name)) + uint64(self.Name[len(self.Name)-1])
	s.HeartbeatInterval, s.SilenceTimeout, s.KeepaliveInterval, s.FailoverSpread = 50, 600, 500, 100
	s.MinBackoff, s.MaxBackoff = 20, 200
	s.MaxLag, s.MaxClockSkew, s.RelaxSpread = 1500, 10, 50
	s.AdmitPerSecond, s.AdmitBurst = 500, 500
	s.Classes = map[string]decider.StalePolicy{"strict": decider.PolicyStrict}
	return s
}

// newPeer returns a process of the one zone of these tests.
func newPeer(name string, rank int) decider.Peer {
	return decider.Peer{Name: name, Rank: rank, Region: "r", Zone: "z"}
}

// start starts a node: a root with the member source, or else one whose candidates are parents. With listens it accepts subscribers.
func (tr *tree) start(p decider.Peer, source *fakeMember, listens bool, parents ...string) *process {
	tr.t.Helper()
	if _, known := tr.addrs[p.Name]; !known {
		require.NoError(tr.t, store.IssueCertificate(tr.keyDir, p.Name))
		tr.addrs[p.Name] = "127.0.74.1:0"
	}
	id, err := store.LoadIdentity(tr.keyDir, p.Name)
	require.NoError(tr.t, err)
	started := &process{peer: p, observed: map[decider.Stream]*check.Process{}}
	for _, s := range distribution.Streams {
		started.observed[s] = check.NewProcess(tr.log.history[s])
	}
	nodeSettings := settings(p)
	started.gate = decider.NewFreshnessGate(nodeSettings)
	o := distribution.Options{
		Settings: nodeSettings, Identity: id, Clock: tr.log.clk, MaxLinks: 256, Epoch: tr.log.epoch, ApplyChange: started.applyChange, ApplyRevision: func(storestate.Revision) {},
		Observe: func(s decider.Stream, a decider.Action) { tr.observe(started, s, a) },
		SetFreshness: func(s decider.Stream, g decider.Freshness) {
			if s == decider.Purges {
				started.mu.Lock()
				started.gate.Update(g)
				started.mu.Unlock()
			}
		},
		Dial: func(addr string, timeout time.Duration) (net.Conn, error) { return tr.dial(p.Name, addr, timeout) },
	}
	if source != nil {
		o.Source = source
	}
	for _, name := range parents {
		o.Candidates = append(o.Candidates, distribution.Candidate{Peer: tr.processes[name].peer, Address: tr.addrs[name]})
	}
	if listens {
		ln, err := net.Listen("tcp", tr.addrs[p.Name])
		require.NoError(tr.t, err)
		tr.addrs[p.Name] = ln.Addr().String()
		tr.mu.Lock() // running nodes read names when they dial
		tr.names[ln.Addr().String()] = p.Name
		tr.mu.Unlock()
		o.Listen = ln
	}
	started.node, err = distribution.Start(o)
	require.NoError(tr.t, err)
	tr.processes[p.Name] = started
	return started
}

func (p *process) applyChange(c storestate.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, c)
}

// observe checks an action of a process's subscriber against the committed changes.
func (tr *tree) observe(p *process, s decider.Stream, a decider.Action) {
	tr.log.mu.Lock()
	defer tr.log.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.observed[s].Observe(a)
	if advance, ok := a.(decider.AdvanceWatermark); ok && err == nil {
		err = p.observed[s].CheckWatermark(advance.Watermark)
	}
	if err != nil && p.violation == nil {
		p.violation = fmt.Errorf("%s: %w", p.peer.Name, err)
	}
}

// dial connects a process to an address, unless the link is cut.
func (tr *tree) dial(from, addr string, timeout time.Duration) (net.Conn, error) {
	tr.mu.Lock()
	link := [2]string{from, tr.names[addr]}
	cut, perSecond := tr.cutLinks[link], tr.bytesPerSecond[from]
	tr.mu.Unlock()
	if cut {
		return nil, fmt.Errorf("%s is cut off from %s", from, link[1])
	}
	nc, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, tree: tr, link: link, bytesPerSecond: perSecond}
	if perSecond > 0 {
		_ = nc.(*net.TCPConn).SetReadBuffer(1)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.conns[link] = append(tr.conns[link], c)
	return c, nil
}

// conn reads at most bytesPerSecond (0: unlimited) after the first 4 KiB, which hold the handshake, and nothing while either end is
// frozen.
type conn struct {
	net.Conn
	tree                      *tree
	link                      [2]string
	bytesPerSecond, bytesRead int
	closed                    atomic.Bool
}

func (c *conn) Read(b []byte) (int, error) {
	if c.bytesPerSecond > 0 && c.bytesRead > 4096 {
		b = b[:min(len(b), max(1, c.bytesPerSecond/20))]
		time.Sleep(50 * time.Millisecond)
	}
	n, err := c.Conn.Read(b)
	c.bytesRead += n
	for !c.closed.Load() && c.tree.isFrozen(c.link) {
		time.Sleep(time.Millisecond)
	}
	return n, err
}

func (c *conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (tr *tree) isFrozen(link [2]string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.frozen[link[0]] || tr.frozen[link[1]]
}

// setFrozen freezes a process, or lets it run again.
func (tr *tree) setFrozen(name string, frozen bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.frozen[name] = frozen
}

// setCut closes the links from one process to another and lets new ones fail, or lets the process connect again.
func (tr *tree) setCut(from, to string, cut bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	link := [2]string{from, to}
	tr.cutLinks[link] = cut
	for _, nc := range tr.conns[link] {
		nc.Close()
	}
	delete(tr.conns, link)
}

// waitUntilCaughtUp waits until the given processes have all committed changes in effect, and checks that they violated no rule.
func (tr *tree) waitUntilCaughtUp(names ...string) {
	tr.t.Helper()
	for _, name := range names {
		p := tr.processes[name]
		var last error
		caughtUp := func() bool {
			tr.log.mu.Lock()
			defer tr.log.mu.Unlock()
			p.mu.Lock()
			defer p.mu.Unlock()
			last = nil
			for _, s := range distribution.Streams {
				if tr.log.history[s].Latest() == (decider.Position{}) {
					continue // nothing was committed
				}
				last = errors.Join(last, p.observed[s].CheckCaughtUp(int64(tr.log.clk.Now())))
			}
			return last == nil || p.violation != nil
		}
		if !assert.Eventually(tr.t, caughtUp, waitTimeout, 5*time.Millisecond, "%s has not caught up", name) {
			require.NoError(tr.t, last)
		}
		p.mu.Lock()
		require.NoError(tr.t, p.violation)
		p.mu.Unlock()
	}
}

// parent returns the distributor to which a process is subscribed for purges.
func (p *process) parent() string { return p.node.Status()[0].Parent }
