package handover

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var settings = Settings{RetryDelay: 50, ResponseTimeout: 2000, PrepareTimeout: 8000}

// process is a process of the model: its machine, and the state that internal/handover would hold for it.
type process struct {
	*Machine
	id           int
	alive        bool
	suspended    bool // by SIGSTOP: it handles nothing until it is resumed
	tickAt       float64
	listener     int // number of its listener's accept queue; 0: it has no listener
	accepting    bool
	ending       bool // Stop was executed
	wasAccepting bool // value of accepting before the last SetAccepting
	preempted    bool // it was accepting until it was told to stop
	preparing    bool // Prepare was executed
	owner        int  // id of the process that it is connected to as its owner; 0: none
	inbox        []message
}

type message struct {
	from        int
	event       Event
	descriptors [2]int // number of the listener's accept queue, and 1 if the lock is passed on
}

// model is a host whose processes start, die, are suspended and resumed. Messages arrive with a delay, in order.
type model struct {
	t           require.TestingT
	now         float64
	processes   []*process // by id - 1
	socketOwner int        // id of the process that is reached at the socket; 0: none
	lockHolders map[int]bool
	recorded    uint64          // generation in the owner's record
	owned       map[uint64]bool // generations under which a process has owned
	queues      int             // accept queues opened so far
	// mutation is the fault that is built into the execution of actions or into the connections; empty: none.
	mutation string
}

func newModel(t require.TestingT) *model {
	return &model{t: t, lockHolders: map[int]bool{}, owned: map[uint64]bool{}}
}

func (w *model) process(id int) *process {
	if id == 0 {
		return nil
	}
	return w.processes[id-1]
}

func (w *model) start() *process {
	p := &process{Machine: New(settings), id: len(w.processes) + 1, alive: true}
	w.processes = append(w.processes, p)
	w.handle(p, Started{})
	return p
}

func (w *model) handle(p *process, e Event) {
	for events := []Event{e}; len(events) > 0 && p.alive; events = events[1:] {
		for _, a := range p.Handle(w.now, events[0]) {
			if next := w.execute(p, a); next != nil {
				events = append(events, next)
			}
		}
	}
}

func (w *model) send(from *process, to int, e Event, descriptors [2]int) {
	if p := w.process(to); p != nil && p.alive {
		p.inbox = append(p.inbox, message{from.id, e, descriptors})
	}
}

func (w *model) lockHeld() bool {
	for id := range w.lockHolders {
		if w.process(id).alive {
			return true
		}
	}
	return false
}

// execute carries out an action of a process, and returns the event that answers it, or nil.
func (w *model) execute(p *process, a Action) Event {
	switch a := a.(type) {
	case TryLock:
		if !w.lockHeld() || w.mutation == "takes the lock from a live process" {
			w.lockHolders[p.id] = true
		}
		return LockResult{Acquired: w.lockHolders[p.id], Generation: w.recorded}
	case ContactOwner:
		o := w.process(w.socketOwner)
		if o == nil || !o.alive {
			return ContactResult{}
		}
		p.owner = o.id
		w.send(p, o.id, SuccessorHello{From: p.id, ProtocolVersion: ProtocolVersion}, [2]int{})
		return ContactResult{OK: true}
	case Listen:
		if p.listener == 0 {
			w.queues++
			p.listener = w.queues
		}
	case Prepare:
		p.preparing = true
		if w.mutation == "opens the socket before it owns" {
			w.socketOwner = p.id
		}
	case RequestTransfer:
		w.send(p, p.owner, TransferRequested{From: p.id}, [2]int{})
	case Claim:
		if a.Generation <= w.recorded && w.mutation != "claims without comparing" {
			return ClaimResult{Generation: w.recorded}
		}
		w.recorded = a.Generation
		return ClaimResult{OK: true, Generation: w.recorded}
	case BecomeOwner:
		require.Equal(w.t, w.recorded, a.Generation)
		require.NotContains(w.t, w.owned, a.Generation, "two processes have owned under one generation")
		w.owned[a.Generation] = true
		w.socketOwner = p.id
	case SetAccepting:
		p.wasAccepting = p.accepting
		p.accepting = a.On || p.accepting && w.mutation == "never stops accepting"
	case AnnounceServing:
		if w.mutation != "never announces that it serves" {
			w.send(p, p.owner, SuccessorServing{From: p.id}, [2]int{})
		}
	case Stop:
		p.ending, p.preempted = true, p.wasAccepting
	case ScheduleTick:
		p.tickAt = w.now + a.After
	default:
		w.executeForSuccessor(p, a)
	}
	return nil
}

// executeForSuccessor carries out an owner's action about a successor.
func (w *model) executeForSuccessor(p *process, a Action) {
	switch a := a.(type) {
	case SendState:
		w.send(p, a.To, StateReceived{ProtocolVersion: ProtocolVersion, Generation: p.Generation()}, [2]int{})
	case Reject:
		w.send(p, a.To, Rejected{a.Busy}, [2]int{})
	case Grant:
		descriptors := [2]int{p.listener, 0}
		if w.lockHolders[p.id] && w.mutation != "grants without the lock" {
			descriptors[1] = 1
		}
		if w.mutation == "grants without the listener" {
			w.queues++ // the successor opens a listener of its own
			descriptors[0] = w.queues
		}
		w.send(p, a.To, GrantReceived{}, descriptors)
	case Revoke:
		w.send(p, a.To, GrantRevoked{}, [2]int{})
	}
}

// kill ends a process. The processes that it was connected to receive OwnerLost or SuccessorLost.
func (w *model) kill(p *process) {
	p.alive = false
	for _, o := range w.processes {
		if !o.alive {
			continue
		}
		if o.owner == p.id && w.mutation != "never notices that the owner is lost" {
			o.inbox = append(o.inbox, message{p.id, OwnerLost{}, [2]int{}})
		}
		if p.owner == o.id && w.mutation != "never notices that the successor is lost" {
			o.inbox = append(o.inbox, message{p.id, SuccessorLost{From: p.id}, [2]int{}})
		}
	}
}

// step delivers the next message to a process, and a Tick and the recorded generation if they are due.
func (w *model) step(p *process) {
	if !p.alive || p.suspended {
		return
	}
	if len(p.inbox) > 0 {
		m := p.inbox[0]
		p.inbox = p.inbox[1:]
		if _, granted := m.event.(GrantReceived); granted {
			if m.from != p.owner {
				return
			}
			p.listener = m.descriptors[0]
			if m.descriptors[1] > 0 {
				w.lockHolders[p.id] = true
			}
		}
		switch m.event.(type) {
		case StateReceived, Rejected, GrantRevoked, OwnerLost:
			if m.from != p.owner {
				return
			}
		}
		w.handle(p, m.event)
	}
	if p.tickAt > 0 && w.now >= p.tickAt && w.mutation != "never ticks" {
		p.tickAt = 0
		w.handle(p, Tick{})
	}
	if p.Phase() >= Owning && w.recorded > 0 && w.mutation != "never finds a higher generation" {
		w.handle(p, Superseded{Generation: w.recorded})
	}
	if p.ending { // its open requests have been answered
		w.kill(p)
	}
}

// runUndisturbed runs the model without faults for 50 s, longer than every time-out.
func (w *model) runUndisturbed() {
	for range 2000 {
		w.now += 25
		for _, p := range w.processes {
			if p.preparing && p.Phase() == Preparing {
				w.handle(p, Ready{})
			}
			w.step(p)
		}
	}
}

// accepting returns the processes that accept connections.
func (w *model) accepting() (list []int) {
	for _, p := range w.processes {
		if p.alive && p.accepting {
			list = append(list, p.id)
		}
	}
	return list
}

// runTimeline runs one random timeline. Processes start, die, are suspended, resumed and delayed or, withoutFaults, only start and
// shut down once another process serves. Once the faults have ended, exactly one process accepts connections, and it is the one
// that is reached at the socket. draw returns a random number from 0 to limit.
func (w *model) runTimeline(withoutFaults bool, draw func(limit int) int) {
	w.start()
	w.runUndisturbed()
	require.Equal(w.t, []int{1}, w.accepting())
	for range 1 + draw(60) {
		p := w.processes[draw(len(w.processes)-1)]
		switch choice := draw(9); {
		case choice == 0 && len(w.processes) < 4:
			w.start()
		case choice == 1 && !withoutFaults && p.alive:
			w.kill(p)
		case choice == 2 && !withoutFaults && p.alive:
			p.suspended = !p.suspended
		case choice == 3 && p.preparing && p.Phase() == Preparing && !p.suspended:
			w.handle(p, Ready{})
		case choice == 4 && p.alive && p.Phase() == Granting && !p.suspended: // it shuts down, and ends if another process serves
			w.handle(p, ShutdownRequested{})
			if o := w.process(w.socketOwner); o != p && o.alive && o.accepting {
				w.kill(p)
			}
		case choice == 5 && withoutFaults: // time passes, and each process handles up to two messages, so that none seems to hang
			w.now += float64(draw(200))
			for _, p := range w.processes {
				w.step(p)
				w.step(p)
			}
		case choice == 5:
			w.now += float64(draw(3000))
		default:
			w.step(p)
		}
		if withoutFaults {
			require.LessOrEqual(w.t, len(w.accepting()), 1, "two processes accept connections, and none has died")
		}
	}
	for _, p := range w.processes {
		p.suspended = false
	}
	w.runUndisturbed()
	alive := 0
	for _, p := range w.processes {
		if p.alive {
			alive++
		}
		require.False(w.t, withoutFaults && p.preempted, "an accepting process was told to stop, and no process hung: %v", w.phases())
	}
	if alive == 0 && len(w.accepting()) == 0 {
		w.start() // all processes have ended: the next one that starts must serve
		w.runUndisturbed()
	}
	accepting := w.accepting()
	require.Len(w.t, accepting, 1, "exactly one process accepts connections: %v", w.phases())
	require.Equal(w.t, w.socketOwner, accepting[0], "the accepting process is reached at the socket")
	if withoutFaults {
		require.Equal(w.t, 1, w.queues, "all processes used the first process's accept queue")
	}
}

// After any timeline of starts, crashes, suspensions and delays, one process accepts connections. Without faults, never more than
// one process accepts at a time, and all use the first process's accept queue.
func TestExactlyOneProcessOwnsTheAddress(t *testing.T) {
	for _, withoutFaults := range []bool{true, false} {
		t.Run(fmt.Sprintf("without faults %v", withoutFaults), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				newModel(t).runTimeline(withoutFaults, func(limit int) int { return rapid.IntRange(0, limit).Draw(t, "draw") })
			})
		})
	}
}

// failure is a TestingT that panics with itself at the first failed check.
type failure struct{}

func (failure) Errorf(string, ...any) {}
func (failure) FailNow()              { panic(failure{}) }

// Each mutation fails the model's checks in some timeline, which shows that the checks find such faults.
func TestModelCatchesEachMutation(t *testing.T) {
	for _, m := range []string{
		"claims without comparing", "grants without the lock", "grants without the listener",
		"never notices that the successor is lost", "never notices that the owner is lost", "never finds a higher generation",
		"never ticks", "never stops accepting", "never announces that it serves", "opens the socket before it owns",
		"takes the lock from a live process",
	} {
		t.Run(m, func(t *testing.T) {
			for seed := range uint64(3000) {
				if caughtBy(m, seed) {
					return
				}
			}
			t.Fatal("no timeline of 3000 seeds fails a check")
		})
	}
}

// caughtBy reports whether the timeline of a seed fails a check under a mutation. Half of the seeds are without faults.
func caughtBy(mutation string, seed uint64) (caught bool) {
	defer func() {
		if r := recover(); r != nil {
			_, caught = r.(failure)
			if !caught {
				panic(r)
			}
		}
	}()
	w := newModel(failure{})
	w.mutation = mutation
	r := rand.New(rand.NewPCG(seed, 1))
	w.runTimeline(seed%2 == 0, func(limit int) int { return r.IntN(limit + 1) })
	return false
}

// phases describes each process, for the messages of failed checks.
func (w *model) phases() (descriptions []string) {
	for _, p := range w.processes {
		descriptions = append(descriptions, fmt.Sprintf(
			"%d %v alive=%v accepting=%v generation=%d recorded=%d", p.id, p.Phase(), p.alive, p.accepting, p.Generation(), w.recorded))
	}
	return descriptions
}
