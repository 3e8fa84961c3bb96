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
	frames "ravenwheel/internal/resp"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// testSite has the proxy's front end, core and connections with the settings of a scenario file, and stand-in servers.
type testSite struct {
	t             *testing.T
	clock         *clock.Clock
	scenario      sim.Scenario
	settings      policy.Settings
	fleet         *fleet.Fleet
	core          *core.Core
	front         *resp.Front
	members       []membership.Member
	version       uint64 // of the endpoint list that was published last
	notifications []fleet.Notification
	clients       *clients
}

// The servers are zoneCaches caches in the proxy's zone, one in another zone, two parents and the origin.
const (
	zoneCaches = 5
	otherZone  = policy.ServerID(9)
	// gracePeriod is the grace period of drains and purges, in ms. It is shorter than in the files, so that it ends within the
	// test.
	gracePeriod = 150.0
	// requestTimeout is the time limit of a client's attempt, in ms. A request to an unresponsive server fails after it.
	requestTimeout = 1200
)

// newTestSite opens a site with the settings of the first variant of lab/NAME.jsonc.
func newTestSite(t *testing.T, name string) *testSite {
	t.Helper()
	path := "../../../lab/" + name + ".jsonc"
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	e, defects := experiment.Parse(path, text)
	require.NoError(t, defects.Err())
	scenario := e.Variants[0].Scenario
	scenario.Rules.DrainGrace, scenario.Rules.PurgeGrace, scenario.Fleet.PurgeDuration = gracePeriod, gracePeriod, 4*gracePeriod
	s := &testSite{t: t, clock: clock.System(), scenario: scenario, settings: scenario.Settings(0, 0)}
	window := 0.0
	var names []string
	for _, c := range scenario.Traffic.Classes {
		names = append(names, c.Name)
		window = max(window, c.DedupWindow)
	}
	s.fleet = fleet.New(fleet.Options{Clock: s.clock, TransferTime: 1, FillTime: 3, PurgeDelay: 4 * gracePeriod, MaxCopies: 200, IdempotencyWindow: window})
	t.Cleanup(s.fleet.Close)
	for id := range policy.ServerID(zoneCaches) {
		s.start(id+1, fleet.Cache, s.settings.Zone, 0)
	}
	s.start(otherZone, fleet.Cache, s.settings.Zone+1, 0)
	s.start(parentID, fleet.Parent, 0, s.settings.ParentKind)
	s.start(parentID+1, fleet.Parent, 1, s.settings.ParentKind)
	s.start(originID, fleet.Origin, 0, s.settings.OriginKind)
	up := upstream.New(s.clock, upstream.Limits{AttemptsPerConn: 32, ConnsPerServer: 8, ConnectTimeout: 400, IdleTimeout: 30_000})
	s.core, err = core.New(s.settings, names, 0, 7, s.clock, up)
	require.NoError(t, err)
	s.publish(true, s.members...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.front = resp.New(ln, 500, s.clock, s.core)
	go func() { _ = s.front.Serve() }()
	t.Cleanup(func() { s.front.Close() })
	s.clients = newClients(t, ln.Addr().String(), scenario.Traffic.Classes)
	return s
}

// start starts a stand-in server and adds it to the members.
func (s *testSite) start(id policy.ServerID, role fleet.Role, zone, kind int) {
	server, err := s.fleet.Start(id, role, "127.0.0.1:0")
	require.NoError(s.t, err)
	m := membership.Member{Addr: server.Addr()}
	m.ID, m.Zone, m.Kind, m.Weight = id, zone, kind, 8
	s.members = append(s.members, m)
}

// publish gives the proxy an endpoint list, or the changed entries of one.
func (s *testSite) publish(complete bool, members ...membership.Member) {
	s.version++
	s.core.UpdateMembers(membership.Publish{Version: s.version, Complete: complete, Members: members})
}

// setState publishes a cache's state, and records the notification for checkObservations.
func (s *testSite) setState(id policy.ServerID, state policy.State) {
	m := s.members[slices.IndexFunc(s.members, func(m membership.Member) bool { return m.ID == id })]
	m.State = state
	s.publish(false, m)
	notification := fleet.Notification{At: s.clock.Now()}
	if state == policy.Ready {
		notification.Ready = []policy.ServerID{id}
	} else {
		notification.Draining = []policy.ServerID{id}
	}
	s.notifications = append(s.notifications, notification)
}

// purge purges a group, notifies the proxy, and records the notification for checkObservations.
func (s *testSite) purge(group int) {
	at := s.fleet.Purge("", group)
	s.core.ApplyPurge(core.Purge{Group: group, At: at})
	s.notifications = append(s.notifications, fleet.Notification{At: s.clock.Now(), Purge: true, Group: group, PurgedAt: at})
}

// clients send requests of all classes over a few connections, many at the same time, and record every answer.
type clients struct {
	t       *testing.T
	addr    string
	classes []sim.Class
	rng     *rand.Rand
	conns   []net.Conn

	mu         sync.Mutex
	changed    *sync.Cond // an answer arrived or a connection ended
	all        []*request
	byTag      map[string]*request
	violations []string
	endedConns int // number of connections that ended
}

// request is one attempt of a client, with the words of the answers to it.
type request struct {
	id, key, object string
	class           sim.Class
	answers         []string
}

func newClients(t *testing.T, addr string, classes []sim.Class) *clients {
	c := &clients{t: t, addr: addr, classes: classes, rng: rand.New(rand.NewPCG(5, 5)), byTag: map[string]*request{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// dial opens the connections of a round. Each round has new ones, because the proxy may close idle connections.
func (c *clients) dial() {
	c.conns = nil
	for range 4 {
		nc, err := net.Dial("tcp", c.addr)
		require.NoError(c.t, err)
		c.conns = append(c.conns, nc)
		go c.read(nc)
	}
}

// close closes the connections, after a health check on each. The proxy answers the health check after all earlier requests.
func (c *clients) close() {
	var requests []*request
	for i, nc := range c.conns {
		q := &request{}
		requests = append(requests, q)
		tag := strconv.Itoa(1_000_000 + len(c.all)*len(c.conns) + i)
		c.mu.Lock()
		c.byTag[tag] = q
		c.mu.Unlock()
		_, err := nc.Write(frames.AppendFrame(nil, "RPC.HEALTH", tag))
		require.NoError(c.t, err)
	}
	c.wait(requests)
	require.Zero(c.t, c.endedConns, "the proxy closed a connection with an open request")
	for i, nc := range c.conns {
		require.Equal(c.t, []string{"yes"}, requests[i].answers)
		_ = nc.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.endedConns < len(c.conns) {
		c.changed.Wait()
	}
	c.endedConns = 0
}

func (c *clients) read(nc net.Conn) {
	buf := frames.Buffer{MaxFrameSize: frames.MaxResponseSize}
	for {
		parts, _, err := buf.Next(nc)
		if err != nil {
			break
		}
		c.handleAnswer(parts)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedConns++
	c.changed.Broadcast()
}

func (c *clients) handleAnswer(parts [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.byTag[string(parts[0])]
	if q == nil || len(parts) < 2 {
		c.violations = append(c.violations, fmt.Sprintf("%q", parts))
		return
	}
	q.answers = append(q.answers, string(parts[1]))
	if string(parts[1]) == "ok" && !q.class.Write {
		if _, err := fleet.CheckContent(parts[3], q.object, 0); err != nil {
			c.violations = append(c.violations, err.Error())
		}
	}
	c.changed.Broadcast()
}

// send sends a request. A retry has a new id, and the idempotency key of the first attempt.
func (c *clients) send(class sim.Class, object, key string, retry bool) *request {
	c.mu.Lock()
	q := &request{id: fmt.Sprintf("%016x", c.rng.Uint64()|1), key: key, object: object, class: class}
	c.all = append(c.all, q)
	n := len(c.all)
	conn := n % len(c.conns)
	c.byTag[strconv.Itoa(n)] = q
	c.mu.Unlock()
	fields := fmt.Sprintf("rid=%s,budget=%d,obj=%s,nth=0,batch=%d,mem=%g", q.id, requestTimeout, object, fleet.Group(object), 1.5)
	if key != "" {
		fields += ",token=" + key
	}
	if retry {
		fields += ",again=1"
	}
	words := []string{"RPC.CALL", strconv.Itoa(n), class.Name, fields}
	if class.Write {
		words = append(words, "what is written")
	}
	_, err := c.conns[conn].Write(frames.AppendFrame(nil, words...))
	require.NoError(c.t, err)
	return q
}

// wait waits until all requests have an answer or a connection has ended.
func (c *clients) wait(requests []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for slices.ContainsFunc(requests, func(q *request) bool { return len(q.answers) == 0 }) && c.endedConns == 0 {
		c.changed.Wait()
	}
}

// sendRound sends perClass requests of each class without waiting in between, and retries those that were rejected, and those that
// failed and are idempotent.
func (s *testSite) sendRound(perClass int) {
	c := s.clients
	c.dial()
	defer c.close()
	var requests []*request
	for range perClass {
		for _, class := range c.classes {
			object := fmt.Sprintf("%016x", 1+c.rng.IntN(40))
			key := ""
			if class.Write {
				object = fmt.Sprintf("%016x", c.rng.Uint64()|1)
			}
			if class.Effect == sim.IdempotentByKey {
				key = fmt.Sprintf("%032x", c.rng.Uint64()|1)
			}
			requests = append(requests, c.send(class, object, key, false))
		}
	}
	c.wait(requests)
	var retries []*request
	for _, q := range requests {
		if len(q.answers) > 0 && (q.answers[0] == "full" || q.answers[0] == "fault" && q.class.Effect != sim.NotIdempotent) {
			retries = append(retries, c.send(q.class, q.object, q.key, true))
		}
	}
	c.wait(retries)
}

// sendWithFaults sends rounds of requests while one server after another has a fault, objects are purged, and servers drain, are
// killed and return.
func (s *testSite) sendWithFaults() {
	setFault := func(id policy.ServerID, f fleet.Fault) { s.fleet.Server(id).SetFault(f) }
	s.sendRound(12)
	for _, f := range []fleet.Fault{{Overloaded: true}, {Failing: true}, {Unresponsive: true}, {ExtraLatency: 50}} {
		for _, id := range []policy.ServerID{1, parentID, originID} {
			setFault(id, f)
			s.sendRound(6)
			setFault(id, fleet.Fault{})
		}
	}
	for g := range fleet.GroupCount {
		s.purge(g)
	}
	s.setState(2, policy.Draining)
	s.sendRound(4)
	time.Sleep(time.Duration((gracePeriod + 100) * 1e6)) // until both grace periods are over
	s.sendRound(8)
	s.setState(2, policy.Gone)
	s.fleet.Server(3).Kill()
	s.sendRound(8)
	s.setState(2, policy.Ready)
	s.setState(3, policy.Gone)
	s.sendRound(8)
	for id := range policy.ServerID(zoneCaches) { // no cache of the zone serves requests
		setFault(id+1, fleet.Fault{Overloaded: true})
	}
	s.sendRound(4)
}

// With the settings of both scenario files, and while one server after another fails, each request gets one final answer. Every
// attempt of a request with an idempotency key carries the key, and no other attempt has one. Writes run once, and no rule is
// broken.
func TestScenarioFilesBreakNoRuleOnSockets(t *testing.T) {
	for _, name := range []string{"terminal-maps", "tabletop"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t, name)
			s.sendWithFaults()
			s.clients.checkAnswers()
			s.checkObservations()
		})
	}
}

// checkAnswers checks that each request has exactly one answer, and that each class has served requests.
func (c *clients) checkAnswers() {
	require.Empty(c.t, c.violations)
	counts := map[string]int{}
	for _, q := range c.all {
		require.Len(c.t, q.answers, 1, "%s of %s", q.class.Name, q.id)
		require.Contains(c.t, []string{"ok", "full", "fault"}, q.answers[0])
		counts[q.class.Name+" "+q.answers[0]]++
	}
	for _, class := range c.classes {
		require.Positive(c.t, counts[class.Name+" ok"], class.Name)
	}
	c.t.Logf("%d requests: %v", len(c.all), counts)
}

// checkObservations checks what the servers received. It does not rely on what the proxy reports.
func (s *testSite) checkObservations() {
	t := s.t
	byID := map[string]*request{}
	for _, q := range s.clients.all {
		byID[q.id] = q
	}
	observations := s.fleet.Observations()
	require.Empty(t, fleet.Rules{Drain: gracePeriod, Purge: gracePeriod, Slack: 50}.Violations(observations, s.notifications))
	require.Empty(t, s.fleet.DuplicateWrites())
	attempts, writes := map[string][]fleet.Observation{}, map[string]int{}
	for _, o := range observations {
		q := byID[o.RequestID]
		require.NotNil(t, q, "no client sent request %s", o.RequestID)
		require.Equal(t, q.class.Name, o.Class)
		require.Equal(t, q.object, o.Object)
		require.Equal(t, q.key, o.IdempotencyKey, "%s of %s", o.RequestID, o.Class)
		require.Equal(t, q.class.Effect == sim.IdempotentByKey, o.IdempotencyKey != "")
		require.Equal(t, q.class.Write, o.Write)
		require.NotEqual(t, otherZone, o.Server, "attempt at a cache of another zone")
		require.NotEqual(t, otherZone, o.Source, "fill from a cache of another zone")
		if !s.settings.MayBypassCaches {
			require.Less(t, o.Server, otherZone, "the request bypassed the caches")
		}
		attempts[o.RequestID] = append(attempts[o.RequestID], o)
		if o.Write && o.Status == "served" && q.class.Effect == sim.NotIdempotent {
			writes[o.Object]++
		}
	}
	for object, n := range writes {
		require.Equal(t, 1, n, "a write of %s ran more than once", object)
	}
	for id, ofRequest := range attempts {
		require.LessOrEqual(t, len(ofRequest), s.settings.MaxAttempts)
		if byID[id].class.Effect != sim.NotIdempotent {
			continue
		}
		slices.SortStableFunc(ofRequest, func(a, b fleet.Observation) int { return cmp.Compare(a.At, b.At) })
		for _, o := range ofRequest[:len(ofRequest)-1] {
			require.Contains(t, []string{"overload", "not_here"}, o.Status, "request %s was retried although it may have run", id)
		}
	}
}
