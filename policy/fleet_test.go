package policy

import (
	"fmt"
	"testing"
	"time"
)

// Limits grow with the capacity of the caches' links.
func TestLimitsScaleWithLinkCapacity(t *testing.T) {
	for _, c := range []struct {
		weight float64
		most   int // requests rejected of 100 that arrive at once
		least  int
	}{{weight: 10, least: 50, most: 100}, {weight: 200, most: 0}} {
		r, err := New(Settings{
			Routers: 1, ParentKind: 1, OriginKind: 2, OutcomeDetail: DetailAll, MaxAttempts: 4, WeightsKnown: true,
			Classes: []Class{{LatencyObjective: 300 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1}},
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(1, Members{Kind: ListFull, Entries: []Member{
			{ID: 1, Weight: c.weight}, {ID: 11, Kind: 1, Weight: 4 * c.weight}, {ID: 20, Kind: 2, Weight: 1},
		}}, nil)
		refused := 0
		for i := range 100 {
			e := Request{ID: fmt.Sprint(i), Object: fmt.Sprint(i), TimeLeft: time.Second, Group: -1}
			for _, a := range r.Handle(2, e, nil) {
				if _, ok := a.(Reject); ok {
					refused++
				}
			}
		}
		if refused < c.least || refused > c.most {
			t.Errorf("links of %v: rejected %d of 100, want %d to %d", c.weight, refused, c.least, c.most)
		}
	}
}

// Six caches in ten are replaced in one change while the routers start: those that are gone get nothing more,
// what is open there ends, and the new ones get no more than their warm-up budget from one router or seven.
func TestMostCachesReplacedAtOnce(t *testing.T) {
	const latency, step = 300 * ms, 100 * ms
	for _, routers := range []int{1, 7} {
		set := settings()
		set.Routers, set.ZoneRouters = routers, []int{0, 0, routers}
		m, changes := fleet(), Members{Kind: ListChanges}
		m.Entries = m.Entries[3:]
		for id := ServerID(1); id <= 10; id++ {
			m.Entries = append(m.Entries, Member{ID: id, Zone: 2, Weight: 10})
			if id <= 6 {
				changes.Entries = append(changes.Entries, Member{ID: id, Zone: 2, State: Gone},
					Member{ID: id + 30, Zone: 2, Weight: 10, Started: time.Minute})
			}
		}
		var all []*script
		for i := range routers {
			s := startRouter(t, set, m)
			s.r.rng = mix(uint64(i))
			open := s.fetch(s.handle(newRequest("open", "o")))
			s.handle(changes)
			if s.answer("open", open, NoteHit, latency); len(s.r.requests) > 0 {
				t.Fatal("an attempt open when the list arrived has not ended")
			}
			all = append(all, s)
		}
		sent := map[ServerID][]float64{} // by step
		for n := range 80 {
			for i, s := range all {
				s.now = time.Minute + time.Duration(n)*step
				for k := range 60 / routers {
					id := fmt.Sprint(n, i, k)
					g, ok := find[Fetch](s.handle(newRequest(id, id)))
					if !ok {
						continue
					} else if g.Server <= 6 {
						t.Fatalf("sent to %d, which is gone", g.Server)
					}
					s.answer(id, g, NoteHit, latency)
					if len(sent[g.Server]) == 0 {
						sent[g.Server] = make([]float64, 80)
					}
					sent[g.Server][n] += latency.Seconds()
				}
			}
			for id, by := range sent {
				work := 0.0
				for _, s := range by[max(0, n-19) : n+1] {
					work += s
				}
				if budget := 3 * 10 * (0.2 + 0.8*float64(n)*step.Seconds()/16) * 2; id > 30 && work > budget {
					t.Fatalf("%d routers: %d got work of %.1f s in 2 s, budget %.1f", routers, id, work, budget)
				}
			}
		}
		if len(sent) != 10 {
			t.Errorf("%d of 10 caches were used", len(sent))
		}
	}
}

// With no parent up, fills from the origin keep to the routers' limits, from one router to eighty, and other
// requests are still looked up in the caches.
func TestOriginLimitHoldsWithNoParentUp(t *testing.T) {
	for _, routers := range []int{1, 80} {
		set := settings()
		set.Routers, set.ZoneRouters = routers, []int{0, 0, min(7, routers)}
		m := fleet()
		m.Entries = append(m.Entries[:3], m.Entries[5])
		out, lookups := 0, 0
		for range routers {
			s := startRouter(t, set, m)
			for i := range 100 {
				id := fmt.Sprint(i)
				if g, ok := find[Fetch](s.handle(newRequest(id, id))); ok && g.Source == 20 {
					out++
				} else if ok && g.Source == g.Server {
					lookups++
				}
			}
		}
		if out < routers || float64(out) > max(20, 3*float64(routers)) || lookups == 0 {
			t.Errorf("%d routers: %d in flight at the origin, %d cached lookups", routers, out, lookups)
		}
	}
}

// A cache that refuses connections is probed by each router once per probe interval, from one router to
// eighty, whether a router has a request every two seconds or forty a second.
func TestDownCacheIsProbedOncePerInterval(t *testing.T) {
	for _, routers := range []int{1, 80} {
		for _, every := range []time.Duration{25 * ms, 2 * time.Second} {
			set := settings()
			set.Routers, set.ZoneRouters = routers, []int{0, 0, min(7, routers)}
			tried := 0
			for range routers {
				s := startRouter(t, set, fleet())
				for n := 0; s.now < time.Minute+30*time.Second; n++ {
					id := fmt.Sprint(n)
					g, ok := find[Fetch](s.handle(newRequest(id, id)))
					if ok && g.Server == 1 {
						tried++
						s.handle(Outcome{ID: id, Server: 1, Result: ConnectFailed})
					} else if ok {
						s.answer(id, g, NoteHit, 10*ms)
					}
					s.now += every
				}
			}
			if tried < routers || tried > 7*routers {
				t.Errorf("%d routers, a request in %v: %d tries in 30 s", routers, every, tried)
			}
		}
	}
}

// BenchmarkMemberChange applies a change of one member of a fleet of ten thousand.
func BenchmarkMemberChange(b *testing.B) {
	r, err := New(Settings{Routers: 1, ParentKind: 1, OriginKind: 2, Classes: []Class{{Deadline: time.Second}}}, 7)
	if err != nil {
		b.Fatal(err)
	}
	var list []Member
	for id := range 10_000 {
		list = append(list, Member{ID: ServerID(id), Zone: id % 20, Weight: 4})
	}
	r.Handle(1, Members{Kind: ListFull, Entries: list}, nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m := list[i*37%len(list)]
		m.State = State(i % 3)
		r.Handle(Time(i), Members{Entries: []Member{m}}, nil)
	}
}
