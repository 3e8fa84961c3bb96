package distribution_test

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/distribution"
)

// zoneSimulation runs some distributors and many subscribers in virtual time. Each message takes oneWayDelay.
type zoneSimulation struct {
	now            float64
	queue          eventQueue
	lastOrder      int
	distributors   map[string]*distribution.Distributor
	failed         map[string]bool
	subscribers    []*distribution.Subscriber
	links          map[distribution.Link]simulatedLink // by the distributor's number of the link
	lastLink       distribution.Link
	wakeAt         []float64      // when each subscriber's Tick is due
	maxSubscribers map[string]int // the most subscribers at once, by distributor
	rejected       map[string]int // rejected subscriptions, by distributor
}

// simulatedLink is a link from a subscriber, under the subscriber's number, to a distributor.
type simulatedLink struct {
	subscriber   int
	link         distribution.Link
	to           string
	disconnected bool
}

// scheduledEvent runs do at a time. Events of the same time run in the order in which they were scheduled.
type scheduledEvent struct {
	at    float64
	order int
	do    func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules do to run after a delay.
func (z *zoneSimulation) after(ms float64, do func()) {
	z.lastOrder++
	heap.Push(&z.queue, scheduledEvent{z.now + ms, z.lastOrder, do})
}

// run runs the events that are due until a time.
func (z *zoneSimulation) run(until float64) {
	for len(z.queue) > 0 && z.queue[0].at <= until {
		e := heap.Pop(&z.queue).(scheduledEvent)
		z.now = e.at
		e.do()
	}
	z.now = until
}

// oneWayDelay is how long a message takes, in ms.
const oneWayDelay = 20

// handleSubscriber passes an event to a subscriber, and carries out its actions.
func (z *zoneSimulation) handleSubscriber(i int, e distribution.Event) {
	for _, a := range z.subscribers[i].Handle(z.now, e) {
		switch a := a.(type) {
		case distribution.Connect:
			z.connect(i, a)
		case distribution.SendMessage:
			for number, l := range z.links {
				if l.subscriber == i && l.link == a.Link && !l.disconnected {
					z.after(oneWayDelay, func() { z.handleDistributor(l.to, distribution.Received{Link: number, Message: a.Message}) })
				}
			}
		case distribution.Disconnect:
			for number, l := range z.links {
				if l.subscriber == i && l.link == a.Link {
					delete(z.links, number)
					z.after(oneWayDelay, func() { z.handleDistributor(l.to, distribution.Disconnected{Link: number}) })
				}
			}
		case distribution.Wake:
			due := z.now + a.After
			z.wakeAt[i] = due
			z.after(a.After, func() {
				if z.wakeAt[i] == due {
					z.handleSubscriber(i, distribution.Tick{})
				}
			})
		}
	}
}

// connect opens a link, which takes a round trip. A distributor that has failed does not answer.
func (z *zoneSimulation) connect(i int, a distribution.Connect) {
	z.lastLink++
	z.links[z.lastLink] = simulatedLink{subscriber: i, link: a.Link, to: a.To.Name}
	if !z.failed[a.To.Name] {
		z.after(2*oneWayDelay, func() { z.handleSubscriber(i, distribution.Connected{Link: a.Link}) })
	}
}

// handleDistributor passes an event to a distributor, unless that has failed, and carries out its actions.
func (z *zoneSimulation) handleDistributor(name string, e distribution.Event) {
	if z.failed[name] {
		return
	}
	d := z.distributors[name]
	for _, a := range d.Handle(z.now, e) {
		switch a := a.(type) {
		case distribution.SendFrame:
			m, err := distribution.Decode(a.Frame.Bytes)
			if err != nil {
				panic(err)
			}
			if _, rejected := m.(distribution.Rejected); rejected {
				z.rejected[name]++
			}
			for _, to := range a.Links {
				if l, open := z.links[to]; open {
					z.after(oneWayDelay, func() {
						z.handleSubscriber(l.subscriber, distribution.Received{Link: l.link, Message: m, Bytes: len(a.Frame.Bytes)})
					})
				}
			}
		case distribution.CloseLink:
			if l, open := z.links[a.Link]; open {
				z.after(oneWayDelay+1, func() { z.handleSubscriber(l.subscriber, distribution.Disconnected{Link: l.link}) })
			}
		}
	}
	z.maxSubscribers[name] = max(z.maxSubscribers[name], d.Subscribers())
}

// newZoneSimulation returns a simulation of distributorCount distributors of one zone, one distributor of its region, and
// subscriberCount subscribers. All distributors get their watermarks by AdvanceWatermark.
func newZoneSimulation(distributorCount, subscriberCount int) *zoneSimulation {
	z := &zoneSimulation{now: 1_000_000, distributors: map[string]*distribution.Distributor{}, failed: map[string]bool{}, links: map[distribution.Link]simulatedLink{},
		maxSubscribers: map[string]int{}, rejected: map[string]int{}, wakeAt: make([]float64, subscriberCount)}
	peers := []distribution.Peer{{Name: "region", Rank: 1, Region: "r", Zone: "other"}}
	for i := range distributorCount {
		peers = append(peers, distribution.Peer{Name: fmt.Sprint("d", i), Rank: 2, Region: "r", Zone: "z"})
	}
	for i, p := range peers {
		z.distributors[p.Name] = distribution.NewDistributor(distribution.DefaultSettings(distribution.Purges, p))
		z.handleDistributor(p.Name, distribution.InstallSnapshot{
			Epoch: 1, Through: 1, Watermark: distribution.Watermark{Sequence: 1, At: int64(z.now)},
		})
		if i > 0 {
			z.handleDistributor(p.Name, distribution.Demand{Subscribers: subscriberCount, Distributors: distributorCount})
		}
	}
	z.feed(peers)
	for i := range subscriberCount {
		settings := distribution.DefaultSettings(distribution.Purges, distribution.Peer{Name: fmt.Sprint("proxy", i), Rank: 3, Region: "r", Zone: "z"})
		settings.Seed = uint64(i) + 1
		z.subscribers = append(z.subscribers, distribution.NewSubscriber(settings))
		z.handleSubscriber(i, distribution.Candidates{Peers: peers})
	}
	return z
}

// feed gives all distributors a new watermark, every 500 ms.
func (z *zoneSimulation) feed(peers []distribution.Peer) {
	for _, p := range peers {
		z.handleDistributor(p.Name, distribution.AdvanceWatermark{Epoch: 1, Watermark: distribution.Watermark{Sequence: 1, At: int64(z.now)}})
		z.handleDistributor(p.Name, distribution.Tick{})
	}
	z.after(500, func() { z.feed(peers) })
}

// worstLag returns the largest lag of all subscribers, in ms, and how many of them are within MaxLag.
func (z *zoneSimulation) worstLag() (worst float64, withinMaxLag int) {
	for _, s := range z.subscribers {
		worst = max(worst, s.Lag(z.now))
		if s.Lag(z.now) <= distribution.DefaultSettings(distribution.Purges, distribution.Peer{}).MaxLag {
			withinMaxLag++
		}
	}
	return worst, withinMaxLag
}

// One of four distributors with 233 subscribers in a zone fails without closing its links. Its subscribers, about 60, must move to the
// others, none of which may admit more than its limit, and no subscriber may lag by more than 6.8 s.
func TestSubscribersOfFailedDistributorAreSpread(t *testing.T) {
	z := newZoneSimulation(4, 233)
	z.run(z.now + 15_000)
	_, withinMaxLag := z.worstLag()
	require.Equal(t, 233, withinMaxLag, "subscribers within MaxLag after the start")
	maxAdmitted := int(math.Ceil(1.25 * 233 / 4))
	for name, n := range z.maxSubscribers {
		require.LessOrEqual(t, n, maxAdmitted, name)
	}
	lostSubscribers := z.distributors["d0"].Subscribers()
	require.Positive(t, lostSubscribers)
	z.failed["d0"] = true
	z.maxSubscribers, z.rejected = map[string]int{}, map[string]int{}
	worstLag, start := 0.0, z.now
	for z.now < start+10_000 {
		if z.now == start+3000 { // the registry has noticed the failure
			for name := range z.distributors {
				z.handleDistributor(name, distribution.Demand{Subscribers: 233, Distributors: 3})
			}
		}
		z.run(z.now + 100)
		lag, _ := z.worstLag()
		worstLag = max(worstLag, lag)
	}
	_, withinMaxLag = z.worstLag()
	require.Equal(t, 233, withinMaxLag)
	for name, n := range z.maxSubscribers {
		require.LessOrEqual(t, n, int(math.Ceil(1.25*233/3)), name)
	}
	require.LessOrEqual(t, worstLag, 6800.0)
	t.Logf("%d subscribers lost their distributor; worst lag %.0f ms; most subscribers at once %v; rejected %v", lostSubscribers, worstLag, z.maxSubscribers, z.rejected)
}
