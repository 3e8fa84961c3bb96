package sim

import (
	"strconv"

	"ravenwheel/policy"
)

// Decider decides for one proxy, event by event. *policy.Router is the program's own; others are there to be held against it.
type Decider interface {
	Handle(now policy.Time, e policy.Event, acts []policy.Action) []policy.Action
}

// View is the fleet as it truly stood some time ago, which no proxy could know.
type View interface {
	// Busy is what a server had to send for each transfer that it can; up is false if it did not answer.
	Busy(id policy.CacheID) (busy float64, up bool)
	// Holds tells whether a server held a part by then, and holds it still.
	Holds(id policy.CacheID, object string, part int) bool
}

// Player makes the deciders of a run: one for each start of a proxy.
type Player struct {
	Name string
	Late float64 // ms by which what View shows is old; 0: there is none
	Make func(s policy.Settings, seed uint64, v View) (Decider, error)
}

// Module is the program's own.
var Module = Player{Name: "module", Make: func(s policy.Settings, seed uint64, _ View) (Decider, error) {
	return policy.New(s, seed)
}}

// late is the View of a run: a look each lookEvery ms, and the looks of the last lag ms.
type late struct {
	w    *world
	lag  float64
	seen []look
}

// look is how all servers stood at a time, in their order.
type look struct {
	at      float64
	servers []stand
}

type stand struct {
	busy float64
	up   bool
}

// lookEvery: ms between looks. Shorter costs more and shows hardly more, at lags of some hundred ms.
const lookEvery = 50

func (l *late) look() {
	w := l.w
	x := look{at: w.now, servers: make([]stand, len(w.all))}
	for i, s := range w.all {
		x.servers[i] = stand{s.busy(), s.state == up}
	}
	l.seen = append(l.seen, x)
	for len(l.seen) > 1 && l.seen[1].at <= w.now-l.lag {
		l.seen = l.seen[1:]
	}
	if w.now < w.end()+w.tail() {
		w.after(lookEvery, l.look)
	}
}

// busy is what is being sent for each transfer that there is room for, at the origin answers for each slot.
func (s *server) busy() float64 {
	if s.role == s.w.kinds.origin {
		return float64(s.w.line.busy+len(s.w.line.queue)) / float64(max(1, s.w.spec.Fleet.Origin))
	}
	if s.out.rate <= 0 {
		return float64(len(s.out.on))
	}
	return float64(len(s.out.on)) * s.out.pace / s.out.rate
}

// Busy implements View.
func (l *late) Busy(id policy.CacheID) (float64, bool) {
	s := l.seen[0].servers[id-1] // ids count from 1, in the order of all
	return s.busy, s.up
}

// Holds implements View. What went since is not held: that errs in favour of the one who looks.
func (l *late) Holds(id policy.CacheID, object string, part int) bool {
	n, err := strconv.ParseInt(object, 16, 32)
	if err != nil {
		return false
	}
	h := l.w.servers[id].store.held[key{int32(n), int32(part)}]
	return h != nil && h.since <= l.w.now-l.lag
}
