package multiprocess

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/loadmetrics"
	"ravenwheel/policy"
)

// Result is what a field showed, second by second on one time axis.
type Result struct {
	Scenario Scenario `json:"scenario"`
	Timeline []Fault  `json:"timeline"`
	Windows  []Window `json:"windows"`
	Caches   []Cache  `json:"caches"`
	Agreed   []Agreed `json:"agreed,omitempty"`
	Broken   []string `json:"broken"`
	Missed   []string `json:"missed,omitempty"` // faults that could not be brought about
	P50      float64  `json:"P50"` // ms, of what was served
	P99      float64  `json:"P99"`
	// Spread over windows of 1 s and 5 s: of the whole run, and of the time before the first fault.
	Spread    [2]loadmetrics.Spread `json:"Spread"`
	Calm      [2]loadmetrics.Spread `json:"Calm"`
	Reactions []Reaction            `json:"reactions,omitempty"`
}

// Reaction is how the fleet answered a fault at a cache. Times in seconds from when it began, and from when it ended; -1: it
// did not in the time there was.
type Reaction struct {
	Fault int     `json:"fault"` // in the timeline
	Cache string  `json:"cache"`
	Left  float64 `json:"left_s"`
	Back  float64 `json:"back_s"`
	Surge float64 `json:"surge"` // the most that a second after brought any cache, against its mean before
}

// Window is one second.
type Window struct {
	Asked    int `json:"Asked"`
	Served   int `json:"Served"`
	Refused  int `json:"Refused"`
	Failed   int `json:"Failed"`
	Lost     int `json:"Lost"`
	Attempts int `json:"Attempts"`
	Filled   int `json:"Filled"`
	Up       int `json:"Up"` // processes that run
}

// Cache is the attempts at one cache, by second.
type Cache struct {
	ID       string `json:"ID"`
	Zone     int    `json:"Zone"`
	Attempts []int  `json:"Attempts"`
}

// Agreed is who knew what when: at a second, the least and the most that any process took for alive.
type Agreed struct {
	Second int `json:"Second"`
	Least  int `json:"Least"`
	Most   int `json:"Most"`
}

// Play plays a scenario with a program, in a directory that is left as it is when a rule broke: scenario, timeline, result
// and logs are there, and "replay" plays it again.
func Play(ctx context.Context, s Scenario, bin, dir string, say func(string)) (*Result, error) {
	r := &Result{Scenario: s, Timeline: s.Timeline()}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "scenario.json"), s.JSON(), 0o600); err != nil {
		return nil, err
	}
	f, err := New(Options{
		Bin: bin, Dir: dir, Seed: s.Seed, Zones: s.Zones, Processes: s.Processes, Caches: s.Caches, Parents: s.Parents, Serve: s.Serve,
		Fill: s.Fill, Peers: s.Peers, Objects: s.Objects,
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Start(f.Processes...); err != nil {
		return nil, err
	}
	p := &player{field: f, rng: rand.New(rand.NewPCG(s.Seed, 4)), say: say, result: r, began: f.Clock.Now()}
	stop := f.Traffic(func(*Process) float64 { return s.Rate })
	p.run(ctx, s)
	p.end()
	stop()
	p.sum()
	r.Broken = f.Broken()
	for _, q := range f.Processes {
		for _, w := range f.Client(q).Violations() {
			if !p.struck[q] {
				r.Broken = append(r.Broken, q.Name+": "+w)
			}
		}
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return r, err
	}
	return r, errors.Join(ctx.Err(), os.WriteFile(filepath.Join(dir, "result.json"), append(raw, '\n'), 0o600))
}

// player brings a timeline upon a field.
type player struct {
	field  *Field
	rng    *rand.Rand
	say    func(string)
	result *Result
	began  float64

	mu     sync.Mutex
	struck map[*Process]bool        // killed or stopped: what they held may be lost
	hit    map[int][]policy.CacheID // by fault of the timeline
	links  map[[2]int]Link
	wait   sync.WaitGroup
	last   Window
}

func (p *player) second() float64 { return (p.field.Clock.Now() - p.began) / 1000 }

// run plays to the end of the scenario, a step of what happens at a time and a window a second.
func (p *player) run(ctx context.Context, s Scenario) {
	p.struck, p.links, p.hit = map[*Process]bool{}, map[[2]int]Link{}, map[int][]policy.CacheID{}
	next := 0
	for second := 0; float64(second) < s.Seconds && ctx.Err() == nil; second++ {
		for p.second() < float64(second+1) && ctx.Err() == nil {
			for next < len(p.result.Timeline) && p.result.Timeline[next].At <= p.second() {
				fault := p.result.Timeline[next]
				p.say(fmt.Sprintf("%5.1f s  %s", p.second(), fault))
				p.hit[next] = p.begin(ctx, fault)
				next++
			}
			time.Sleep(10 * time.Millisecond)
		}
		p.window(second)
	}
}

// begin starts a fault, and sees to its end; it returns the caches that it strikes.
func (p *player) begin(ctx context.Context, f Fault) []policy.CacheID {
	some := p.processes(f)
	caches := p.caches(f)
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
		if err := p.bring(ctx, f, some, caches); err != nil && ctx.Err() == nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.result.Missed = append(p.result.Missed, fmt.Sprintf("%s: %v", f, err))
		}
	}()
	if kinds[f.Kind].caches {
		return caches
	}
	return nil
}

func (p *player) lasts(ctx context.Context, f Fault) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(f.For * float64(time.Second))):
	}
}

// bring carries out one fault, and undoes it once it has lasted.
func (p *player) bring(ctx context.Context, f Fault, some []*Process, caches []policy.CacheID) error {
	switch f.Kind {
	case "kill":
		return p.kill(ctx, f, some)
	case "restart":
		return p.restart(some)
	case "stop":
		p.stop(ctx, f, some)
	case "cut", "loss", "jitter", "narrow", "reset":
		p.changeLinks(f, true)
		p.lasts(ctx, f)
		p.changeLinks(f, false)
	case "lose", "crash":
		p.field.Lose(caches...)
		p.lasts(ctx, f)
		return p.field.Return(caches...)
	case "replace":
		return p.replace(caches)
	case "slow", "fail", "silent":
		p.setFault(caches, fleet.Fault{ExtraLatency: f.Size * zeroOne(f.Kind == "slow"), Failing: f.Kind == "fail", Unresponsive: f.Kind == "silent"})
		p.lasts(ctx, f)
		p.setFault(caches, fleet.Fault{})
	case "purge":
		for group := range int(f.Size * fleet.Groups) {
			p.field.Purge("", group)
		}
	case "move":
		return p.moveBoard()
	}
	return nil
}

// kill ends processes at once, and starts them again if the fault has an end.
func (p *player) kill(ctx context.Context, f Fault, some []*Process) error {
	p.strike(some)
	p.field.Kill(some...)
	if f.For <= 0 {
		return nil
	}
	p.lasts(ctx, f)
	return p.field.Start(some...)
}

// restart ends and starts processes one after the other.
func (p *player) restart(some []*Process) error {
	for _, q := range some {
		if err := p.field.Stop(q); err != nil {
			return err
		}
		if err := p.field.Start(q); err != nil {
			return err
		}
	}
	return nil
}

// stop suspends processes, and resumes them once the fault has lasted.
func (p *player) stop(ctx context.Context, f Fault, some []*Process) {
	p.strike(some)
	for _, q := range some {
		q.taken.Store(false)
		_ = q.Signal(syscall.SIGSTOP)
	}
	p.lasts(ctx, f)
	for _, q := range some {
		if q.Signal(syscall.SIGCONT) == nil {
			q.taken.Store(true)
		}
	}
}

// changeLinks sets or clears a fault of the links between two zones, in one direction or in both.
func (p *player) changeLinks(f Fault, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, way := range [][2]int{{f.From, f.To}, {f.To, f.From}} {
		l := p.links[way]
		switch f.Kind {
		case "cut":
			l.Cut = on
		case "loss":
			l.Loss = f.Size * zeroOne(on)
		case "jitter":
			l.Jitter = f.Size * zeroOne(on)
		case "narrow":
			l.Rate = f.Size * zeroOne(on)
		case "reset":
			l.Reset = on
		}
		p.links[way] = l
		p.field.Between(way[0], way[1], l)
		if !f.Both {
			break
		}
	}
}

// replace puts new caches in the place of others, which drain before they leave.
func (p *player) replace(caches []policy.CacheID) error {
	for _, id := range caches {
		if err := p.field.Replace(id); err != nil {
			return err
		}
	}
	time.Sleep(drainFor)
	for _, id := range caches {
		if err := p.field.Remove(id); err != nil {
			return err
		}
	}
	return nil
}

// setFault has the servers of caches behave badly, or well again.
func (p *player) setFault(caches []policy.CacheID, fault fleet.Fault) {
	for _, id := range caches {
		if s := p.field.Fleet.Server(id); s != nil {
			s.SetFault(fault)
		}
	}
}

// moveBoard moves the board to another address, and reloads the processes that run.
func (p *player) moveBoard() error {
	old, err := p.field.Move()
	if err != nil {
		return err
	}
	defer old.Close()
	stopped := func(q *Process) bool { return !q.Running() }
	return p.field.Reload(slices.DeleteFunc(slices.Clone(p.field.Processes), stopped)...)
}

func zeroOne(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// drainFor is how long a cache that is replaced drains before it leaves.
const drainFor = 8 * time.Second

func (p *player) strike(some []*Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range some {
		p.struck[q] = true
	}
}

// processes and caches draw a share of those of a zone, or of all.
func (p *player) processes(f Fault) []*Process {
	if !kinds[f.Kind].share {
		return nil
	}
	var of []*Process
	for _, q := range p.field.Processes {
		if (f.Zone < 0 || q.Zone == f.Zone) && q.taken.Load() {
			of = append(of, q)
		}
	}
	p.rng.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
	return of[:min(len(of), max(1, int(f.Share*float64(len(of))+0.5)))]
}

func (p *player) caches(f Fault) (of []policy.CacheID) {
	if f.Kind == "lose" {
		return p.field.Caches(max(0, f.Zone))
	}
	if !kinds[f.Kind].share {
		return nil
	}
	for z := range p.result.Scenario.Zones {
		if f.Zone < 0 || f.Zone == z {
			of = append(of, p.field.Caches(z)...)
		}
	}
	p.rng.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
	return of[:min(len(of), max(1, int(f.Share*float64(len(of))+0.5)))]
}

// window books a second: what clients got, how many run, and who takes whom for alive.
func (p *player) window(second int) {
	now := p.field.Sum()
	w := Window{Asked: now.Requested, Served: now.Served, Refused: now.Rejected - now.Retried, Failed: now.Failed, Lost: now.Lost}
	d := Window{Asked: w.Asked - p.last.Asked, Served: w.Served - p.last.Served, Refused: w.Refused - p.last.Refused, Failed: w.Failed - p.last.Failed, Lost: w.Lost - p.last.Lost}
	p.last = w
	least, most := len(p.field.Processes)+1, 0
	var mu sync.Mutex
	_ = Each(p.field.Processes, func(q *Process) error {
		if !q.Running() {
			return nil
		}
		mu.Lock()
		d.Up++
		mu.Unlock()
		if !p.result.Scenario.Peers || !q.taken.Load() {
			return nil
		}
		status, err := q.Brief()
		if err != nil {
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		least, most = min(least, status.Alive), max(most, status.Alive)
		return nil
	})
	p.result.Windows = append(p.result.Windows, d)
	if most > 0 {
		p.result.Agreed = append(p.result.Agreed, Agreed{second, least, most})
	}
}

// end lets what is under way come to its end.
func (p *player) end() { p.wait.Wait() }

// sum makes of what the caches saw the attempts by second, and how evenly they fell.
func (p *player) sum() {
	r := p.result
	zones, seconds := map[policy.CacheID]int{}, len(r.Windows)
	for z := range r.Scenario.Zones {
		for _, id := range p.field.Caches(z) {
			zones[id] = z
		}
	}
	by := map[policy.CacheID][]int{}
	var attempts []loadmetrics.Attempt
	for _, s := range p.field.Fleet.Observations() {
		if !s.Probe {
			attempts = append(attempts, loadmetrics.Attempt{At: (s.At - p.began) / 1000, Cache: s.Server})
		}
		second := int((s.At - p.began) / 1000)
		if s.Probe || s.Server >= firstParent || second < 0 || second >= seconds {
			continue
		}
		if by[s.Server] == nil {
			by[s.Server] = make([]int, seconds)
		}
		by[s.Server][second]++
		r.Windows[second].Attempts++
		if s.Why == "pulled" || s.Why == "pulled_far" {
			r.Windows[second].Filled++
		}
	}
	for id, n := range by {
		z, listed := zones[id]
		if !listed {
			z = -1 // it has left
		}
		r.Caches = append(r.Caches, Cache{serverlist.FormatID(id), z, n})
	}
	slices.SortFunc(r.Caches, func(a, b Cache) int { return cmp.Or(a.Zone-b.Zone, cmp.Compare(a.ID, b.ID)) })
	took := p.field.Took()
	r.P50, r.P99 = float64(took.ValueAtQuantile(50))/1000, float64(took.ValueAtQuantile(99))/1000
	p.weigh(attempts)
}

// weigh measures how evenly load fell, and how the fleet answered each fault at caches.
func (p *player) weigh(attempts []loadmetrics.Attempt) {
	r, caches := p.result, map[policy.CacheID]loadmetrics.Cache{}
	for _, m := range p.field.Members() {
		if m.Kind == kindCache && m.State == policy.Ready {
			caches[m.ID] = loadmetrics.Cache{Zone: m.Zone, Weight: m.Weight}
		}
	}
	end := float64(len(r.Windows))
	calm := end
	if len(r.Timeline) > 0 {
		calm = r.Timeline[0].At
	}
	trace := loadmetrics.NewTrace(attempts, caches)
	for i, span := range []float64{1, 5} {
		r.Spread[i] = trace.Spread(0, end, span)
		// What a cold start has to fill is left out.
		r.Calm[i] = trace.Spread(min(warmUp, calm/2), calm, span)
	}
	none := func(x float64) float64 {
		if math.IsNaN(x) {
			return -1
		}
		return x
	}
	for i, f := range r.Timeline {
		next := end
		if i+1 < len(r.Timeline) {
			next = r.Timeline[i+1].At // what comes then has effects of its own
		}
		for _, id := range p.hit[i] {
			if _, there := caches[id]; !there {
				continue // replaced
			}
			ended := min(f.At+f.For, next)
			r.Reactions = append(r.Reactions, Reaction{
				Fault: i, Cache: serverlist.FormatID(id), Left: none(trace.TimeToAbandon(id, f.At, ended)), Back: none(trace.TimeToRestore(id, f.At, ended, next)),
				Surge: trace.Surge(f.At),
			})
		}
	}
}

// warmUp seconds at most are left out of what counts as calm.
const warmUp = 10.0
