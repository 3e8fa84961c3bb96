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
	set          Settings
	members      Members
	id           ServerID
	parent       bool
	warmUp       WarmUp
	weight       float64
	from         Time
	transferTime time.Duration
	rng          *rand.Rand
	routers      []*Router
	arrivals     []Time // when an attempt or a fill reached the one that started
}

func newWarmUpFleet(seed uint64, routers int, parent bool, weight float64, transferTime time.Duration) *warmUpFleet {
	c := &warmUpFleet{
		set: settings(), members: fleet(), id: 1, parent: parent, weight: weight, from: time.Minute, transferTime: transferTime,
		rng: rand.New(rand.NewPCG(seed, 9)), routers: make([]*Router, routers),
	}
	c.set.Routers, c.set.ZoneRouters = routers, []int{0, 0, routers}
	c.warmUp = c.set.CacheWarmUp
	index := 0
	if parent {
		c.id, c.warmUp, index = 11, c.set.ParentWarmUp, 3
	} else {
		c.members.Entries = append(c.members.Entries[:1], c.members.Entries[3:]...)
	}
	c.members.Entries[index].Weight, c.members.Entries[index].Started = weight, c.from
	return c
}

// allowed is how many requests of mean work the settings let the server get in a window at the given time.
func (c *warmUpFleet) allowed(now Time) float64 {
	warm := min(1, float64(now-c.from)/float64(c.warmUp.Duration))
	return c.warmUp.OverloadMultiple * (c.warmUp.InitialCapacity + (1-c.warmUp.InitialCapacity)*warm) * c.weight * c.warmUp.OverloadWindow.Seconds() / c.transferTime.Seconds()
}

// over is the fraction of windows, one begun every 20 ms, in which the server got more than n + 2*sqrt(n) + 2
// requests, and the highest ratio to that bound.
func (c *warmUpFleet) over(until Time) (fraction, worst float64) {
	windows, bad, first, last := 0, 0, 0, 0
	for begin := c.from; begin+c.warmUp.OverloadWindow <= until; begin += 20 * ms {
		for last < len(c.arrivals) && c.arrivals[last] < begin+c.warmUp.OverloadWindow {
			last++
		}
		for first < last && c.arrivals[first] < begin {
			first++
		}
		n := c.allowed(begin) // the smallest value within the window
		line := n + 2*math.Sqrt(n) + 2
		if windows++; float64(last-first) > line {
			bad++
		}
		worst = math.Max(worst, float64(last-first)/line)
	}
	return float64(bad) / float64(windows), worst
}

// startRouter replaces a router by a new one that gets the members, with the start time of the server.
func (c *warmUpFleet) start(t *testing.T, i int, now Time) {
	r, err := New(c.set, c.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	r.Handle(now, c.members, nil)
	// High limits, so that only the budget counts.
	for _, x := range append([]*server{r.link}, r.serversByID...) {
		x.Limit = 1e6
	}
	c.routers[i] = r
}

// play sends the routers ten times the work that the server may get, to some ten times as much as to others,
// and restarts the given fraction of them a second. There are no requests until quiet has passed.
func (c *warmUpFleet) play(t *testing.T, length, quiet time.Duration, restarts float64) {
	const step = 10 * ms
	rate, total := make([]float64, len(c.routers)), 0.0
	for i := range rate {
		c.start(t, i, c.from)
		rate[i] = math.Pow(10, c.rng.Float64())
		total += rate[i]
	}
	offered := min(2000, 10*c.allowed(c.from+c.warmUp.Duration)/c.warmUp.OverloadWindow.Seconds()) * step.Seconds()
	n := 0
	for now := c.from; now < c.from+length; now += step {
		for i, r := range c.routers {
			if c.rng.Float64() < restarts*step.Seconds() {
				c.start(t, i, now)
				r = c.routers[i]
			}
			for want := offered*rate[i]/total + c.rng.Float64(); want >= 1 && now >= c.from+quiet; want-- {
				n++
				q := Request{ID: fmt.Sprint(n), Object: fmt.Sprint(n), TimeLeft: 3 * time.Second, Group: 1}
				g, ok := find[Fetch](r.Handle(now, q, nil))
				if !ok {
					continue
				}
				note := NoteHit
				if c.parent && g.Source != g.Server {
					note = NoteFilled
				}
				if !c.parent && g.Server == c.id || c.parent && g.Source == c.id {
					c.arrivals = append(c.arrivals, now)
				}
				r.Handle(now, Outcome{ID: q.ID, Server: g.Server, Result: OK, Note: note, Latency: c.transferTime, Final: true}, nil)
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
				for _, c := range []struct {
					restarts float64
					quiet    time.Duration
				}{{}, {restarts: 0.3}, {quiet: 4 * time.Second}} {
					seed, length, restarts, quiet := uint64(routers), 8*time.Second, c.restarts, c.quiet
					c := newWarmUpFleet(seed, routers, parent, weight, 300*ms)
					c.play(t, length, quiet, restarts)
					fraction, worst := c.over(c.from + length)
					t.Logf("%d routers, parent %v, %.1f allowed at first, restarts %v, quiet for %v: %.4f of the windows over, at most %.2f of the bound, %d sent",
						routers, parent, c.allowed(c.from), restarts, quiet, fraction, worst, len(c.arrivals))
					if fraction > 0 {
						t.Errorf("%d routers, parent %v, weight %v, restarts %v, quiet for %v: %.4f of the windows are over the bound, the worst %.2f times",
							routers, parent, weight, restarts, quiet, fraction, worst)
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
					c := newWarmUpFleet(uint64(routers), routers, parent, weight, 430*ms)
					c.set.CacheWarmUp, c.set.ParentWarmUp, c.warmUp = short, shortParent, short
					if parent {
						c.warmUp = shortParent
					}
					const length = 8 * time.Second
					c.play(t, length, 0, restarts)
					fraction, worst := c.over(c.from + length)
					t.Logf("%d routers, parent %v, weight %v, restarts %v: %.1f allowed at first, at most %.2f of the line, %d sent",
						routers, parent, weight, restarts, c.allowed(c.from), worst, len(c.arrivals))
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
			set := settings()
			set.Routers, set.ZoneRouters = routers, []int{0, 0, routers}
			m := fleet()
			m.Entries = append(m.Entries[:1], m.Entries[5])
			m.Entries[0].Started = time.Minute
			var all []*Router
			for i := range routers {
				r, err := New(set, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				r.Handle(time.Minute, m, nil)
				all = append(all, r)
			}
			var sent []int // by step
			for n := range 80 {
				now := time.Minute + time.Duration(n)*step
				sent = append(sent, 0)
				for i, r := range all {
					for k := range max(2, 60/routers) {
						id := fmt.Sprint(n, i, k)
						acts := r.Handle(now, newRequest(id, id), nil)
						if g, ok := find[Fetch](acts); ok && g.Server == 1 {
							sent[n]++
							r.Handle(now, Outcome{ID: id, Server: 1, Result: OK, Note: NoteHit, Latency: latency}, nil)
						}
					}
				}
				work := 0.0
				for _, s := range sent[max(0, n-19):] {
					work += latency.Seconds() * float64(s)
				}
				capacity := 10 * (0.2 + 0.8*float64(n)*step.Seconds()/16)
				if budget := 3 * capacity * 2; work > budget || n == 79 && work < budget/4 {
					t.Fatalf("at %v it got work of %.1f s in 2 s, budget %.1f", now-time.Minute, work, budget)
				}
			}
		})
	}
}
