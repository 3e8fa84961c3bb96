package discovery

import (
	"math"
	"slices"
)

// behaviour is how the service answers one call.
type behaviour struct {
	name         string
	refused      bool
	connectAfter float64 // ms until the connection is established or refused
	disconnects  bool    // the service closes the connection as soon as it is established
	frameAfter   float64 // ms from then until the first frame begins; never: no frame is sent
	bytes        int     // size of the first frame, which is sent slowly; 0: it is sent at once
	msPerByte    float64 // of the first frame
}

// never is the time of something that does not happen.
var never = math.Inf(1)

// The behaviours. The service sends the pending event with the first frame of a call.
var (
	healthy        = behaviour{name: "healthy"}
	silent         = behaviour{name: "silent", frameAfter: never}
	refused        = behaviour{name: "refused", refused: true}
	disconnected   = behaviour{name: "disconnected", disconnects: true}
	neverConnected = behaviour{name: "never connected", connectAfter: never}
	slowConnect    = behaviour{name: "connected late", connectAfter: 1500}
	trickling      = behaviour{name: "trickling", bytes: 33, msPerByte: 1000}
	slowList       = behaviour{name: "slow list", bytes: 5400, msPerByte: 0.25}
)

// simulation is a watcher and the service that it watches, in virtual time.
type simulation struct {
	watcher    *Watcher
	now        float64
	queue      []scheduled // sorted by time
	wakeAt     float64
	open       map[CallID]*connection
	behaviours []behaviour // to the next calls; to those after them the service is healthy
	callTimes  []float64   // when each call was opened, ms
	maxOpen    int         // the most calls that were open at once
	pending    bool        // the service has published an event that has to be received
	receivedAt float64     // ms, when the pending event was received; never: not yet
	overdueAt  float64     // ms, when Overdue was reported last; never: it was not
	actions    []Action

	overdues, caughtUps int // how often Overdue and CaughtUp were reported
}

// scheduled is something that happens at a time.
type scheduled struct {
	at float64
	do func()
}

// connection is the service's end of an open call.
type connection struct {
	established bool
	silenced    bool // the service sends nothing more
}

func newSimulation(s Settings) *simulation {
	return &simulation{watcher: New(s), open: map[CallID]*connection{}, wakeAt: never, receivedAt: never, overdueAt: never}
}

// at has do run at a time, in ms, after what was scheduled for the same time before.
func (s *simulation) schedule(at float64, do func()) {
	i, _ := slices.BinarySearchFunc(s.queue, at, func(next scheduled, at float64) int {
		if next.at <= at {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, i, scheduled{at, do})
}

// run lets virtual time pass until a time, in ms.
func (s *simulation) run(until float64) {
	for {
		if len(s.queue) > 0 && s.queue[0].at <= s.wakeAt {
			next := s.queue[0]
			if next.at > until {
				break
			}
			s.queue = s.queue[1:]
			s.now = next.at
			next.do()
			continue
		}
		if s.wakeAt > until {
			break
		}
		s.now = max(s.now, s.wakeAt)
		s.handle(Tick{})
	}
	s.now = until
}

func (s *simulation) handle(event Event) {
	s.actions = s.watcher.Handle(s.now, event, s.actions[:0])
	for _, action := range slices.Clone(s.actions) {
		switch action := action.(type) {
		case Dial:
			s.handleDial(action.Call)
		case Close:
			delete(s.open, action.Call)
		case Wake:
			s.wakeAt = action.At
		case Overdue:
			s.overdueAt = s.now
			s.overdues++
		case CaughtUp:
			s.caughtUps++
		}
	}
	s.maxOpen = max(s.maxOpen, len(s.open))
}

// handleDial has the service answer a new call with the next behaviour.
func (s *simulation) handleDial(id CallID) {
	s.callTimes = append(s.callTimes, s.now)
	b := healthy
	if len(s.behaviours) > 0 {
		b, s.behaviours = s.behaviours[0], s.behaviours[1:]
	}
	c := &connection{}
	s.open[id] = c
	s.schedule(s.now+b.connectAfter, func() {
		if s.open[id] != c {
			return
		}
		if c.established = !b.refused; b.refused || b.disconnects {
			s.disconnect(id)
			return
		}
		s.answer(id, c, b)
	})
}

// answer sends the first frame of a behaviour byte by byte, and then the pending event and an empty frame each second.
func (s *simulation) answer(id CallID, c *connection, b behaviour) {
	began := s.now
	for received := 1; received < b.bytes; received++ {
		if received%100 != 1 && b.bytes > 100 {
			continue
		}
		s.schedule(began+float64(received)*b.msPerByte, func() {
			if s.open[id] != c || c.silenced {
				return
			}
			progress := FrameProgress{Call: id, Received: received, FirstByteAt: began, LastByteAt: s.now}
			if received >= 4 {
				progress.Size = b.bytes
			}
			s.handle(progress)
		})
	}
	s.schedule(began+b.frameAfter+float64(b.bytes)*b.msPerByte, func() { s.sendFrame(id, c) })
}

func (s *simulation) sendFrame(id CallID, c *connection) {
	if s.open[id] != c || c.silenced {
		return
	}
	if s.pending && s.receivedAt == never {
		s.receivedAt = s.now
	}
	s.handle(FrameReceived{Call: id})
	s.schedule(s.now+1000, func() { s.sendFrame(id, c) })
}

func (s *simulation) disconnect(id CallID) {
	established := s.open[id].established
	delete(s.open, id)
	s.handle(Ended{Call: id, Connected: established})
}

// disconnectAll ends all established calls, and returns how many there were.
func (s *simulation) disconnectAll() int {
	var ids []CallID
	for id, c := range s.open {
		if c.established {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if s.open[id] != nil {
			s.disconnect(id)
		}
	}
	return len(ids)
}

// silenceAll has the service send nothing more on the calls that are open now, including those not established yet.
func (s *simulation) silenceAll() {
	for _, c := range s.open {
		c.silenced = true
	}
}
