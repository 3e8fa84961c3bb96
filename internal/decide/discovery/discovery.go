// Package discovery decides how discovery is followed: when it is called, which calls are open beside one another, which of them
// counts, and by when what it holds has to be heard. It opens no socket and reads no clock: events go in, and what is to be done
// comes out. Its decisions are tested here, faults in every order against the time that there is.
//
// A board that says nothing and one that is crowded can't be told apart by waiting on one connection: whatever the wait, it is
// wrong for one of them. So a call that brings no whole frame in time stays open and gets another one beside it, as RFC 8305 has
// it for addresses. The first whole frame wins, and the others are closed. What is known of one call or address (waits, pauses,
// failures) does not count against the next address: a move begins afresh.
package discovery

import (
	"math"
	"math/rand/v2"
	"slices"
)

// call is one that is open, or coming up.
type call struct {
	id    CallID
	began float64
	frame Progress // the frame under way
}

// Follower follows discovery, at one address at a time.
type Follower struct {
	set  Settings
	rng  *rand.Rand
	acts []Action

	addr     string
	calls    []call // in the order in which they were made
	last     CallID
	next     float64 // when the next call is made
	why      Reason  // of the next call
	waited   int     // calls in a row that were made beside one that was silent
	failed   int     // calls in a row that ended before they had lived for an interval
	lastWord float64
	due      float64 // by when all that discovery holds has to be heard
	overdue  bool
}

// New returns a follower that waits for its Start.
func New(s Settings) *Follower {
	return &Follower{set: s, rng: rand.New(rand.NewPCG(s.Seed, 0)), next: math.Inf(1), due: math.Inf(1)}
}

// Handle takes an event in and appends what is to be done, in order. Times are in ms and never run back.
func (f *Follower) Handle(now float64, e Event, acts []Action) []Action {
	f.acts = acts
	switch e := e.(type) {
	case Start:
		f.lastWord = now
		f.settleOn(now, e.Addr, ReasonStart, f.set.NotifiedStarted)
	case Move:
		f.move(now, e.Addr)
	case Progress:
		if c := f.call(e.Call); c != nil {
			c.frame = e
		}
	case Word:
		f.word(now, e.Call)
	case Ended:
		f.ended(now, e)
	}
	f.advance(now)
	acts, f.acts = f.acts, nil
	return acts
}

func (f *Follower) do(a Action) { f.acts = append(f.acts, a) }

func (f *Follower) call(id CallID) *call {
	for i := range f.calls {
		if f.calls[i].id == id {
			return &f.calls[i]
		}
	}
	return nil
}

// settleOn begins afresh at an address. What a call was left for by a move says nothing of the next address: counted as silence
// and as a failure, it doubled the wait there and lengthened the pauses, and purges were heard too late.
func (f *Follower) settleOn(now float64, addr string, why Reason, notified float64) {
	for _, c := range f.calls {
		f.do(Close{Call: c.id, Why: ReasonMoved})
	}
	f.addr, f.calls, f.waited, f.failed = addr, nil, 0, 0
	f.next, f.why = now, why
	f.due = now + notified + f.set.Grace
}

// move follows a configuration that was read anew. One that names the address of now says that something has changed there: what
// is open goes on, and has to speak soon.
func (f *Follower) move(now float64, addr string) {
	if addr != f.addr {
		f.settleOn(now, addr, ReasonMoved, f.set.NotifiedMoved)
		return
	}
	f.waited, f.failed = 0, 0
	f.due = min(f.due, now+f.set.NotifiedMoved+f.set.Grace)
	f.callBy(now+f.set.Interval*(1.2+0.3*f.rng.Float64()), ReasonSilent)
}

// callBy has the next call made by a time.
func (f *Follower) callBy(at float64, why Reason) {
	if at < f.next {
		f.next, f.why = at, why
	}
}

// word: the call that speaks counts, and the others are closed. Only a whole frame is a word: bytes that trickle once put off the
// end of a connection for as long as they came.
func (f *Follower) word(now float64, id CallID) {
	c := f.call(id)
	if c == nil {
		return
	}
	for _, other := range f.calls {
		if other.id != id {
			f.do(Close{Call: other.id, Why: ReasonSecond})
		}
	}
	if now-c.began >= f.set.Interval {
		f.failed = 0
	}
	c.frame = Progress{}
	f.calls = []call{*c}
	f.waited, f.lastWord = 0, now
	f.due = now + f.set.NotifiedStopped + f.set.Grace
	f.next, f.why = now+f.set.Silence+f.set.SilenceSpread*f.rng.Float64(), ReasonSilent
	if f.overdue {
		f.overdue = false
		f.do(Current{})
	}
}

// ended: a call that broke off is made again after a pause, whatever other calls are open.
func (f *Follower) ended(now float64, e Ended) {
	c := f.call(e.Call)
	if c == nil {
		return
	}
	if now-c.began >= f.set.Interval {
		f.failed = 0
	}
	f.calls = slices.DeleteFunc(f.calls, func(c call) bool { return c.id == e.Call })
	if e.Up {
		f.due = min(f.due, now+f.set.NotifiedBroken+f.set.Grace)
	}
	if len(f.calls) == 0 {
		f.next = math.Inf(1) // nothing is open that could still speak: the pause alone counts
	}
	f.callBy(now+f.pause(), ReasonAgain)
	f.failed++
	f.waited = 0
}

// pause is the wait after a call that ended.
func (f *Follower) pause() float64 {
	most := f.set.MostRedial
	if f.failed < f.set.SoonRedials {
		most = f.set.SoonRedial
	}
	return min(f.set.Redial*math.Pow(2, float64(f.failed)), most) * (0.5 + f.rng.Float64())
}

// wait is the wait for a whole frame until another call is made beside those that are open. Its spread is a third.
func (f *Follower) wait() float64 {
	mean := min(f.set.FirstWord*math.Pow(f.set.WaitGrowth, float64(f.waited)), f.set.MostWait)
	return mean * (5 + 2*f.rng.Float64()) / 6
}

const (
	// lookAgain: ms after which a frame that is coming is looked at again.
	lookAgain = 250
	// stalled: ms without a byte after which a frame does not count as coming.
	stalled = 500
	// reserve: ms before everything has to be heard, from when on no frame that is coming is relied on.
	reserve = 1500
)

// advance does what is due.
func (f *Follower) advance(now float64) {
	if now >= f.next {
		if f.comesInTime(now) {
			f.next = now + lookAgain
		} else {
			f.dial(now)
		}
	}
	over := f.due - f.set.Margin
	if !f.overdue && now >= over {
		f.overdue = true
		f.do(Overdue{LastWord: f.lastWord, Notified: f.due - f.set.Grace})
	}
	wake := f.next
	if !f.overdue {
		wake = min(wake, over)
	}
	f.do(Wake{At: wake})
}

// comesInTime tells whether a frame is under way that will be whole in time at the pace of its bytes. Guards against a long list
// over a slow connection being asked for again and again beside itself.
func (f *Follower) comesInTime(now float64) bool {
	if now > f.due-reserve {
		return false
	}
	for _, c := range f.calls {
		p := c.frame
		if p.Want <= 0 || p.Have <= 0 || now-p.Latest > stalled {
			continue
		}
		pace := (now - p.Began) / float64(p.Have)
		if now+pace*float64(p.Want-p.Have) <= f.due-f.set.Margin {
			return true
		}
	}
	return false
}

func (f *Follower) dial(now float64) {
	if len(f.calls) >= f.set.Calls {
		f.makeRoom()
	}
	f.last++
	f.calls = append(f.calls, call{id: f.last, began: now})
	f.do(Dial{Call: f.last, Addr: f.addr, Why: f.why})
	f.next, f.why = now+f.wait(), ReasonSilent
	f.waited++
}

// makeRoom ends a call. The one that has brought most of a frame stays, and of several that have brought nothing the oldest: a
// board that is crowded may be about to speak over it. Of the others the oldest goes.
func (f *Follower) makeRoom() {
	best := 0
	for i, c := range f.calls {
		if c.frame.Have > f.calls[best].frame.Have {
			best = i
		}
	}
	gone := 0
	if best == 0 {
		gone = 1
	}
	f.do(Close{Call: f.calls[gone].id, Why: ReasonRoom})
	f.calls = slices.Delete(f.calls, gone, gone+1)
}
