package policy

import (
	"fmt"
	"testing"
	"time"
)

// A fleet whose links hold hundreds of transfers was turned away at the limits of one that holds ten.
func TestLimitsScaleWithLinks(t *testing.T) {
	for _, c := range []struct {
		weight float64
		most   int // requests refused of 100 that come at once
		least  int
	}{{weight: 10, least: 50, most: 100}, {weight: 200, most: 0}} {
		r, err := New(Settings{
			Routers: 1, ParentKind: 1, OriginKind: 2, Details: DetailAll, MaxTries: 4, WeightsTold: true,
			Classes: []Class{{Target: 300 * time.Millisecond, Deadline: 3 * time.Second, Worth: 1}},
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(1, Members{Kind: ListWhole, Entries: []Member{
			{ID: 1, Weight: c.weight}, {ID: 11, Kind: 1, Weight: 4 * c.weight}, {ID: 20, Kind: 2, Weight: 1},
		}}, nil)
		refused := 0
		for i := range 100 {
			e := Request{ID: fmt.Sprint(i), Object: fmt.Sprint(i), Left: time.Second, Group: -1}
			for _, a := range r.Handle(2, e, nil) {
				if _, ok := a.(Refuse); ok {
					refused++
				}
			}
		}
		if refused < c.least || refused > c.most {
			t.Errorf("links of %v: refused %d of 100, want %d to %d", c.weight, refused, c.least, c.most)
		}
	}
}

// BenchmarkOneOfTenThousand is a change of one member of a large fleet: it holds up every request meanwhile.
func BenchmarkOneOfTenThousand(b *testing.B) {
	r, err := New(Settings{Routers: 1, ParentKind: 1, OriginKind: 2, Classes: []Class{{Deadline: time.Second}}}, 7)
	if err != nil {
		b.Fatal(err)
	}
	var list []Member
	for id := range 10_000 {
		list = append(list, Member{ID: CacheID(id), Zone: id % 20, Weight: 4})
	}
	r.Handle(1, Members{Kind: ListWhole, Entries: list}, nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m := list[i*37%len(list)]
		m.State = State(i % 3)
		r.Handle(Time(i), Members{Entries: []Member{m}}, nil)
	}
}
