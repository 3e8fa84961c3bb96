package distribution

import "math"

// Freshness says which copies the request path may serve. It includes FreshUntil, the time from which stricter rules apply, so that the
// request path decides correctly even if the Subscriber's Tick is late, as after a pause of the process. All times are Unix ms by this
// process's clock.
type Freshness struct {
	// Restricted means that strict classes are served no copy from before OldestCopy.
	Restricted bool
	OldestCopy float64
	// From FreshUntil on the process may be behind by more than MaxLag. Strict classes are then served no copy from before
	// WatermarkTime, which is the watermark's time plus MaxClockSkew.
	FreshUntil    float64
	WatermarkTime float64
}

// unknownFreshness applies before the first watermark: no copy is known to be fresh.
var unknownFreshness = Freshness{Restricted: true, OldestCopy: math.Inf(1), FreshUntil: math.Inf(-1), WatermarkTime: math.Inf(1)}

// beforeFirstWatermark reports whether f restricts copies as unknownFreshness does. Only an OldestCopy of plus infinity shows that, as
// the other fields change with the first watermark.
func (f Freshness) beforeFirstWatermark() bool { return math.IsInf(f.OldestCopy, 1) }

// updateFreshness decides which Freshness applies now. Past FreshUntil strict classes are restricted to copies from after the
// watermark. Once the process has caught up, the restriction ends after a delay drawn from 0 to RelaxSpread; the restriction of a
// process that has just started ends at once with the first watermark.
func (s *Subscriber) updateFreshness() {
	if s.watermark == (Watermark{}) {
		return
	}
	next := s.freshness
	next.WatermarkTime = float64(s.watermark.At) + s.settings.MaxClockSkew
	next.FreshUntil = float64(s.watermark.At) + s.settings.MaxLag - s.settings.MaxClockSkew
	starting := next.beforeFirstWatermark()
	switch {
	case s.now >= next.FreshUntil:
		if !next.Restricted || starting {
			next.OldestCopy = next.WatermarkTime
		}
		next.Restricted, next.OldestCopy = true, max(next.OldestCopy, next.WatermarkTime)
		s.relaxAt = 0
	case next.Restricted && starting:
		next.Restricted, next.OldestCopy = false, 0
	case next.Restricted && s.relaxAt == 0:
		s.relaxAt = s.now + s.jitter.upTo(s.settings.RelaxSpread)
	case next.Restricted && s.now >= s.relaxAt:
		next.Restricted, next.OldestCopy, s.relaxAt = false, 0, 0
	}
	if next != s.freshness {
		s.freshness = next
		s.emit(SetFreshness{State: next})
	}
}

// Verdict says how a request may be served for which there is a copy.
type Verdict uint8

// The verdicts.
const (
	VerdictServe       Verdict = iota // serve the copy
	VerdictServeStale                 // serve the copy, and count it as served by a process that may be too far behind
	VerdictFetchOrigin                // do not serve the copy: fetch from the origin
	VerdictReject                     // do not serve the copy, and do not ask the origin: its quota is used up
)

// maxOriginTokens is how many unused requests to the origin may accumulate: enough for a few requests at once, but not for a burst.
const maxOriginTokens = 4

// FreshnessGate decides whether a request may be served from a copy. It is not safe for concurrent use.
type FreshnessGate struct {
	settings         Settings
	state            Freshness
	originTokens     float64 // rises by OriginFraction with each request that asks for the origin
	originRateTokens float64 // rises by OriginPerSecond each second
	refilledAt       float64 // when originRateTokens was refilled last
}

// NewFreshnessGate returns a gate that accepts no copy for strict classes before the first Update.
func NewFreshnessGate(s Settings) *FreshnessGate {
	return &FreshnessGate{
		settings: s, state: unknownFreshness, originTokens: 1, originRateTokens: s.OriginPerSecond, refilledAt: math.Inf(-1),
	}
}

// Update sets the state, which comes from a SetFreshness.
func (g *FreshnessGate) Update(state Freshness) { g.state = state }

// OldestCopy returns the time in Unix ms before which a copy must not have been made to be served to strict classes. Minus infinity
// means that they may be served any copy.
func (g *FreshnessGate) OldestCopy(now float64) float64 {
	oldest := math.Inf(-1)
	if g.state.Restricted {
		oldest = g.state.OldestCopy
	}
	if now >= g.state.FreshUntil {
		oldest = max(oldest, g.state.WatermarkTime)
	}
	return oldest
}

// Decide decides how a request of a class may be served. There is a copy that was made (or validated) at madeAt, Unix ms by this
// process's clock.
func (g *FreshnessGate) Decide(now float64, class string, madeAt float64) Verdict {
	switch {
	case madeAt >= g.OldestCopy(now):
		return VerdictServe
	case g.settings.Classes[class] == PolicyServeStale:
		return VerdictServeStale
	case g.admitOrigin(now):
		return VerdictFetchOrigin
	default:
		return VerdictReject
	}
}

// admitOrigin reports whether one more request may go to the origin. It admits OriginFraction of those that ask, and at most
// OriginPerSecond each second. An admitted request takes a token of both.
func (g *FreshnessGate) admitOrigin(now float64) bool {
	if now > g.refilledAt {
		if !math.IsInf(g.refilledAt, -1) {
			refill := (now - g.refilledAt) / 1000 * g.settings.OriginPerSecond
			g.originRateTokens = min(g.settings.OriginPerSecond, g.originRateTokens+refill)
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
