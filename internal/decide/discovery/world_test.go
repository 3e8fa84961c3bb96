package discovery

import (
	"math"
	"slices"
)

// treatment is what a board does with one caller.
type treatment struct {
	name    string
	refused bool
	up      float64 // ms until the connection is up
	ends    bool    // it is broken off once it is up
	word    float64 // ms from then to its first word; infinite: none ever comes
	bytes   int     // of a frame that comes first
	pace    float64 // ms for each of them
}

// never is the time of what does not happen.
var never = math.Inf(1)

// The treatments. What is held comes with the first word of a call that is treated well.
var (
	well       = treatment{name: "well"}
	mute       = treatment{name: "mute", word: never}
	refused    = treatment{name: "refused", refused: true}
	brokenOff  = treatment{name: "broken off", ends: true}
	unanswered = treatment{name: "never up", up: never}
	late       = treatment{name: "up late", up: 1500}
	trickles   = treatment{name: "trickles", bytes: 33, pace: 1000}
	slowList   = treatment{name: "slow list", bytes: 5400, pace: 0.25}
)

// world is one follower and the board that it follows, in virtual time.
type world struct {
	f       *Follower
	now     float64
	queue   []happening // in order of time
	wake    float64
	open    map[CallID]*line
	callers []treatment // of the next callers; those after them are treated well
	calls   []float64   // when each was made
	most    int         // calls open at once
	heard   float64     // when what is held was heard; never: not yet
	held    bool        // there is something to hear
	overdue float64     // when it was said to be overdue last; never: it was not
	acts    []Action

	overdues, currents int // how often each was said
}

type happening struct {
	at float64
	do func()
}

// line is an open call, as the board sees it.
type line struct {
	up   bool
	mute bool
}

func newWorld(s Settings) *world {
	return &world{f: New(s), open: map[CallID]*line{}, wake: never, heard: never, overdue: never}
}

func (w *world) at(at float64, do func()) {
	i, _ := slices.BinarySearchFunc(w.queue, at, func(h happening, at float64) int {
		if h.at <= at {
			return -1
		}
		return 1
	})
	w.queue = slices.Insert(w.queue, i, happening{at, do})
}

// run plays until a time.
func (w *world) run(until float64) {
	for {
		next := w.wake
		if len(w.queue) > 0 && w.queue[0].at <= next {
			h := w.queue[0]
			if h.at > until {
				break
			}
			w.queue = w.queue[1:]
			w.now = h.at
			h.do()
			continue
		}
		if next > until {
			break
		}
		w.now = max(w.now, next)
		w.tell(Tick{})
	}
	w.now = until
}

func (w *world) tell(e Event) {
	w.acts = w.f.Handle(w.now, e, w.acts[:0])
	for _, a := range slices.Clone(w.acts) {
		switch a := a.(type) {
		case Dial:
			w.dialled(a.Call)
		case Close:
			delete(w.open, a.Call)
		case Wake:
			w.wake = a.At
		case Overdue:
			w.overdue = w.now
			w.overdues++
		case Current:
			w.currents++
		}
	}
	w.most = max(w.most, len(w.open))
}

// dialled has the board treat the next caller.
func (w *world) dialled(id CallID) {
	w.calls = append(w.calls, w.now)
	t := well
	if len(w.callers) > 0 {
		t, w.callers = w.callers[0], w.callers[1:]
	}
	l := &line{}
	w.open[id] = l
	w.at(w.now+t.up, func() {
		if w.open[id] != l {
			return
		}
		if l.up = !t.refused; t.refused || t.ends {
			w.hangUp(id)
			return
		}
		w.speak(id, l, t)
	})
}

// speak brings the frame that comes first, a byte at a time, and then what is held and an empty frame each second.
func (w *world) speak(id CallID, l *line, t treatment) {
	began := w.now
	for have := 1; have < t.bytes; have++ {
		if have%100 != 1 && t.bytes > 100 {
			continue
		}
		w.at(began+float64(have)*t.pace, func() {
			if w.open[id] != l || l.mute {
				return
			}
			p := Progress{Call: id, Have: have, Began: began, Latest: w.now}
			if have >= 4 {
				p.Want = t.bytes
			}
			w.tell(p)
		})
	}
	w.at(began+t.word+float64(t.bytes)*t.pace, func() { w.word(id, l) })
}

func (w *world) word(id CallID, l *line) {
	if w.open[id] != l || l.mute {
		return
	}
	if w.held && w.heard == never {
		w.heard = w.now
	}
	w.tell(Word{Call: id})
	w.at(w.now+1000, func() { w.word(id, l) })
}

func (w *world) hangUp(id CallID) {
	up := w.open[id].up
	delete(w.open, id)
	w.tell(Ended{Call: id, Up: up})
}

// breakAll ends all open calls that are up, and returns how many.
func (w *world) breakAll() int {
	var ids []CallID
	for id, l := range w.open {
		if l.up {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if w.open[id] != nil {
			w.hangUp(id)
		}
	}
	return len(ids)
}

// muteAll has all open calls say nothing more, those that come up later too.
func (w *world) muteAll() {
	for _, l := range w.open {
		l.mute = true
	}
}
