package distribution

import "math"

// GuardState is what the request path goes by; it is replaced whole. It says what holds later too, so that a process that
// was stopped, and judges a request before its machine has had its Tick, goes by the same.
type Freshness struct {
	// Held: strict classes take no copy from before Oldest, Unix ms by this process's clock.
	Restricted bool
	OldestCopy float64
	// From FreshUntil on the process may be behind by more than its bound: then they take none from before Watermark,
	// which is the watermark's time with the bound on clocks.
	FreshUntil    float64
	WatermarkTime float64
}

// nothingKnown holds before the first watermark: no copy is known to be good.
var unknownFreshness = Freshness{Restricted: true, OldestCopy: math.Inf(1), FreshUntil: math.Inf(-1), WatermarkTime: math.Inf(1)}

// Verdict is what may be done with a copy.
type Verdict uint8

// The verdicts.
const (
	VerdictServe       Verdict = iota // the copy
	VerdictServeStale                 // the copy, and count it as served by a process that may be too far behind
	VerdictFetchOrigin                // not the copy: ask the origin
	VerdictReject                     // not the copy, and the origin's share is used up
)

// Gate judges requests by the state that Guard told last. It is not safe for use by several goroutines at once.
type FreshnessGate struct {
	settings         Settings
	freshness        Freshness
	originTokens     float64 // of requests, that may go to the origin
	originRateTokens float64 // of this second
	refilledAt       float64 // when second was filled up
}

// NewGate returns one that takes no copy, until Set says otherwise.
func NewFreshnessGate(s Settings) *FreshnessGate {
	return &FreshnessGate{settings: s, freshness: unknownFreshness, originTokens: 1, originRateTokens: s.OriginPerSecond, refilledAt: math.Inf(-1)}
}

// Set takes the state of a Guard.
func (g *FreshnessGate) Update(s Freshness) { g.freshness = s }

// Oldest is the time before which strict classes take no copy; minus infinity: there is none.
func (g *FreshnessGate) OldestCopy(now float64) float64 {
	oldest := math.Inf(-1)
	if g.freshness.Restricted {
		oldest = g.freshness.OldestCopy
	}
	if now >= g.freshness.FreshUntil {
		oldest = max(oldest, g.freshness.WatermarkTime)
	}
	return oldest
}

// Judge decides on a copy of a class that was made (or validated) at a time, Unix ms by this process's clock.
func (g *FreshnessGate) Decide(now float64, class string, made float64) Verdict {
	switch {
	case made >= g.OldestCopy(now):
		return VerdictServe
	case g.settings.Classes[class] == PolicyServeStale:
		return VerdictServeStale
	case g.admitOrigin(now):
		return VerdictFetchOrigin
	default:
		return VerdictReject
	}
}

// admit takes a place at the origin: a share of the requests that ask for one, and no more than so many in a second.
func (g *FreshnessGate) admitOrigin(now float64) bool {
	if now > g.refilledAt {
		if !math.IsInf(g.refilledAt, -1) {
			g.originRateTokens = min(g.settings.OriginPerSecond, g.originRateTokens+(now-g.refilledAt)/1000*g.settings.OriginPerSecond)
		}
		g.refilledAt = now
	}
	g.originTokens = min(maxOriginTokens, g.originTokens+g.settings.OriginFraction)
	if g.originTokens < 1 || g.originRateTokens < 1 {
		return false
	}
	g.originTokens--
	g.originRateTokens--
	return true
}

// mostShare is how many unused places at the origin are kept: enough for a few requests at once, no burst.
const maxOriginTokens = 4
