package distribution

import "math"

// GuardState is what the request path goes by; it is replaced whole. It says what holds later too, so that a process that
// was stopped, and judges a request before its machine has had its Tick, goes by the same.
type GuardState struct {
	// Held: strict classes take no copy from before Oldest, Unix ms by this process's clock.
	Held   bool
	Oldest float64
	// From FreshUntil on the process may be behind by more than its bound: then they take none from before Watermark,
	// which is the watermark's time with the bound on clocks.
	FreshUntil float64
	Watermark  float64
}

// nothingKnown holds before the first watermark: no copy is known to be good.
var nothingKnown = GuardState{Held: true, Oldest: math.Inf(1), FreshUntil: math.Inf(-1), Watermark: math.Inf(1)}

// Verdict is what may be done with a copy.
type Verdict uint8

// The verdicts.
const (
	Serve   Verdict = iota // the copy
	Counted                // the copy, and count it as served by a process that may be too far behind
	Origin                 // not the copy: ask the origin
	Refuse                 // not the copy, and the origin's share is used up
)

// Gate judges requests by the state that Guard told last. It is not safe for use by several goroutines at once.
type Gate struct {
	set    Settings
	state  GuardState
	share  float64 // of requests, that may go to the origin
	second float64 // of this second
	filled float64 // when second was filled up
}

// NewGate returns one that takes no copy, until Set says otherwise.
func NewGate(s Settings) *Gate {
	return &Gate{set: s, state: nothingKnown, share: 1, second: s.ShieldPerSecond, filled: math.Inf(-1)}
}

// Set takes the state of a Guard.
func (g *Gate) Set(s GuardState) { g.state = s }

// Oldest is the time before which strict classes take no copy; minus infinity: there is none.
func (g *Gate) Oldest(now float64) float64 {
	oldest := math.Inf(-1)
	if g.state.Held {
		oldest = g.state.Oldest
	}
	if now >= g.state.FreshUntil {
		oldest = max(oldest, g.state.Watermark)
	}
	return oldest
}

// Judge decides on a copy of a class that was made (or validated) at a time, Unix ms by this process's clock.
func (g *Gate) Judge(now float64, class string, made float64) Verdict {
	switch {
	case made >= g.Oldest(now):
		return Serve
	case g.set.Classes[class] == Continue:
		return Counted
	case g.admit(now):
		return Origin
	default:
		return Refuse
	}
}

// admit takes a place at the origin: a share of the requests that ask for one, and no more than so many in a second.
func (g *Gate) admit(now float64) bool {
	if now > g.filled {
		if !math.IsInf(g.filled, -1) {
			g.second = min(g.set.ShieldPerSecond, g.second+(now-g.filled)/1000*g.set.ShieldPerSecond)
		}
		g.filled = now
	}
	g.share = min(mostShare, g.share+g.set.ShieldShare)
	if g.share < 1 || g.second < 1 {
		return false
	}
	g.share--
	g.second--
	return true
}

// mostShare is how many unused places at the origin are kept: enough for a few requests at once, no burst.
const mostShare = 4
