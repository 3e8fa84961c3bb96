package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// warmUpFleet is a fleet of routers that all use a server, a cache or a parent, that has just started.
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
	arrivals     []Time // of attempts or fills at the server that started, in order
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

// budget returns the number of requests of mean work that the settings allow the server to get in a window
// that begins at the given time.
func (f *warmUpFleet) budget(now Time) float64 {
	progress := min(1, float64(now-f.startedAt)/float64(f.warmUp.Duration))
	return f.warmUp.OverloadMultiple * (f.warmUp.InitialCapacity + (1-f.warmUp.InitialCapacity)*progress) * f.weight * f.warmUp.OverloadWindow.Seconds() / f.transferTime.Seconds()
}

// overBudget returns the fraction of windows, one begun every 20 ms, in which the server got more requests
// than the bound n + 2*sqrt(n) + 2, where n is the budget. worst is the highest ratio of requests to that
// bound.
func (f *warmUpFleet) overBudget(until Time) (fraction, worst float64) {
	windows, exceeded, first, last := 0, 0, 0, 0
	for start := f.startedAt; start+f.warmUp.OverloadWindow <= until; start += 20 * ms {
		for last < len(f.arrivals) && f.arrivals[last] < start+f.warmUp.OverloadWindow {
			last++
		}
		for first < last && f.arrivals[first] < start {
			first++
		}
		budget := f.budget(start) // the budget rises, so this is its smallest value in the window
		bound := budget + 2*math.Sqrt(budget) + 2
		if windows++; float64(last-first) > bound {
			exceeded++
		}
		worst = math.Max(worst, float64(last-first)/bound)
	}
	return float64(exceeded) / float64(windows), worst
}

// startRouter replaces a router by a new one that gets the list of members with the start time of the server.
func (f *warmUpFleet) startRouter(t *testing.T, i int, now Time) {
	router, err := New(f.settings, f.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	router.Handle(now, f.members, nil)
	// Limits are high, so that only the budget decides.
	for _, target := range append([]*server{router.link}, router.serversByID...) {
		target.Limit = 1e6
	}
	f.routers[i] = router
}

// run sends requests to the routers: ten times the work that the server may get, unevenly, with up to ten
// times as much for one router as for another. It restarts the given fraction of the routers per second, and
// sends no requests until idle has passed.
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

// A server that has just started gets no more work from all routers together than its bound n + 2*sqrt(n) +
// 2, in any window of the budget n. This holds for twenty to three hundred routers with uneven demand, with
// restarts of routers, and with a burst after an idle time.
func TestWarmUpBudgetHoldsForFleet(t *testing.T) {
	for _, routers := range []int{20, 30, 300} {
		for _, parent := range []bool{false, true} {
			for _, weight := range []float64{1, 4, 20} {
				for _, test := range []struct {
					restarts float64
					idle     time.Duration
				}{{}, {restarts: 0.3}, {idle: 4 * time.Second}} {
					seed, length, restarts, idle := uint64(routers), 8*time.Second, test.restarts, test.idle
					f := newWarmUpFleet(seed, routers, parent, weight, 300*ms)
					f.run(t, length, idle, restarts)
					fraction, worst := f.overBudget(f.startedAt + length)
					t.Logf("%d routers, parent %v, initial budget %.1f, restarts %v/s, idle for %v: fraction %.4f of the windows over the bound, highest ratio %.2f, %d requests",
						routers, parent, f.budget(f.startedAt), restarts, idle, fraction, worst, len(f.arrivals))
					if fraction > 0 {
						t.Errorf("%d routers, parent %v, weight %v, restarts %v/s, idle for %v: fraction %.4f of the windows over the bound, highest ratio %.2f",
							routers, parent, weight, restarts, idle, fraction, worst)
					}
				}
			}
		}
	}
}

// The warm-up budget also holds in a window of 1.5 s. There the budget is about half as large, while each
// router may still overdraw its share by one attempt.
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
					t.Logf("%d routers, parent %v, weight %v, restarts %v/s: initial budget %.1f, highest ratio to the bound %.2f, %d requests",
						routers, parent, weight, restarts, f.budget(f.startedAt), worst, len(f.arrivals))
					if fraction > 0 {
						t.Errorf("%d routers, parent %v, weight %v, restarts %v/s: fraction %.4f of the windows over the bound, highest ratio %.2f",
							routers, parent, weight, restarts, fraction, worst)
					}
				}
			}
		}
	}
}

// All routers of a zone together keep a cache in its warm-up within its budget in any window, even if the
// share of one router is far below one attempt, and still use a good part of the budget.
func TestWarmUpBudgetIsSharedByRouters(t *testing.T) {
	const latency, step = 300 * ms, 100 * ms
	for name, routers := range map[string]int{"one router": 1, "a few routers": 5, "more routers than transfers": 200} {
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
			var sent []int // requests by step
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
					t.Fatalf("%v after its start the cache got %.1f s of work in 2 s, budget %.1f s", now-time.Minute, work, budget)
				}
			}
		})
	}
}
