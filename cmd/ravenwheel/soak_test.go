package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/policy"
)

// Soak tests of whole processes: each seed draws deadlines, effects, faults, signals and clients, and what clients and servers saw is checked
// against the protocol. CI plays a few seeds; SOAK_SEEDS=FIRST-LAST plays others.
const (
	soakFirst, soakLast = 1, 8
	// soakAtOnce processes are played at a time.
	soakAtOnce = 6
)

func TestSoakProcesses(t *testing.T) {
	soakSeeds(t, soakFirst, soakLast, newSoak)
}

// soakSeeds plays the seeds from first to last, or those of SOAK_SEEDS.
func soakSeeds(t *testing.T, first, last int, start func(t *testing.T, bin string, seed uint64) *soak) {
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		from, to, _ := strings.Cut(text, "-")
		var err error
		first, err = strconv.Atoi(from)
		require.NoError(t, err)
		last, err = strconv.Atoi(to)
		require.NoError(t, err)
	}
	bin := buildOverlaid(t)
	room := make(chan struct{}, soakAtOnce)
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed <= last; seed++ {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				room <- struct{}{}
				defer func() { <-room }()
				start(t, bin, uint64(seed)).play()
			})
		}
	})
}

// soak is one process among stand-ins.
type soak struct {
	t    *testing.T
	rng  *rand.Rand
	plan soakPlan

	servers   *fleet.Fleet
	service   *fleet.DiscoveryService
	listeners []*fleet.DiscoveryListener
	list      map[policy.ServerID]core.Member
	config    string
	listen    string
	cmd       *exec.Cmd
	logs      strings.Builder

	clk      *clock.Clock
	late     atomic.Int64 // ns by which this machine was late at the worst
	mu       sync.Mutex
	asked    map[string]*soakRequest
	told     []fleet.Notification
	stalled  float64 // until when the service tells nothing
	lull     float64 // until when discovery has no further fault; see causeDiscoveryFaults
	at       int     // index of the address of discovery that the configuration names
	broken   []string
	termAt   atomic.Int64 // Unix µs of the first SIGTERM; 0: not yet
	killedAt atomic.Int64 // and of the kill, or of the process's own end
	killed   atomic.Bool
	over     chan struct{}
}

// soakPlan is what a seed draws before the start.
type soakPlan struct {
	deadline time.Duration // the longest
	window   time.Duration // of the keyed class
	faults   int           // of 1,000 calls
	stepS    int           // by which the wall clock steps, and when
	stepAt   time.Duration
	crowd    int // idle clients
	terms    int // SIGTERMs
	runs     time.Duration

	discovery bool // it has faults of discovery in a row, and runs for long enough to see their effects
}

// soakRequest is one request as its client knows it. Times are in ms on the soak's clock.
type soakRequest struct {
	class    string
	object   string
	sent     float64 // when its last byte was written
	budget   float64
	answered float64 // 0: not yet
	word     string
	left     float64 // when its client cancelled it or closed; 0: it did not
	ended    float64 // when its connection ended without an answer
}

const soakSockets, soakCaches = 256, 3

func newSoak(t *testing.T, bin string, seed uint64) *soak {
	s := &soak{
		t: t, rng: rand.New(rand.NewPCG(seed, 38)), clk: clock.System(), asked: map[string]*soakRequest{},
		list: map[policy.ServerID]core.Member{}, over: make(chan struct{}),
	}
	pick := func(list ...time.Duration) time.Duration { return list[s.rng.IntN(len(list))] }
	s.plan = soakPlan{
		deadline: pick(300*time.Millisecond, 500*time.Millisecond, time.Second, 3*time.Second), terms: 1 + s.rng.IntN(4),
		window: pick(300*time.Millisecond, time.Second, 5*time.Second), runs: time.Duration(2500+s.rng.IntN(2500)) * time.Millisecond,
		faults: []int{0, 10, 50}[s.rng.IntN(3)], stepS: []int{0, -3600, 3600, -7, 7}[s.rng.IntN(5)], crowd: []int{0, 0, 300}[s.rng.IntN(3)],
		stepAt: time.Duration(1000+s.rng.IntN(2500)) * time.Millisecond,
	}
	s.servers = fleet.New(fleet.Options{
		Clock: s.clk, TransferTime: float64(2 + s.rng.IntN(20)), FillTime: float64(2 + s.rng.IntN(20)), PurgeDelay: 6000, IdempotencyWindow: clock.Ms(s.plan.window),
	})
	t.Cleanup(s.servers.Close)
	members := []core.Member{}
	for id := range soakCaches + 2 {
		members = append(members, s.start(policy.ServerID(id+1)))
	}
	s.service = fleet.NewDiscoveryService(s.clk, []string{"z"}, []string{"small", "parent", "origin"}, members)
	for range 2 {
		d, err := s.service.Listen("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(d.Close)
		s.listeners = append(s.listeners, d)
	}
	s.listen = freeAddr(t)
	s.config = filepath.Join(t.TempDir(), "config.json")
	s.write(0)
	s.cmd = exec.Command(bin)
	s.cmd.Env = append(os.Environ(), "LB_CONFIG="+s.config, "TMPDIR="+t.TempDir(),
		fmt.Sprintf("%s=%d", steppedBy, s.plan.stepS), fmt.Sprintf("%s=%d", steppedAfter, s.plan.stepAt.Milliseconds()),
		fmt.Sprintf("%s=%d", faultsOf1000, s.plan.faults), fmt.Sprintf("%s=%d", faultSeed, seed))
	s.cmd.Stderr = &s.logs
	return s
}

// start starts a server: caches first, then a parent and the origin.
func (s *soak) start(id policy.ServerID) core.Member {
	role := fleet.Role(max(0, int(id)-soakCaches))
	server, err := s.servers.Start(id, role, "127.0.0.1:0")
	require.NoError(s.t, err)
	m := core.Member{Addr: server.Addr()}
	m.ID, m.Kind, m.Weight = id, int(role), 9
	s.list[id] = m
	return m
}

// write writes the configuration with one of discovery's addresses.
func (s *soak) write(listener int) {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	grade := func(name, effect string, share float64) map[string]any {
		return map[string]any{
			"Name": name, "Effect": effect, "DeadlineUs": us(time.Duration(float64(s.plan.deadline) * share)),
			"TargetUs": us(s.plan.deadline / 3), "Worth": 1.0, "WindowUs": us(s.plan.window), "Group": "all",
		}
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": s.listen, "seed": "8c1f30d27a5be964", "board": s.listeners[listener].Addr(), "known": s.service.InitialEvents(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": soakSockets},
		"settings": map[string]any{
			"NInstances": 1, "Zones": []string{"z"}, "Kinds": []string{"small", "parent", "origin"}, "Weights": "nominal",
			"Bounds": map[string]any{
				"Cancel": true, "RetryAfter": true, "MaxRetryAfterUs": 500_000, "ConnectTimeoutUs": 400_000, "ConnIdleUs": 4_000_000,
				"StreamsPerConn": 100, "MostTries": 8, "MostHeld": 512,
			},
			"Rules":  map[string]any{"DrainGraceUs": 2_000_000, "ColdFrom": 0.25, "FallMultiple": 3.0, "FallUs": 3_000_000, "WarmWithinUs": 18_000_000},
			"Grades": []any{grade("asset", "idempotent", 1), grade("report", "deduplicated", 0.9), grade("claim", "at_most_once", 0.8)},
			"FamilyInfo": map[string]any{
				"SecondTierKind": 1, "RootKind": 2, "NoteLevel": "all", "PeersFill": "location", "Uncached": []bool{false, true, true},
				"InParts": []bool{false, false, false}, "PurgeTakesUs": 6_000_000, "NoticeTimeUs": 1_000_000, "FlowKbPerS": 100_000.0,
				"ParentColdFrom": 0.25, "ParentBreaksAt": 2.0, "ParentWarmsInUs": 18_000_000,
			},
		},
	})
	require.NoError(s.t, err)
	part := s.config + ".part"
	require.NoError(s.t, os.WriteFile(part, raw, 0o600))
	require.NoError(s.t, os.Rename(part, s.config))
}

// play runs the process among clients and faults, ends it as the protocol says, and judges.
func (s *soak) play() {
	go s.measureLateness()
	require.NoError(s.t, s.cmd.Start())
	exited := make(chan error, 1)
	go func() { exited <- s.cmd.Wait() }()
	s.t.Cleanup(func() { _ = s.cmd.Process.Kill() })
	require.Eventually(s.t, func() bool { return s.ready() }, 30*time.Second, 10*time.Millisecond, "it takes over 30 s to be ready")
	var clients sync.WaitGroup
	for n := range 10 {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(n)))
		clients.Go(func() { newSoakClient(s, n, rng).run() })
	}
	crowded := s.idleClients()
	defer crowded()
	end := time.Now().Add(s.plan.runs)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(50+s.rng.IntN(400)) * time.Millisecond)
		s.causeFault()
	}
	select {
	case err := <-exited:
		s.t.Fatalf("it crashed: %v\n%s", err, s.logs.String())
	default:
	}
	s.terminate(exited)
	close(s.over)
	clients.Wait()
	s.check()
}

func (s *soak) now() float64 { return s.clk.Now() }

func (s *soak) ready() bool { there, err := healthy(s.listen); return there && err == nil }

// measureLateness measures by how much a short sleep is late: how precise this machine's times are.
func (s *soak) measureLateness() {
	const nap = 5 * time.Millisecond
	for {
		select {
		case <-s.over:
			return
		default:
		}
		began := time.Now()
		time.Sleep(nap)
		if late := int64(time.Since(began) - nap); late > s.late.Load() {
			s.late.Store(late)
		}
	}
}

// terminate sends SIGTERM once or more, with SIGHUPs between, and SIGKILL at the earliest time that the protocol allows.
func (s *soak) terminate(exited chan error) {
	began := time.Now()
	s.termAt.Store(began.UnixMicro())
	kill := began.Add(min(3*time.Second, s.plan.deadline) + 700*time.Millisecond)
	require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGTERM))
	for range s.plan.terms - 1 {
		time.Sleep(time.Duration(s.rng.IntN(150)) * time.Millisecond)
		if s.rng.IntN(2) == 0 {
			_ = s.cmd.Process.Signal(syscall.SIGHUP)
		}
		_ = s.cmd.Process.Signal(syscall.SIGTERM)
	}
	select {
	case err := <-exited:
		s.killedAt.Store(time.Now().UnixMicro())
		if err != nil {
			s.fail("it ended with %v", err)
		}
	case <-time.After(time.Until(kill)):
		s.killedAt.Store(time.Now().UnixMicro())
		s.killed.Store(true)
		_ = s.cmd.Process.Kill()
		<-exited
	}
}

// recordNotification records an event of discovery, with the time at which it counts as notified.
func (s *soak) recordNotification(t fleet.Notification) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.PurgedAt = s.now()
	t.At = max(t.PurgedAt, s.stalled)
	if len(t.Ready) > 0 { // what it may be sent again, it may be sent at once
		t.At = t.PurgedAt
		for i := range s.told {
			s.told[i].At = min(s.told[i].At, t.At)
		}
	}
	s.told = append(s.told, t)
}

// causeFault causes a fault: of a server, of discovery, or by a signal.
func (s *soak) causeFault() {
	if s.plan.discovery && s.now() >= s.lull {
		s.causeDiscoveryFaults()
		return
	}
	id := policy.ServerID(1 + s.rng.IntN(soakCaches))
	server := s.servers.Server(id)
	kind := s.rng.IntN(9)
	if s.plan.discovery {
		kind = s.serverChange(id)
	}
	switch kind {
	case 0:
		server.SetFault(fleet.Fault{Unresponsive: true})
	case 1:
		server.SetFault(fleet.Fault{Overloaded: true})
	case 2:
		server.SetFault(fleet.Fault{Failing: true})
	case 3:
		for id := range soakCaches {
			s.servers.Server(policy.ServerID(id + 1)).SetFault(fleet.Fault{ExtraLatency: float64(s.rng.IntN(200))})
		}
	case 4: // it is killed and comes back cold, elsewhere
		server.Kill()
		m := s.start(id)
		m.Started = policy.Time(float64(time.Now().UnixMilli()) * 1e6)
		s.list[id] = m
		s.recordNotification(fleet.Notification{Ready: []policy.ServerID{id}})
		s.service.Change(m)
	case 5:
		m := s.list[id]
		m.State = policy.Draining
		s.list[id] = m
		s.recordNotification(fleet.Notification{Draining: []policy.ServerID{id}})
		s.service.Change(m)
	case 6:
		group := s.rng.IntN(fleet.GroupCount)
		s.recordNotification(fleet.Notification{Purge: true, Group: group})
		s.service.Purge("", group, s.servers.Purge("", group))
	case 7: // an event during a stop counts as notified 4 s later
		s.mu.Lock()
		s.stalled = s.now() + 4000
		s.mu.Unlock()
		listener := s.listeners[s.rng.IntN(len(s.listeners))]
		listener.SetStalled(true)
		time.AfterFunc(time.Second, func() { listener.SetStalled(false) })
	case 8:
		s.write(s.rng.IntN(len(s.listeners)))
		s.mu.Lock()
		s.stalled = max(s.stalled, s.now()+4000)
		s.mu.Unlock()
		require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGHUP))
	}
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// check checks what was seen against the protocol.
func (s *soak) check() {
	slack := 50 + 2*float64(s.late.Load())/1e6
	s.checkAnswers(slack)
	s.checkAttempts(slack)
	s.broken = append(s.broken, s.servers.DuplicateWrites()...)
	s.broken = append(s.broken, fleet.Rules{Drain: 2000, Purge: 1000, Slack: slack}.Violations(s.servers.Observations(), s.told)...)
	words := map[string]int{}
	for _, q := range s.asked {
		words[q.word]++
	}
	s.t.Logf("%+v: %d requests %v, late by %.0f ms", s.plan, len(s.asked), words, float64(s.late.Load())/1e6)
	if len(s.broken) > 0 {
		slices.Sort(s.broken)
		s.t.Errorf("%d breaks, of them:\n%s\n%s", len(s.broken), strings.Join(s.broken[:min(10, len(s.broken))], "\n"), s.logs.String())
	}
}

// checkAnswers checks that each request has one answer in time, but for those that crossed the close of their connection, and those of the
// last 0.7 s before SIGKILL.
func (s *soak) checkAnswers(slack float64) {
	term, kill := float64(s.termAt.Load())/1e3, float64(s.killedAt.Load())/1e3
	offset := s.clk.Wall() - s.now()
	for id, q := range s.asked {
		switch {
		case q.left > 0:
		case q.answered > 0 && q.answered > q.sent+q.budget+500+slack:
			s.fail("%s %s: answered %.0f ms after its time", q.class, id, q.answered-q.sent-q.budget)
		case q.answered > 0:
		case q.ended > 0 && q.sent >= q.ended-50-slack && (q.ended+offset < kill-5 || !s.killed.Load()):
		case q.ended > 0 && q.ended+offset >= kill-5 && q.sent+offset <= term+700+slack:
		case q.ended+offset >= kill-5 && q.sent+offset >= kill-5: // it was written to a process that was gone
		default:
			s.fail("%s %s: lost, sent %.0f ms after SIGTERM, its connection ended %.0f ms after that, the kill was at %.0f", q.class, id, q.sent+offset-term, q.ended-q.sent, kill-term)
		}
	}
}

// checkAttempts checks that no attempt begins for a client that has left, has more time than is left, or repeats a deduplicated request after
// its window, and that rejected requests did not run.
func (s *soak) checkAttempts(slack float64) {
	firsts := map[string]float64{} // by key
	for _, a := range s.servers.Observations() {
		q := s.asked[a.RequestID]
		if a.Probe || q == nil {
			continue
		}
		if q.left > 0 && a.At > q.left+100+slack {
			s.fail("%s %s: an attempt came %.0f ms after its client had left", q.class, a.RequestID, a.At-q.left)
		}
		if left := q.sent + q.budget - a.At; a.RemainingMs > left+150+slack {
			s.fail("%s %s: given %.0f ms, of which %.0f were left", q.class, a.RequestID, a.RemainingMs, left)
		}
		if q.class == "claim" && q.word == "full" && a.Answer == "served" {
			s.fail("claim %s: refused as harmless, and it ran", a.RequestID)
		}
		if a.IdempotencyKey != "" && a.Answer != "overload" && a.Answer != "not_here" {
			first, known := firsts[a.RequestID+a.IdempotencyKey]
			if !known {
				firsts[a.RequestID+a.IdempotencyKey] = a.At
			} else if a.At > first+clock.Ms(s.plan.window)+slack {
				s.fail("report %s: repeated %.0f ms after its first attempt", a.RequestID, a.At-first)
			}
		}
	}
}
