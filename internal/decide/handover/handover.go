// Package handover decides which of two processes owns an address, while one takes over from the other. It is one state
// machine, as a process passes through all of it: it seeks an owner, prepares beside it, owns, and gives to a successor.
// It opens no socket and reads no clock: internal/handover carries out what it wants done. Its decisions are tested here,
// with two to four machines under every order of crash and message that is drawn.
//
// One process owns at a time. The lock on the owner's file says that an owner lives: it is passed on with the listener
// and ends with the last process that holds it. The generation says who owns where two believe they do: it is one more
// with each owner, and what an owner keeps is kept under it.
package handover

// Revision of what two processes say to each other. Another one is refused: its process is passed over like a silent one.
const Revision = 1

// Settings are in ms.
type Settings struct {
	// Retry is between two looks for an owner that does not answer.
	Retry float64
	// Patience: an owner that holds the lock and answers nothing for so long is passed over, and so is a successor that
	// asked to own and then neither serves nor ends. Shorter takes over sooner from one that hangs; a process that was
	// only slow finds itself replaced.
	Patience float64
	// Prepare: a successor that has not asked to own so long after it was told the state makes room for another.
	Prepare float64
}

// Phase is how far a process has come.
type Phase int

// The phases. Offered and Granted are an owner's with a successor.
const (
	Seeking Phase = iota
	Preparing
	Taking
	Owning
	Offered
	Granted
	Over
)

var phaseNames = [...]string{"seeking", "preparing", "taking", "owning", "offered", "granted", "over"}

// String names the phase for logs.
func (p Phase) String() string { return phaseNames[p] }

// Event is what the machine is told.
type Event interface{ event() }

// Other processes are told apart by a number that is new with each connection.
type (
	// Started: the process looks for an owner.
	Started struct{}
	// Locked is how the try for the lock ended. Generation is of the owner before, 0: none is known.
	Locked struct {
		OK         bool
		Generation uint64
	}
	// Met is whether an owner could be reached.
	Met struct{ OK bool }
	// Told: the owner has told its state.
	Told struct {
		Revision   int
		Generation uint64
	}
	// Turned: the owner has no place for a successor now (Busy), or speaks another revision.
	Turned struct{ Busy bool }
	// Ready: all is prepared to own.
	Ready struct{}
	// Given: the owner has passed on the listener and the lock.
	Given struct{}
	// Revoked: it has taken them back.
	Revoked struct{}
	// OwnerLost: the connection to it has ended.
	OwnerLost struct{}
	// Hello: a process asks to follow.
	Hello struct{ From, Revision int }
	// Take: it has prepared, and asks to own.
	Take struct{ From int }
	// Serves: it owns, and serves.
	Serves struct{ From int }
	// Left: the connection to it has ended.
	Left struct{ From int }
	// Claimed is whether the generation asked for is this process's; Generation is the one that is kept.
	Claimed struct {
		OK         bool
		Generation uint64
	}
	// Superseded: another process owns under a generation.
	Superseded struct{ Generation uint64 }
	// Ending: the process was told to end.
	Ending struct{}
	// Tick: a wake that was asked for is due.
	Tick struct{}
)

func (Started) event()    {}
func (Locked) event()     {}
func (Met) event()        {}
func (Told) event()       {}
func (Turned) event()     {}
func (Ready) event()      {}
func (Given) event()      {}
func (Revoked) event()    {}
func (OwnerLost) event()  {}
func (Hello) event()      {}
func (Take) event()       {}
func (Serves) event()     {}
func (Left) event()       {}
func (Claimed) event()    {}
func (Superseded) event() {}
func (Ending) event()     {}
func (Tick) event()       {}

// Action is what the machine wants done, in order.
type Action interface{ action() }

type (
	// TryLock asks for the lock without waiting, and for the generation that is kept; answered by Locked.
	TryLock struct{}
	// Meet says hello to the owner; answered by Met, and then by Told, Turned or OwnerLost.
	Meet struct{}
	// Listen opens a listener of this process's own, beside any that another holds.
	Listen struct{}
	// Prepare: what was told may be used; Ready is waited for. Alone: nobody told anything.
	Prepare struct{ Alone bool }
	// Ask sends Take to the owner.
	Ask struct{}
	// Claim keeps a generation as this process's unless one as high is kept, in one step; answered by Claimed. Guards
	// against two that pass over the same silent owner: both would own under one generation.
	Claim struct{ Generation uint64 }
	// Own: this process owns from now on, and can be met.
	Own struct{ Generation uint64 }
	// Accept has it take new connections, or leave them.
	Accept struct{ On bool }
	// Say tells the owner before that this one serves.
	Say struct{}
	// Offer tells a successor the state.
	Offer struct{ To int }
	// Turn tells one that there is no place, now or for its revision.
	Turn struct {
		To   int
		Busy bool
	}
	// Grant passes on the listener and the lock. What the process holds shrinks.
	Grant struct{ To int }
	// Revoke takes them back, and ends the connection.
	Revoke struct{ To int }
	// Alone: there is no other process any more: all that the limits allow is this one's.
	Alone struct{}
	// Stop: another one owns. What is open is answered, and the process ends.
	Stop struct{ Why string }
	// Wake asks for a Tick so many ms from now.
	Wake struct{ After float64 }
)

func (TryLock) action() {}
func (Meet) action()    {}
func (Listen) action()  {}
func (Prepare) action() {}
func (Ask) action()     {}
func (Claim) action()   {}
func (Own) action()     {}
func (Accept) action()  {}
func (Say) action()     {}
func (Offer) action()   {}
func (Turn) action()    {}
func (Grant) action()   {}
func (Revoke) action()  {}
func (Alone) action()   {}
func (Stop) action()    {}
func (Wake) action()    {}

// Machine is one process's part. See New.
type Machine struct {
	set        Settings
	phase      Phase
	generation uint64 // its own once it owns, before that the highest it was told
	since      float64
	sought     float64 // when it began to look for an owner
	now        float64
	met        bool // an owner is connected
	locked     bool // this process holds the lock
	prepared   bool // Ready was told
	forced     bool // nobody passes the listener on
	given      bool // the owner before has passed the listener on, and waits to hear that this one serves
	serves     bool // the successor has said so
	ending     bool
	other      int // the successor
	out        []Action
}

// New returns the machine of a process that has just started.
func New(s Settings) *Machine { return &Machine{set: s} }

// Phase is how far it has come.
func (m *Machine) Phase() Phase { return m.phase }

// Generation is its own once it owns.
func (m *Machine) Generation() uint64 { return m.generation }

// Handle takes one event at a time in ms and returns what is to be done.
func (m *Machine) Handle(now float64, e Event) []Action {
	m.now, m.out = max(now, m.now), nil
	switch e := e.(type) {
	case Started:
		m.sought = m.now
		m.do(Meet{})
	case Met:
		if m.met = e.OK; !e.OK && m.phase == Seeking {
			m.do(TryLock{})
		} else if e.OK {
			m.since = m.now
			m.do(Wake{m.set.Patience})
		}
	case Locked:
		m.lock(e)
	case Told:
		m.told(e)
	case Turned:
		if m.met = false; m.phase == Seeking && !e.Busy {
			m.do(TryLock{})
		} else if m.phase < Owning {
			m.again()
		}
	case Ready:
		m.prepared = true
		m.ready()
	case Given:
		if m.phase == Taking {
			m.locked, m.given = true, true
			m.own()
		}
	case Claimed:
		m.claimed(e)
	case Revoked:
		m.met = false
		if m.phase >= Owning {
			m.stop("the owner before took the address back")
		} else {
			m.again()
		}
	case OwnerLost:
		m.ownerLost()
	case Hello:
		m.hello(e)
	case Take:
		if m.phase == Offered && e.From == m.other {
			m.to(Granted)
			m.serves = false
			m.do(Accept{false}, Grant{e.From}, Wake{m.set.Patience})
		}
	case Serves:
		if m.phase == Granted && e.From == m.other {
			m.serves = true
		}
	case Left:
		m.left(e.From)
	case Superseded:
		if m.phase >= Owning && m.phase != Over && e.Generation > m.generation && m.phase != Granted {
			m.to(Over) // its listener's queue is its own to empty: the other one opened another
			m.do(Stop{"another process owns the address"})
		}
	case Ending:
		m.ending = true
		if m.phase == Offered { // its successor finds the lock free once this one has ended
			m.do(Turn{m.other, true})
			m.to(Owning)
		}
	case Tick:
		m.tick()
	}
	return m.out
}

func (m *Machine) do(acts ...Action) { m.out = append(m.out, acts...) }

func (m *Machine) to(p Phase) { m.phase, m.since = p, m.now }

// again looks for an owner once more, a little later.
func (m *Machine) again() {
	m.to(Seeking)
	m.do(Wake{m.set.Retry})
}

func (m *Machine) lock(e Locked) {
	m.locked = m.locked || e.OK
	if m.phase >= Owning {
		if !m.locked && m.phase != Over {
			m.do(Wake{m.set.Patience})
		}
		return
	}
	m.generation = max(m.generation, e.Generation)
	if m.phase != Seeking {
		return
	}
	// With the lock, nobody owns. Without it an owner lives and says nothing: it hangs, is stopped, or speaks another
	// revision. Its queue is its own, so this process listens beside it; the generation has it step back when it wakes.
	if !e.OK && m.now-m.sought < m.set.Patience {
		m.do(Wake{m.set.Retry})
		return
	}
	m.forced = true
	m.do(Listen{})
	m.prepare(true)
}

// prepare has the process made ready, or finds that it is: an owner before this one may have told its state and died.
func (m *Machine) prepare(alone bool) {
	m.to(Preparing)
	m.do(Prepare{Alone: alone})
	if m.prepared {
		m.ready()
	}
}

func (m *Machine) told(e Told) {
	if m.phase != Seeking || !m.met {
		return
	}
	m.generation = max(m.generation, e.Generation)
	if e.Revision != Revision {
		m.met = false
		m.do(TryLock{})
		return
	}
	m.prepare(false)
}

func (m *Machine) ready() {
	if m.phase != Preparing {
		return
	}
	if m.forced {
		m.own()
		return
	}
	m.to(Taking)
	m.do(Ask{}, Wake{m.set.Patience})
}

func (m *Machine) own() { m.do(Claim{m.generation + 1}) }

func (m *Machine) claimed(e Claimed) {
	switch {
	case !e.OK && m.phase >= Owning: // another one owns since this one gave
		m.generation = max(m.generation, e.Generation)
		m.stop("another process owns the address")
		return
	case !e.OK: // others were first to pass over the owner before
		m.generation = max(m.generation, e.Generation)
		m.sought, m.given = m.now, false
		m.again()
		return
	}
	m.to(Owning)
	m.generation = e.Generation
	m.do(Own{m.generation}, Accept{true})
	if m.given {
		m.given = false
		m.do(Say{})
	} else if !m.met {
		m.do(Alone{})
	}
	if !m.locked {
		m.do(Wake{m.set.Patience})
	}
}

// ownerLost: before it gave anything, the owner has died or hangs; after, it has done its part.
func (m *Machine) ownerLost() {
	if !m.met {
		return
	}
	m.met = false
	switch m.phase {
	case Seeking, Preparing, Taking: // whoever gets its lock may follow it
		m.to(Seeking)
		m.do(TryLock{})
	case Owning, Offered, Granted:
		m.do(Alone{})
	}
}

func (m *Machine) hello(e Hello) {
	switch {
	case m.ending || e.Revision != Revision || m.phase != Owning:
		m.do(Turn{e.From, e.Revision == Revision})
	default:
		m.other = e.From
		m.to(Offered)
		m.do(Offer{e.From}, Wake{m.set.Prepare})
	}
}

// left: a successor is gone. Whatever it had been given, this process still holds.
func (m *Machine) left(from int) {
	if from != m.other {
		return
	}
	switch m.phase {
	case Offered:
		m.to(Owning)
	case Granted:
		m.generation++ // the successor's may be kept by now
		m.own()
	}
}

func (m *Machine) stop(why string) {
	m.to(Over)
	m.do(Accept{false}, Stop{why})
}

func (m *Machine) tick() {
	waited := m.now - m.since
	switch {
	case m.phase == Seeking && m.met:
		if waited >= m.set.Patience {
			m.met = false
			m.do(TryLock{})
		}
	case m.phase == Seeking:
		m.do(Meet{})
	case m.phase == Taking && waited >= m.set.Patience && m.met: // it was there a moment ago, and hangs now
		m.ownerLost()
	case m.phase == Offered && waited >= m.set.Prepare:
		m.to(Owning)
		m.do(Turn{m.other, true})
	case m.phase == Granted && waited >= m.set.Patience && !m.serves:
		other := m.other
		m.do(Revoke{other})
		m.left(other)
	case m.phase >= Owning && m.phase != Over && !m.locked:
		m.do(TryLock{})
	}
}
