package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// cold is a fleet of routers that all send to a cache, or to a parent, which has just started.
type cold struct {
	set     Settings
	members Members
	id      CacheID
	parent  bool
	fall    WarmUp
	weight  float64
	from    Time
	took    time.Duration
	rng     *rand.Rand
	routers []*Router
	at      []Time // when an attempt or a fill reached the one that started
}

func newCold(seed uint64, routers int, parent bool, weight float64, took time.Duration) *cold {
	c := &cold{
		set: settings(), members: fleet(), id: 1, parent: parent, weight: weight, from: time.Minute, took: took,
		rng: rand.New(rand.NewPCG(seed, 9)), routers: make([]*Router, routers),
	}
	c.set.Routers, c.set.ZoneRouters = routers, []int{0, 0, routers}
	c.fall = c.set.CacheWarmUp
	cold := 0
	if parent {
		c.id, c.fall, cold = 11, c.set.ParentWarmUp, 3
	} else {
		c.members.Entries = append(c.members.Entries[:1], c.members.Entries[3:]...)
	}
	c.members.Entries[cold].Weight, c.members.Entries[cold].Started = weight, c.from
	return c
}

// allowed is how many requests of mean work the settings let the server get in the time they name, at a time.
func (c *cold) allowed(now Time) float64 {
	warm := min(1, float64(now-c.from)/float64(c.fall.Duration))
	return c.fall.OverloadMultiple * (c.fall.InitialCapacity + (1-c.fall.InitialCapacity)*warm) * c.weight * c.fall.OverloadWindow.Seconds() / c.took.Seconds()
}

// over is the share of windows, one begun every 20 ms, in which the server got more than n + 2 roots of n + 2, and the most
// that one had of that.
func (c *cold) over(until Time) (share, worst float64) {
	windows, bad, first, last := 0, 0, 0, 0
	for begin := c.from; begin+c.fall.OverloadWindow <= until; begin += 20 * ms {
		for last < len(c.at) && c.at[last] < begin+c.fall.OverloadWindow {
			last++
		}
		for first < last && c.at[first] < begin {
			first++
		}
		n := c.allowed(begin) // the least within the window
		line := n + 2*math.Sqrt(n) + 2
		if windows++; float64(last-first) > line {
			bad++
		}
		worst = math.Max(worst, float64(last-first)/line)
	}
	return float64(bad) / float64(windows), worst
}

// start has a router begin anew: it is told of the server's start, as by the events of the start.
func (c *cold) start(t *testing.T, i int, now Time) {
	r, err := New(c.set, c.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	r.Handle(now, c.members, nil)
	// What limits of its own leave of a request is no part of this: the budget alone has to hold.
	for _, x := range append([]*server{r.link}, r.ordered...) {
		x.Limit = 1e6
	}
	c.routers[i] = r
}

// play has the routers asked for ten times what the server may get, some for ten times as much as others, and restarts so
// many of them a second, as a share. Until quiet is over nobody asks for anything.
func (c *cold) play(t *testing.T, length, quiet time.Duration, restarts float64) {
	const step = 10 * ms
	rate, total := make([]float64, len(c.routers)), 0.0
	for i := range rate {
		c.start(t, i, c.from)
		rate[i] = math.Pow(10, c.rng.Float64())
		total += rate[i]
	}
	offered := min(2000, 10*c.allowed(c.from+c.fall.Duration)/c.fall.OverloadWindow.Seconds()) * step.Seconds()
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
				if c.parent && g.Source != g.Cache {
					note = NoteFilled
				}
				if !c.parent && g.Cache == c.id || c.parent && g.Source == c.id {
					c.at = append(c.at, now)
				}
				r.Handle(now, Outcome{ID: q.ID, Cache: g.Cache, Result: OK, Note: note, Latency: c.took, Final: true}, nil)
			}
		}
	}
}

// A server that has just started gets no more work from all routers together than its budget n and
// 2*sqrt(n+2), in any window of the budget: from twenty routers to three hundred, with uneven demand, with
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
					c := newCold(seed, routers, parent, weight, 300*ms)
					c.play(t, length, quiet, restarts)
					share, worst := c.over(c.from + length)
					t.Logf("%d routers, parent %v, %.1f allowed at first, restarts %v, quiet for %v: %.4f of the windows over, at most %.2f of the line, %d sent",
						routers, parent, c.allowed(c.from), restarts, quiet, share, worst, len(c.at))
					if share > 0 {
						t.Errorf("%d routers, parent %v, weight %v, restarts %v, quiet for %v: %.4f of the windows are over the line, the worst %.2f times",
							routers, parent, weight, restarts, quiet, share, worst)
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
					c := newCold(uint64(routers), routers, parent, weight, 430*ms)
					c.set.CacheWarmUp, c.set.ParentWarmUp, c.fall = short, shortParent, short
					if parent {
						c.fall = shortParent
					}
					const length = 8 * time.Second
					c.play(t, length, 0, restarts)
					share, worst := c.over(c.from + length)
					t.Logf("%d routers, parent %v, weight %v, restarts %v: %.1f allowed at first, at most %.2f of the line, %d sent",
						routers, parent, weight, restarts, c.allowed(c.from), worst, len(c.at))
					if share > 0 {
						t.Errorf("%d routers, parent %v, weight %v, restarts %v: %.4f of the windows are over the line, the worst %.2f times",
							routers, parent, weight, restarts, share, worst)
					}
				}
			}
		}
	}
}
