package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// warmUpFleet is a fleet of routers that all use a cache, or a parent, which has just started.
type warmUpFleet struct {
	settings     Settings
	members      Members
	startedID    ServerID
	parent       bool
	warmUp       WarmUp
	weight       float64
	startedAt    Time
	transferTime time.Duration
	rng          *rand.Rand
	routers      []*Router
	arrivals     []Time // when an attempt or a fill reached the one that started
}

func newWarmUpFleet(seed uint64, routers int, parent bool, weight float64, transferTime time.Duration) *warmUpFleet {
	f := &warmUpFleet{
		settings: testSettings(), members: testMembers(), startedID: 1, parent: parent, weight: weight, startedAt: time.Minute, transferTime: transferTime,
		rng: rand.New(rand.NewPCG(seed, 9)), routers: make([]*Router, routers),
	}
	f.settings.Routers, f.settings.ZoneRouters = routers, []int{0, 0, routers}
	f.warmUp = f.settings.CacheWarmUp
	index := 0
	if parent {
		f.startedID, f.warmUp, index = 11, f.settings.ParentWarmUp, 3
	} else {
		f.members.Entries = append(f.members.Entries[:1], f.members.Entries[3:]...)
	}
	f.members.Entries[index].Weight, f.members.Entries[index].Started = weight, f.startedAt
	return f
}

// budget is how many requests of mean work the settings let the server get in a window at the given time.
func (f *warmUpFleet) budget(now Time) float64 {
	progress := min(1, float64(now-f.startedAt)/float64(f.warmUp.Duration))
	return f.warmUp.OverloadMultiple * (f.warmUp.InitialCapacity + (1-f.warmUp.InitialCapacity)*progress) * f.weight * f.warmUp.OverloadWindow.Seconds() / f.transferTime.Seconds()
}

// overBudget is the fraction of windows, one begun every 20 ms, in which the server got more than n + 2*sqrt(n) + 2
// requests, and the highest ratio to that bound.
func (f *warmUpFleet) overBudget(until Time) (fraction, worst float64) {
	windows, exceeded, first, last := 0, 0, 0, 0
	for start := f.startedAt; start+f.warmUp.OverloadWindow <= until; start += 20 * ms {
		for last < len(f.arrivals) && f.arrivals[last] < start+f.warmUp.OverloadWindow {
			last++
		}
		for first < last && f.arrivals[first] < start {
			first++
		}
		budget := f.budget(start) // the smallest value within the window
		bound := budget + 2*math.Sqrt(budget) + 2
		if windows++; float64(last-first) > bound {
			exceeded++
		}
		worst = math.Max(worst, float64(last-first)/bound)
	}
	return float64(exceeded) / float64(windows), worst
}

// startRouter replaces a router by a new one that gets the members, with the start time of the server.
func (f *warmUpFleet) startRouter(t *testing.T, i int, now Time) {
	router, err := New(f.settings, f.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	router.Handle(now, f.members, nil)
	// High limits, so that only the budget counts.
	for _, target := range append([]*server{router.link}, router.serversByID...) {
		target.Limit = 1e6
	}
	f.routers[i] = router
}

// run sends the routers ten times the work that the server may get, to some ten times as much as to others,
// and restarts the given fraction of them a second. There are no requests until quiet has passed.
func (f *warmUpFleet) run(t *testing.T, length, idle time.Duration, restarts float64) {
	const step = 10 * ms
	demand, totalDemand := make([]float64, len(f.routers)), 0.0
	for i := range demand {
		f.startRouter(t, i, f.startedAt)
		demand[i] = math.Pow(10, f.rng.Float64())
		totalDemand += demand[i]
	}
	offeredPerStep := min(2000, 10*f.budget(f.startedAt+f.warmUp.Duration)/f.warmUp.OverloadWindow.Seconds()) * step.Seconds()
	sent := 0
	for now := f.startedAt; now < f.startedAt+length; now += step {
		for i, router := range f.routers {
			if f.rng.Float64() < restarts*step.Seconds() {
				f.startRouter(t, i, now)
				router = f.routers[i]
			}
			for due := offeredPerStep*demand[i]/totalDemand + f.rng.Float64(); due >= 1 && now >= f.startedAt+idle; due-- {
				sent++
				request := Request{ID: fmt.Sprint(sent), Object: fmt.Sprint(sent), TimeLeft: 3 * time.Second, Group: 1}
				fetch, ok := findAction[Fetch](router.Handle(now, request, nil))
				if !ok {
					continue
				}
				note := NoteHit
				if f.parent && fetch.Source != fetch.Server {
					note = NoteFilled
				}
				if !f.parent && fetch.Server == f.startedID || f.parent && fetch.Source == f.startedID {
					f.arrivals = append(f.arrivals, now)
				}
				router.Handle(now, Outcome{ID: request.ID, Server: fetch.Server, Result: OK, Note: note, Latency: f.transferTime, Final: true}, nil)
			}
		}
	}
}

// A server that has just started gets no more work from all routers together than its budget n +
// 2*sqrt(n) + 2, in any window of the budget: from twenty routers to three hundred, with uneven demand, with
// restarts, and all at once after a quiet time.
func TestWarmUpBudgetHoldsForFleet(t *testing.T) {
	for _, routers := range []int{20, 30, 300} {
		for _, parent := range []bool{false, true} {
			for _, weight := range []float64{1, 4, 20} {
				for _, test := range []struct {
					restarts float64
					quiet    time.Duration
				}{{}, {restarts: 0.3}, {quiet: 4 * time.Second}} {
					seed, length, restarts, idle := uint64(routers), 8*time.Second, test.restarts, test.quiet
					f := newWarmUpFleet(seed, routers, parent, weight, 300*ms)
					f.run(t, length, idle, restarts)
					fraction, worst := f.overBudget(f.startedAt + length)
					t.Logf("%d routers, parent %v, %.1f allowed at first, restarts %v, quiet for %v: %.4f of the windows over, at most %.2f of the bound, %d sent",
						routers, parent, f.budget(f.startedAt), restarts, idle, fraction, worst, len(f.arrivals))
					if fraction > 0 {
						t.Errorf("%d routers, parent %v, weight %v, restarts %v, quiet for %v: %.4f of the windows are over the bound, the worst %.2f times",
							routers, parent, weight, restarts, idle, fraction, worst)
					}
				}
			}
		}
	}
}

// The warm-up budget also holds in a window of 1.5 s, where it is half as large while each router may still
// overdraw it by one attempt.
func TestWarmUpBudgetHoldsInShortWindow(t *testing.T) {
	short := WarmUp{InitialCapacity: 0.2, Duration: 17 * time.Second, OverloadMultiple: 2.5, OverloadWindow: 1500 * ms}
	shortParent := WarmUp{InitialCapacity: 0.063, Duration: 21 * time.Second, OverloadMultiple: 2, OverloadWindow: 1500 * ms}
	for _, routers := range []int{3, 5, 20, 300} {
		for _, parent := range []bool{false, true} {
			for _, weight := range []float64{4, 12, 30} {
				for _, restarts := range []float64{0, 0.3} {
					f := newWarmUpFleet(uint64(routers), routers, parent, weight, 430*ms)
					f.settings.CacheWarmUp, f.settings.ParentWarmUp, f.warmUp = short, shortParent, short
					if parent {
						f.warmUp = shortParent
					}
					const length = 8 * time.Second
					f.run(t, length, 0, restarts)
					fraction, worst := f.overBudget(f.startedAt + length)
					t.Logf("%d routers, parent %v, weight %v, restarts %v: %.1f allowed at first, at most %.2f of the line, %d sent",
						routers, parent, weight, restarts, f.budget(f.startedAt), worst, len(f.arrivals))
					if fraction > 0 {
						t.Errorf("%d routers, parent %v, weight %v, restarts %v: %.4f of the windows are over the bound, the worst %.2f times",
							routers, parent, weight, restarts, fraction, worst)
					}
				}
			}
		}
	}
}

// All routers of a zone together keep a warming cache within its budget in any window, also where the part of
// one router is far below one attempt, and still use most of the budget.
func TestWarmUpBudgetIsSharedByRouters(t *testing.T) {
	const latency, step = 300 * ms, 100 * ms
	for name, routers := range map[string]int{"one": 1, "a few": 5, "more than its transfers": 200} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Routers, settings.ZoneRouters = routers, []int{0, 0, routers}
			members := testMembers()
			members.Entries = append(members.Entries[:1], members.Entries[5])
			members.Entries[0].Started = time.Minute
			var allRouters []*Router
			for i := range routers {
				router, err := New(settings, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				router.Handle(time.Minute, members, nil)
				allRouters = append(allRouters, router)
			}
			var sent []int // by step
			for stepIndex := range 80 {
				now := time.Minute + time.Duration(stepIndex)*step
				sent = append(sent, 0)
				for i, router := range allRouters {
					for k := range max(2, 60/routers) {
						id := fmt.Sprint(stepIndex, i, k)
						actions := router.Handle(now, newRequest(id, id), nil)
						if fetch, ok := findAction[Fetch](actions); ok && fetch.Server == 1 {
							sent[stepIndex]++
							router.Handle(now, Outcome{ID: id, Server: 1, Result: OK, Note: NoteHit, Latency: latency}, nil)
						}
					}
				}
				work := 0.0
				for _, count := range sent[max(0, stepIndex-19):] {
					work += latency.Seconds() * float64(count)
				}
				capacity := 10 * (0.2 + 0.8*float64(stepIndex)*step.Seconds()/16)
				if budget := 3 * capacity * 2; work > budget || stepIndex == 79 && work < budget/4 {
					t.Fatalf("at %v it got work of %.1f s in 2 s, budget %.1f", now-time.Minute, work, budget)
				}
			}
		})
	}
}
