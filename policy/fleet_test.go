package policy

import (
	"fmt"
	"testing"
	"time"
)

// Limits grow with the capacity of the caches' links, so that larger links get more of a burst of requests.
func TestLimitsScaleWithLinkCapacity(t *testing.T) {
	for _, test := range []struct {
		weight      float64
		maxRejected int // of 100 requests that arrive at once
		minRejected int
	}{{weight: 10, minRejected: 50, maxRejected: 100}, {weight: 200, maxRejected: 0}} {
		router, err := New(Settings{
			Routers: 1, ParentKind: 1, OriginKind: 2, OutcomeDetail: DetailAll, MaxAttempts: 4, WeightsKnown: true,
			Classes: []Class{{LatencyObjective: 300 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1}},
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		router.Handle(1, Members{Kind: ListFull, Entries: []Member{
			{ID: 1, Weight: test.weight}, {ID: 11, Kind: 1, Weight: 4 * test.weight}, {ID: 20, Kind: 2, Weight: 1},
		}}, nil)
		rejected := 0
		for i := range 100 {
			request := Request{ID: fmt.Sprint(i), Object: fmt.Sprint(i), TimeLeft: time.Second, Group: -1}
			for _, action := range router.Handle(2, request, nil) {
				if _, ok := action.(Reject); ok {
					rejected++
				}
			}
		}
		if rejected < test.minRejected || rejected > test.maxRejected {
			t.Errorf("links of weight %v: %d of 100 requests were rejected, want %d to %d", test.weight, rejected, test.minRejected, test.maxRejected)
		}
	}
}

// Six of ten caches are replaced in one change while the routers start. The caches that are gone get no more
// requests and their open attempts end, and the new caches get no more than their warm-up budget, from one
// router or from seven.
func TestMostCachesReplacedAtOnce(t *testing.T) {
	const latency, step = 300 * ms, 100 * ms
	for _, routers := range []int{1, 7} {
		settings := testSettings()
		settings.Routers, settings.ZoneRouters = routers, []int{0, 0, routers}
		members, changes := testMembers(), Members{Kind: ListChanges}
		members.Entries = members.Entries[3:]
		for id := ServerID(1); id <= 10; id++ {
			members.Entries = append(members.Entries, Member{ID: id, Zone: 2, Weight: 10})
			if id <= 6 {
				changes.Entries = append(changes.Entries, Member{ID: id, Zone: 2, State: Gone},
					Member{ID: id + 30, Zone: 2, Weight: 10, Started: time.Minute})
			}
		}
		var harnesses []*routerHarness
		for i := range routers {
			h := startRouter(t, settings, members)
			h.router.rng = mix(uint64(i))
			open := h.requireFetch(h.handle(newRequest("open", "o")))
			h.handle(changes)
			if h.answer("open", open, NoteHit, latency); len(h.router.requests) > 0 {
				t.Fatal("an attempt that was in flight when the list arrived has not ended")
			}
			harnesses = append(harnesses, h)
		}
		workSent := map[ServerID][]float64{} // by cache and step, in seconds of transfer time
		for stepIndex := range 80 {
			for i, h := range harnesses {
				h.now = time.Minute + time.Duration(stepIndex)*step
				for k := range 60 / routers {
					id := fmt.Sprint(stepIndex, i, k)
					fetch, ok := findAction[Fetch](h.handle(newRequest(id, id)))
					if !ok {
						continue
					} else if fetch.Server <= 6 {
						t.Fatalf("a request was sent to cache %d, which is gone", fetch.Server)
					}
					h.answer(id, fetch, NoteHit, latency)
					if len(workSent[fetch.Server]) == 0 {
						workSent[fetch.Server] = make([]float64, 80)
					}
					workSent[fetch.Server][stepIndex] += latency.Seconds()
				}
			}
			for id, workByStep := range workSent {
				work := 0.0
				for _, stepWork := range workByStep[max(0, stepIndex-19) : stepIndex+1] {
					work += stepWork
				}
				if budget := 3 * 10 * (0.2 + 0.8*float64(stepIndex)*step.Seconds()/16) * 2; id > 30 && work > budget {
					t.Fatalf("%d routers: cache %d got %.1f s of work in 2 s, want at most %.1f s", routers, id, work, budget)
				}
			}
		}
		if len(workSent) != 10 {
			t.Errorf("%d caches got requests, want 10", len(workSent))
		}
	}
}

// With no parent up, fills from the origin stay within the routers' limits, from one router to eighty.
// Requests beyond the limits are still looked up in the caches.
func TestOriginLimitHoldsWithNoParentUp(t *testing.T) {
	for _, routers := range []int{1, 80} {
		settings := testSettings()
		settings.Routers, settings.ZoneRouters = routers, []int{0, 0, min(7, routers)}
		members := testMembers()
		members.Entries = append(members.Entries[:3], members.Entries[5])
		originFills, lookups := 0, 0
		for range routers {
			h := startRouter(t, settings, members)
			for i := range 100 {
				id := fmt.Sprint(i)
				if fetch, ok := findAction[Fetch](h.handle(newRequest(id, id))); ok && fetch.Source == 20 {
					originFills++
				} else if ok && fetch.Source == fetch.Server {
					lookups++
				}
			}
		}
		if originFills < routers || float64(originFills) > max(20, 3*float64(routers)) || lookups == 0 {
			t.Errorf("%d routers: %d fills in flight at the origin, %d lookups in caches without a fill", routers, originFills, lookups)
		}
	}
}

// Each router probes a cache that refuses connections once per probeInterval, from one router to eighty,
// whether it has a request every two seconds or forty requests per second.
func TestDownCacheIsProbedOncePerInterval(t *testing.T) {
	for _, routers := range []int{1, 80} {
		for _, interval := range []time.Duration{25 * ms, 2 * time.Second} {
			settings := testSettings()
			settings.Routers, settings.ZoneRouters = routers, []int{0, 0, min(7, routers)}
			probes := 0
			for range routers {
				h := startRouter(t, settings, testMembers())
				for n := 0; h.now < time.Minute+30*time.Second; n++ {
					id := fmt.Sprint(n)
					fetch, ok := findAction[Fetch](h.handle(newRequest(id, id)))
					if ok && fetch.Server == 1 {
						probes++
						h.handle(Outcome{ID: id, Server: 1, Result: ConnectFailed})
					} else if ok {
						h.answer(id, fetch, NoteHit, 10*ms)
					}
					h.now += interval
				}
			}
			if probes < routers || probes > 7*routers {
				t.Errorf("%d routers with a request every %v: %d attempts in 30 s, want 1 to 7 per router", routers, interval, probes)
			}
		}
	}
}

// BenchmarkMemberChange measures a change of one member in a list of ten thousand.
func BenchmarkMemberChange(b *testing.B) {
	router, err := New(Settings{Routers: 1, ParentKind: 1, OriginKind: 2, Classes: []Class{{Deadline: time.Second}}}, 7)
	if err != nil {
		b.Fatal(err)
	}
	var list []Member
	for id := range 10_000 {
		list = append(list, Member{ID: ServerID(id), Zone: id % 20, Weight: 4})
	}
	router.Handle(1, Members{Kind: ListFull, Entries: list}, nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		member := list[i*37%len(list)]
		member.State = State(i % 3)
		router.Handle(Time(i), Members{Entries: []Member{member}}, nil)
	}
}
