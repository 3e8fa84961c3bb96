package distribution_test

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/distribution"
)

// zone is some distributors and many subscribers in one goroutine; each message takes 20 ms.
type zone struct {
	now   float64
	queue events
	order int
	dists map[string]*distribution.Distributor
	dead  map[string]bool
	subs  []*distribution.Subscriber
	links map[distribution.Link]expiryHeap // by the distributor's number
	next  distribution.Link
	wakes []float64
	most  map[string]int // subscribers at once
	gone  map[string]int // refused
}

type expiryHeap struct {
	sub   int
	link  distribution.Link
	to    string
	ended bool
}

type event struct {
	at    float64
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (z *zone) after(ms float64, do func()) {
	z.order++
	heap.Push(&z.queue, event{z.now + ms, z.order, do})
}

func (z *zone) run(until float64) {
	for len(z.queue) > 0 && z.queue[0].at <= until {
		e := heap.Pop(&z.queue).(event)
		z.now = e.at
		e.do()
	}
	z.now = until
}

const oneWay = 20

func (z *zone) sub(i int, e distribution.Event) {
	for _, a := range z.subs[i].Handle(z.now, e) {
		switch a := a.(type) {
		case distribution.Connect:
			z.connect(i, a)
		case distribution.SendMessage:
			for number, l := range z.links {
				if l.sub == i && l.link == a.Link && !l.ended {
					z.after(oneWay, func() { z.dist(l.to, distribution.Received{Link: number, Message: a.Message}) })
				}
			}
		case distribution.Disconnect:
			for number, l := range z.links {
				if l.sub == i && l.link == a.Link {
					delete(z.links, number)
					z.after(oneWay, func() { z.dist(l.to, distribution.Disconnected{Link: number}) })
				}
			}
		case distribution.Wake:
			due := z.now + a.After
			z.wakes[i] = due
			z.after(a.After, func() {
				if z.wakes[i] == due {
					z.sub(i, distribution.Tick{})
				}
			})
		}
	}
}

// connect takes a way there and back; who is dead does not answer.
func (z *zone) connect(i int, a distribution.Connect) {
	z.next++
	z.links[z.next] = expiryHeap{sub: i, link: a.Link, to: a.To.Name}
	if !z.dead[a.To.Name] {
		z.after(2*oneWay, func() { z.sub(i, distribution.Connected{Link: a.Link}) })
	}
}

func (z *zone) dist(name string, e distribution.Event) {
	if z.dead[name] {
		return
	}
	d := z.dists[name]
	for _, a := range d.Handle(z.now, e) {
		switch a := a.(type) {
		case distribution.SendFrame:
			m, err := distribution.Decode(a.Frame.Bytes)
			if err != nil {
				panic(err)
			}
			if _, refused := m.(distribution.Rejected); refused {
				z.gone[name]++
			}
			for _, to := range a.Links {
				if l, open := z.links[to]; open {
					z.after(oneWay, func() {
						z.sub(l.sub, distribution.Received{Link: l.link, Message: m, Bytes: len(a.Frame.Bytes)})
					})
				}
			}
		case distribution.CloseLink:
			if l, open := z.links[a.Link]; open {
				z.after(oneWay+1, func() { z.sub(l.sub, distribution.Disconnected{Link: l.link}) })
			}
		}
	}
	z.most[name] = max(z.most[name], d.Subscribers())
}

// newZone has so many distributors of one zone and one of its region, all fed by Advance, and so many subscribers.
func newZone(distributors, subscribers int) *zone {
	z := &zone{now: 1_000_000, dists: map[string]*distribution.Distributor{}, dead: map[string]bool{}, links: map[distribution.Link]expiryHeap{},
		most: map[string]int{}, gone: map[string]int{}, wakes: make([]float64, subscribers)}
	peers := []distribution.Peer{{Name: "region", Rank: 1, Region: "r", Zone: "other"}}
	for i := range distributors {
		peers = append(peers, distribution.Peer{Name: fmt.Sprint("d", i), Rank: 2, Region: "r", Zone: "z"})
	}
	for i, p := range peers {
		z.dists[p.Name] = distribution.NewDistributor(distribution.DefaultSettings(distribution.Purges, p))
		z.dist(p.Name, distribution.InstallSnapshot{Epoch: 1, Through: 1, Watermark: distribution.Watermark{Sequence: 1, At: int64(z.now)}})
		if i > 0 {
			z.dist(p.Name, distribution.Demand{Subscribers: subscribers, Distributors: distributors})
		}
	}
	z.feed(peers)
	for i := range subscribers {
		set := distribution.DefaultSettings(distribution.Purges, distribution.Peer{Name: fmt.Sprint("proxy", i), Rank: 3, Region: "r", Zone: "z"})
		set.Seed = uint64(i) + 1
		z.subs = append(z.subs, distribution.NewSubscriber(set))
		z.sub(i, distribution.Candidates{Peers: peers})
	}
	return z
}

func (z *zone) feed(peers []distribution.Peer) {
	for _, p := range peers {
		z.dist(p.Name, distribution.AdvanceWatermark{Epoch: 1, Watermark: distribution.Watermark{Sequence: 1, At: int64(z.now)}})
		z.dist(p.Name, distribution.Tick{})
	}
	z.after(500, func() { z.feed(peers) })
}

// furthest is how far the furthest is behind, and how many are within their bound.
func (z *zone) furthest() (behind float64, within int) {
	for _, s := range z.subs {
		behind = max(behind, s.Lag(z.now))
		if s.Lag(z.now) <= distribution.DefaultSettings(distribution.Purges, distribution.Peer{}).MaxLag {
			within++
		}
	}
	return behind, within
}

// 233 processes of a zone at four distributors, of which one dies without a word: the 60 that it had come back over its
// neighbours, none of which takes more than its bounded share, and nobody is behind by more than 6.8 s.
func TestSubscribersOfADeadDistributorAreSpread(t *testing.T) {
	z := newZone(4, 233)
	z.run(z.now + 15_000)
	_, within := z.furthest()
	require.Equal(t, 233, within, "all have started")
	bound := int(math.Ceil(1.25 * 233 / 4))
	for name, n := range z.most {
		require.LessOrEqual(t, n, bound, name)
	}
	lost := z.dists["d0"].Subscribers()
	require.Positive(t, lost)
	z.dead["d0"] = true
	z.most, z.gone = map[string]int{}, map[string]int{}
	worst, start := 0.0, z.now
	for z.now < start+10_000 {
		if z.now == start+3000 { // the registry has found out
			for name := range z.dists {
				z.dist(name, distribution.Demand{Subscribers: 233, Distributors: 3})
			}
		}
		z.run(z.now + 100)
		behind, _ := z.furthest()
		worst = max(worst, behind)
	}
	_, within = z.furthest()
	require.Equal(t, 233, within)
	for name, n := range z.most {
		require.LessOrEqual(t, n, int(math.Ceil(1.25*233/3)), name)
	}
	require.LessOrEqual(t, worst, 6800.0)
	t.Logf("%d lost theirs; furthest behind %.0f ms; most at once %v; refused %v", lost, worst, z.most, z.gone)
}
