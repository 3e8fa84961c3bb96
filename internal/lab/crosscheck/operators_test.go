package crosscheck

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/lab/experiment"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/sim"
	wire "ravenwheel/internal/resp"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// site is the program's front, core and connections under one operator's kind of settings, on stand-in servers.
type site struct {
	t       *testing.T
	clk     *clock.Clock
	spec    sim.Spec
	set     policy.Settings
	fleet   *fleet.Fleet
	core    *core.Core
	front   *resp.Front
	members []membership.Member
	version uint64
	told    []fleet.Notification
	clients *clients
}

// The servers, by id: caches of the proxy's branch, one of another, the parents and the origin.
const (
	caches5   = 5
	elsewhere = policy.CacheID(9)
	parentID  = policy.CacheID(10)
	originID  = policy.CacheID(20)
	// grace: ms of drains and purges, shorter than the operators' so that the test meets their ends.
	grace = 150.0
	// budget: ms of a try. What nobody answers takes as long.
	budget = 1200
)

func open(t *testing.T, name string) *site {
	t.Helper()
	path := "../../../lab/" + name + ".jsonc"
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	e, bad := experiment.Parse(path, text)
	require.NoError(t, bad.Err())
	spec := e.Variants[0].Spec
	spec.Rules.Drain, spec.Rules.Purge, spec.Fleet.PurgeTakes = grace, grace, 4*grace
	s := &site{t: t, clk: clock.System(), spec: spec, set: spec.Settings(0, 0)}
	window := 0.0
	var names []string
	for _, c := range spec.Traffic.Classes {
		names = append(names, c.Name)
		window = max(window, c.Window)
	}
	s.fleet = fleet.New(fleet.Options{Clock: s.clk, TransferTime: 1, FillTime: 3, PurgeDelay: 4 * grace, MaxCopies: 200, IdempotencyWindow: window})
	t.Cleanup(s.fleet.Close)
	for id := range policy.CacheID(caches5) {
		s.start(id+1, fleet.Cache, s.set.Zone, 0)
	}
	s.start(elsewhere, fleet.Cache, s.set.Zone+1, 0)
	s.start(parentID, fleet.Parent, 0, s.set.ParentKind)
	s.start(parentID+1, fleet.Parent, 1, s.set.ParentKind)
	s.start(originID, fleet.Origin, 0, s.set.OriginKind)
	up := upstream.New(s.clk, upstream.Limits{RequestsPerConn: 32, ConnsPerServer: 8, ConnectTimeout: 400, IdleTimeout: 30_000})
	s.core, err = core.New(s.set, names, 0, 7, s.clk, up)
	require.NoError(t, err)
	s.list(true, s.members...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.front = resp.New(ln, 500, s.clk, s.core)
	go func() { _ = s.front.Serve() }()
	t.Cleanup(func() { s.front.Close() })
	s.clients = newClients(t, ln.Addr().String(), spec.Traffic.Classes)
	return s
}

func (s *site) start(id policy.CacheID, role fleet.Role, zone, kind int) {
	x, err := s.fleet.Start(id, role, "127.0.0.1:0")
	require.NoError(s.t, err)
	m := membership.Member{Addr: x.Addr()}
	m.ID, m.Zone, m.Kind, m.Weight = id, zone, kind, 8
	s.members = append(s.members, m)
}

func (s *site) list(whole bool, members ...membership.Member) {
	s.version++
	s.core.UpdateMembers(membership.Publish{Version: s.version, Complete: whole, Members: members})
}

// state tells of a cache's state, and notes it for the checks.
func (s *site) state(id policy.CacheID, state policy.State) {
	m := s.members[slices.IndexFunc(s.members, func(m membership.Member) bool { return m.ID == id })]
	m.State = state
	s.list(false, m)
	told := fleet.Notification{At: s.clk.Now()}
	if state == policy.Ready {
		told.Returns = []policy.CacheID{id}
	} else {
		told.Drains = []policy.CacheID{id}
	}
	s.told = append(s.told, told)
}

func (s *site) purge(group int) {
	at := s.fleet.Purge("", group)
	s.core.Purged(core.Purge{Group: group, At: at})
	s.told = append(s.told, fleet.Notification{At: s.clk.Now(), Purge: true, Group: group, Made: at})
}

// clients ask for all classes over a few connections, many at once, and keep every answer.
type clients struct {
	t       *testing.T
	addr    string
	classes []sim.Class
	rng     *rand.Rand
	conns   []net.Conn

	mu      sync.Mutex
	over    *sync.Cond
	all     []*asked
	open    map[string]*asked // by tag, which is not used twice
	strange []string
	ended   int // connections that did
}

// asked is one try of a client, with what was answered.
type asked struct {
	rid, key, object string
	class            sim.Class
	answers          []string
}

func newClients(t *testing.T, addr string, classes []sim.Class) *clients {
	c := &clients{t: t, addr: addr, classes: classes, rng: rand.New(rand.NewPCG(5, 5)), open: map[string]*asked{}}
	c.over = sync.NewCond(&c.mu)
	return c
}

// dial opens a few connections, new for each round: the proxy may close one that rests.
func (c *clients) dial() {
	c.conns = nil
	for range 4 {
		nc, err := net.Dial("tcp", c.addr)
		require.NoError(c.t, err)
		c.conns = append(c.conns, nc)
		go c.read(nc)
	}
}

// hangUp asks on each connection whether the proxy takes work, behind whatever it may still have to say, and closes them.
func (c *clients) hangUp() {
	var list []*asked
	for i, nc := range c.conns {
		q := &asked{}
		list = append(list, q)
		tag := strconv.Itoa(1_000_000 + len(c.all)*len(c.conns) + i)
		c.mu.Lock()
		c.open[tag] = q
		c.mu.Unlock()
		_, err := nc.Write(wire.AppendFrame(nil, "RPC.HEALTH", tag))
		require.NoError(c.t, err)
	}
	c.wait(list)
	require.Zero(c.t, c.ended, "a connection ended with a request open")
	for i, nc := range c.conns {
		require.Equal(c.t, []string{"yes"}, list[i].answers)
		_ = nc.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.ended < len(c.conns) {
		c.over.Wait()
	}
	c.ended = 0
}

func (c *clients) read(nc net.Conn) {
	buf := wire.Buffer{MaxFrameSize: wire.MaxResponseSize}
	for {
		parts, _, err := buf.Next(nc)
		if err != nil {
			break
		}
		c.answer(parts)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended++
	c.over.Broadcast()
}

func (c *clients) answer(parts [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.open[string(parts[0])]
	if q == nil || len(parts) < 2 {
		c.strange = append(c.strange, fmt.Sprintf("%q", parts))
		return
	}
	q.answers = append(q.answers, string(parts[1]))
	if string(parts[1]) == "ok" && !q.class.Write {
		if _, err := fleet.Check(parts[3], q.object, 0); err != nil {
			c.strange = append(c.strange, err.Error())
		}
	}
	c.over.Broadcast()
}

// ask sends one request. A repeat of a client has an id of its own, and the key of what it repeats.
func (c *clients) ask(class sim.Class, object, key string, again bool) *asked {
	c.mu.Lock()
	q := &asked{rid: fmt.Sprintf("%016x", c.rng.Uint64()|1), key: key, object: object, class: class}
	c.all = append(c.all, q)
	n := len(c.all)
	conn := n % len(c.conns)
	c.open[strconv.Itoa(n)] = q
	c.mu.Unlock()
	fields := fmt.Sprintf("rid=%s,budget=%d,obj=%s,nth=0,batch=%d,mem=%g", q.rid, budget, object, fleet.Group(object), 1.5)
	if key != "" {
		fields += ",token=" + key
	}
	if again {
		fields += ",again=1"
	}
	words := []string{"RPC.CALL", strconv.Itoa(n), class.Name, fields}
	if class.Write {
		words = append(words, "what is written")
	}
	_, err := c.conns[conn].Write(wire.AppendFrame(nil, words...))
	require.NoError(c.t, err)
	return q
}

// wait returns once each of some requests has an answer.
func (c *clients) wait(list []*asked) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for slices.ContainsFunc(list, func(q *asked) bool { return len(q.answers) == 0 }) && c.ended == 0 {
		c.over.Wait()
	}
}

// round asks for so many of each class, as many at once as the connections take, and once more for those that may be repeated.
func (s *site) round(each int) {
	c := s.clients
	c.dial()
	defer c.hangUp()
	var list []*asked
	for range each {
		for _, class := range c.classes {
			object := fmt.Sprintf("%016x", 1+c.rng.IntN(40))
			key := ""
			if class.Write {
				object = fmt.Sprintf("%016x", c.rng.Uint64()|1)
			}
			if class.Effect == "keyed" {
				key = fmt.Sprintf("%032x", c.rng.Uint64()|1)
			}
			list = append(list, c.ask(class, object, key, false))
		}
	}
	c.wait(list)
	var again []*asked
	for _, q := range list {
		if len(q.answers) > 0 && (q.answers[0] == "full" || q.answers[0] == "fault" && q.class.Effect != "unsafe") {
			again = append(again, c.ask(q.class, q.object, q.key, true))
		}
	}
	c.wait(again)
}

// troubles plays rounds with something wrong at servers in turn, and the list and purges moving.
func (s *site) troubles() {
	set := func(id policy.CacheID, f fleet.Fault) { s.fleet.Server(id).SetFault(f) }
	s.round(12)
	for _, f := range []fleet.Fault{{Overloaded: true}, {Failing: true}, {Unresponsive: true}, {ExtraLatency: 50}} {
		for _, id := range []policy.CacheID{1, parentID, originID} {
			set(id, f)
			s.round(6)
			set(id, fleet.Fault{})
		}
	}
	for g := range fleet.Groups {
		s.purge(g)
	}
	s.state(2, policy.Draining)
	s.round(4)
	time.Sleep(time.Duration((grace + 100) * 1e6)) // past both graces
	s.round(8)
	s.state(2, policy.Gone)
	s.fleet.Server(3).Kill()
	s.round(8)
	s.state(2, policy.Ready)
	s.state(3, policy.Gone)
	s.round(8)
	for id := range policy.CacheID(caches5) { // no cache of the branch answers
		set(id+1, fleet.Fault{Overloaded: true})
	}
	s.round(4)
}

// Under either operator's settings, with servers failing in turn, each request has one final answer, a key goes out with each
// attempt of a keyed one and with no other, what is written runs once, and no rule is broken.
func TestOperatorsOnSockets(t *testing.T) {
	for _, name := range []string{"terminal-maps", "tabletop"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := open(t, name)
			s.troubles()
			s.clients.finish()
			s.holds()
		})
	}
}

// finish checks the answers: one to each request.
func (c *clients) finish() {
	require.Empty(c.t, c.strange)
	counts := map[string]int{}
	for _, q := range c.all {
		require.Len(c.t, q.answers, 1, "%s of %s", q.class.Name, q.rid)
		require.Contains(c.t, []string{"ok", "full", "fault"}, q.answers[0])
		counts[q.class.Name+" "+q.answers[0]]++
	}
	for _, class := range c.classes {
		require.Positive(c.t, counts[class.Name+" ok"], class.Name)
	}
	c.t.Logf("%d requests: %v", len(c.all), counts)
}

// holds checks what the servers saw, and trusts nothing that the proxy says.
func (s *site) holds() {
	t := s.t
	by := map[string]*asked{}
	for _, q := range s.clients.all {
		by[q.rid] = q
	}
	seen := s.fleet.Observations()
	require.Empty(t, fleet.Rules{Drain: grace, Purge: grace, Slack: 50}.Violations(seen, s.told))
	require.Empty(t, s.fleet.DuplicateWrites())
	tries, ran := map[string][]fleet.Observation{}, map[string]int{}
	for _, x := range seen {
		q := by[x.RequestID]
		require.NotNil(t, q, "no client asked for %s", x.RequestID)
		require.Equal(t, q.class.Name, x.Class)
		require.Equal(t, q.object, x.Object)
		require.Equal(t, q.key, x.Key, "%s of %s", x.RequestID, x.Class)
		require.Equal(t, q.class.Effect == "keyed", x.Key != "")
		require.Equal(t, q.class.Write, x.Write)
		require.NotEqual(t, elsewhere, x.Server, "a cache of another branch")
		require.NotEqual(t, elsewhere, x.Source, "a cache of another branch")
		if !s.set.MayBypassCaches {
			require.Less(t, x.Server, elsewhere, "nothing goes past the caches")
		}
		tries[x.RequestID] = append(tries[x.RequestID], x)
		if x.Write && x.Answer == "served" && q.class.Effect == "unsafe" {
			ran[x.Object]++
		}
	}
	for object, n := range ran {
		require.Equal(t, 1, n, "%s ran again", object)
	}
	for id, list := range tries {
		require.LessOrEqual(t, len(list), s.set.MaxAttempts)
		if by[id].class.Effect != "unsafe" {
			continue
		}
		slices.SortStableFunc(list, func(a, b fleet.Observation) int { return cmp.Compare(a.At, b.At) })
		for _, x := range list[:len(list)-1] {
			require.Contains(t, []string{"overload", "not_here"}, x.Answer, "%s went out again and may have run", id)
		}
	}
}
