package handover

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var set = Settings{Retry: 50, Patience: 2000, Prepare: 8000}

// node is a process of the model: its machine, and what a shell would hold for it.
type node struct {
	*Machine
	id       int
	alive    bool
	stopped  bool // by SIGSTOP: it hears nothing until it is woken
	wake     float64
	listener int // which queue it holds; 0: none
	accepts  bool
	over     bool
	served   bool // until it was last told whether to accept
	robbed   bool // it served, and stepped back
	ready    bool // Prepare was asked for
	owner    int  // whom it follows
	inbox    []mail
}

type mail struct {
	from int
	e    Event
	fds  [2]int // listener, lock
}

// model is a machine with processes that come, die, stop and wake; messages arrive late, in order.
type model struct {
	t      require.TestingT
	now    float64
	nodes  []*node // by id - 1
	met    int     // who is met at the socket; 0: nobody
	lock   map[int]bool
	kept   uint64
	owned  map[uint64]bool // generations that somebody has owned under
	queues int
	// mutation is what the shells or the wire do wrong; empty: nothing.
	mutation string
}

func newModel(t require.TestingT) *model {
	return &model{t: t, lock: map[int]bool{}, owned: map[uint64]bool{}}
}

func (w *model) at(id int) *node {
	if id == 0 {
		return nil
	}
	return w.nodes[id-1]
}

func (w *model) start() *node {
	n := &node{Machine: New(set), id: len(w.nodes) + 1, alive: true}
	w.nodes = append(w.nodes, n)
	w.tell(n, Started{})
	return n
}

func (w *model) tell(n *node, e Event) {
	for events := []Event{e}; len(events) > 0 && n.alive; events = events[1:] {
		for _, a := range n.Handle(w.now, events[0]) {
			if next := w.do(n, a); next != nil {
				events = append(events, next)
			}
		}
	}
}

func (w *model) send(from *node, to int, e Event, fds [2]int) {
	if n := w.at(to); n != nil && n.alive {
		n.inbox = append(n.inbox, mail{from.id, e, fds})
	}
}

func (w *model) held() bool {
	for id := range w.lock {
		if w.at(id).alive {
			return true
		}
	}
	return false
}

func (w *model) do(n *node, a Action) Event {
	switch a := a.(type) {
	case TryLock:
		if !w.held() || w.mutation == "takes the lock from who lives" {
			w.lock[n.id] = true
		}
		return Locked{OK: w.lock[n.id], Generation: w.kept}
	case Meet:
		o := w.at(w.met)
		if o == nil || !o.alive {
			return Met{}
		}
		n.owner = o.id
		w.send(n, o.id, Hello{From: n.id, Revision: Revision}, [2]int{})
		return Met{OK: true}
	case Listen:
		if n.listener == 0 {
			w.queues++
			n.listener = w.queues
		}
	case Prepare:
		n.ready = true
		if w.mutation == "is met though it does not own" {
			w.met = n.id
		}
	case Ask:
		w.send(n, n.owner, Take{From: n.id}, [2]int{})
	case Claim:
		if a.Generation <= w.kept && w.mutation != "claims without comparing" {
			return Claimed{Generation: w.kept}
		}
		w.kept = a.Generation
		return Claimed{OK: true, Generation: w.kept}
	case Own:
		require.Equal(w.t, w.kept, a.Generation)
		require.NotContains(w.t, w.owned, a.Generation, "two own under one generation")
		w.owned[a.Generation] = true
		w.met = n.id
	case Accept:
		n.served = n.accepts
		n.accepts = a.On || n.accepts && w.mutation == "goes on accepting"
	case Say:
		if w.mutation != "never says that it serves" {
			w.send(n, n.owner, Serves{From: n.id}, [2]int{})
		}
	case Offer:
		w.send(n, a.To, Told{Revision: Revision, Generation: n.Generation()}, [2]int{})
	case Turn:
		w.send(n, a.To, Turned{a.Busy}, [2]int{})
	case Grant:
		fds := [2]int{n.listener, 0}
		if w.lock[n.id] && w.mutation != "grants without the lock" {
			fds[1] = 1
		}
		if w.mutation == "grants without the listener" {
			w.queues++ // it listens anew
			fds[0] = w.queues
		}
		w.send(n, a.To, Given{}, fds)
	case Revoke:
		w.send(n, a.To, Revoked{}, [2]int{})
	case Stop:
		n.over, n.robbed = true, n.served
	case Wake:
		n.wake = w.now + a.After
	}
	return nil
}

// die ends a process; those it was connected to see it.
func (w *model) die(n *node) {
	n.alive = false
	for _, o := range w.nodes {
		if !o.alive {
			continue
		}
		if o.owner == n.id && w.mutation != "never hears that the owner is lost" {
			o.inbox = append(o.inbox, mail{n.id, OwnerLost{}, [2]int{}})
		}
		if n.owner == o.id && w.mutation != "never hears that the successor left" {
			o.inbox = append(o.inbox, mail{n.id, Left{From: n.id}, [2]int{}})
		}
	}
}

// step delivers one message to a process, or has its timer come due.
func (w *model) step(n *node) {
	if !n.alive || n.stopped {
		return
	}
	if len(n.inbox) > 0 {
		m := n.inbox[0]
		n.inbox = n.inbox[1:]
		if _, given := m.e.(Given); given {
			if m.from != n.owner {
				return
			}
			n.listener = m.fds[0]
			if m.fds[1] > 0 {
				w.lock[n.id] = true
			}
		}
		switch m.e.(type) {
		case Told, Turned, Revoked, OwnerLost:
			if m.from != n.owner {
				return
			}
		}
		w.tell(n, m.e)
	}
	if n.wake > 0 && w.now >= n.wake && w.mutation != "never wakes" {
		n.wake = 0
		w.tell(n, Tick{})
	}
	if n.Phase() >= Owning && w.kept > 0 && w.mutation != "never finds a higher generation" {
		w.tell(n, Superseded{Generation: w.kept})
	}
	if n.over { // what is open is answered, and it ends
		w.die(n)
	}
}

// settle lets all that is left run on undisturbed.
func (w *model) settle() {
	for range 2000 {
		w.now += 25
		for _, n := range w.nodes {
			if n.ready && n.Phase() == Preparing {
				w.tell(n, Ready{})
			}
			w.step(n)
		}
	}
}

func (w *model) accepting() (list []int) {
	for _, n := range w.nodes {
		if n.alive && n.accepts {
			list = append(list, n.id)
		}
	}
	return list
}

// play lives one drawn timeline: processes start, die, stop, wake and are slow. Gentle: they only start and end in order.
// Once all is quiet one process accepts, and it is the one who is met.
func (w *model) play(gentle bool, draw func(most int) int) {
	w.start()
	w.settle()
	require.Equal(w.t, []int{1}, w.accepting())
	for range 1 + draw(60) {
		n := w.nodes[draw(len(w.nodes)-1)]
		switch what := draw(9); {
		case what == 0 && len(w.nodes) < 4:
			w.start()
		case what == 1 && !gentle && n.alive:
			w.die(n)
		case what == 2 && !gentle && n.alive:
			n.stopped = !n.stopped
		case what == 3 && n.ready && n.Phase() == Preparing && !n.stopped:
			w.tell(n, Ready{})
		case what == 4 && n.alive && n.Phase() == Granted && !n.stopped: // it is told to end once another serves
			w.tell(n, Ending{})
			if o := w.at(w.met); o != n && o.alive && o.accepts {
				w.die(n)
			}
		case what == 5 && gentle: // time goes on, and nobody is silent for long
			w.now += float64(draw(200))
			for _, n := range w.nodes {
				w.step(n)
				w.step(n)
			}
		case what == 5:
			w.now += float64(draw(3000))
		default:
			w.step(n)
		}
		if gentle {
			require.LessOrEqual(w.t, len(w.accepting()), 1, "two accept, and nobody died")
		}
	}
	for _, n := range w.nodes {
		n.stopped = false
	}
	w.settle()
	alive := 0
	for _, n := range w.nodes {
		if n.alive {
			alive++
		}
		require.False(w.t, gentle && n.robbed, "one that serves steps back, and nobody hung: %v", w.phases())
	}
	if alive == 0 && len(w.accepting()) == 0 {
		w.start() // all are gone: whoever starts then serves
		w.settle()
	}
	own := w.accepting()
	require.Len(w.t, own, 1, "one accepts: %v", w.phases())
	require.Equal(w.t, w.met, own[0], "and it is the one who is met")
	if gentle {
		require.Equal(w.t, 1, w.queues, "one queue of connections, from the first process to the last")
	}
}

func TestOneOwner(t *testing.T) {
	for _, gentle := range []bool{true, false} {
		t.Run(fmt.Sprintf("gentle %v", gentle), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				newModel(t).play(gentle, func(most int) int { return rapid.IntRange(0, most).Draw(t, "draw") })
			})
		})
	}
}

// verdict takes in that a timeline failed.
type verdict struct{}

func (verdict) Errorf(string, ...any) {}
func (verdict) FailNow()              { panic(verdict{}) }

// Each way to break the protocol is caught within some timelines: the model sees what it is there to see.
func TestMutations(t *testing.T) {
	for _, m := range []string{
		"claims without comparing", "grants without the lock", "grants without the listener", "never hears that the successor left",
		"never hears that the owner is lost", "never finds a higher generation", "never wakes", "goes on accepting",
		"never says that it serves", "is met though it does not own", "takes the lock from who lives",
	} {
		t.Run(m, func(t *testing.T) {
			for seed := range uint64(3000) {
				if breaks(m, seed) {
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}

func breaks(mutation string, seed uint64) (caught bool) {
	defer func() {
		if r := recover(); r != nil {
			_, caught = r.(verdict)
			if !caught {
				panic(r)
			}
		}
	}()
	w := newModel(verdict{})
	w.mutation = mutation
	r := rand.New(rand.NewPCG(seed, 1))
	w.play(seed%2 == 0, func(most int) int { return r.IntN(most + 1) })
	return false
}

func (w *model) phases() (list []string) {
	for _, n := range w.nodes {
		list = append(list, fmt.Sprintf("%d %v alive=%v accepts=%v generation=%d kept=%d", n.id, n.Phase(), n.alive, n.accepts, n.Generation(), w.kept))
	}
	return list
}
