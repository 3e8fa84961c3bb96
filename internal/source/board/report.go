package board

import (
	"sync/atomic"

	"ravenwheel/internal/clock"
)

// Reason is why a call to discovery was made, or why one ended.
type Reason string

// The reasons.
const (
	ReasonStart  Reason = "start"       // the first call
	ReasonMoved  Reason = "moved"       // discovery is at another address
	ReasonAgain  Reason = "again"       // the call before it has ended
	ReasonDial   Reason = "dial failed" // it never came up
	ReasonBroken Reason = "broken off"  // the other side ended it, or what it says can't be read
	ReasonSilent Reason = "silent"      // nothing came for too long
	ReasonEnded  Reason = "ended"       // the program stops following
)

// logKind is the kind of the client's lines in the log.
const logKind = "discovery"

// gapAfter: ms between two frames, which come each second, after which what the second tells may be late.
const gapAfter = 2000

// Counters count what became of a client's calls. They only rise, but for the two spans.
type Counters struct {
	Calls    atomic.Int64 // begun
	Heard    atomic.Int64 // over which a whole frame came
	Failed   atomic.Int64 // that never came up
	Broken   atomic.Int64 // ended by the other side
	Silent   atomic.Int64 // ended as nothing came
	Moves    atomic.Int64
	Frames   atomic.Int64
	Late     atomic.Int64 // purges and lists that may have been heard late
	LastWord atomic.Int64 // Unix ms of the last whole frame on the program's clock; 0: none yet
	WorstGap atomic.Int64 // ms, the longest time between two whole frames
}

// Status is a reading of the counters, as operators are shown it.
type Status struct {
	Addr     string  `json:"address"`
	Last     uint64  `json:"last_event"`
	Calls    int64   `json:"calls"`
	Heard    int64   `json:"calls_heard"`
	Failed   int64   `json:"calls_failed"`
	Broken   int64   `json:"calls_broken"`
	Silent   int64   `json:"calls_silent"`
	Moves    int64   `json:"moves"`
	Frames   int64   `json:"frames"`
	Late     int64   `json:"events_late"`
	SilentMs float64 `json:"since_last_frame_ms"`
	WorstGap int64   `json:"longest_silence_ms"`
}

// Status tells how the client stands.
func (c *Client) Status() Status {
	n := &c.Counters
	c.mu.Lock()
	addr := c.Addr
	c.mu.Unlock()
	return Status{
		Addr: addr, Last: c.heard.Load(), Calls: n.Calls.Load(), Heard: n.Heard.Load(), Failed: n.Failed.Load(), Broken: n.Broken.Load(),
		Silent: n.Silent.Load(), Moves: n.Moves.Load(), Frames: n.Frames.Load(), Late: n.Late.Load(),
		SilentMs: c.now() - float64(n.LastWord.Load()), WorstGap: n.WorstGap.Load(),
	}
}

func (c *Client) now() float64 {
	if c.Clock == nil {
		return clock.System().Now()
	}
	return c.Clock.Now()
}

// called reports that a call begins. The log's own rate bounds its lines.
func (c *Client) called(number int64, addr string, why Reason) {
	c.Counters.Calls.Add(1)
	c.Log.Info(logKind).Int64("call", number).Str("address", addr).Uint64("from", c.Last).Str("why", string(why)).Msg("discovery is called")
}

// spoke reports a whole frame, the first of a call or a later one.
func (c *Client) spoke(number int64, first bool, began float64, n Notice) {
	now, counters := c.now(), &c.Counters
	before := float64(counters.LastWord.Swap(int64(now)))
	counters.Frames.Add(1)
	gap := now - before
	if before > 0 && int64(gap) > counters.WorstGap.Load() {
		counters.WorstGap.Store(int64(gap))
	}
	if first {
		counters.Heard.Add(1)
		c.Log.Info(logKind).Int64("call", number).Float64("ms", now-began).Uint64("event", n.Rev).Msg("discovery speaks")
	}
	if before > 0 && gap > gapAfter && n.Rev > c.Last && (n.Purge != nil || n.Whole || n.Members != nil) {
		counters.Late.Add(1)
		c.Log.Info(logKind).Int64("call", number).Uint64("event", n.Rev).Bool("purge", n.Purge != nil).
			Float64("silent_ms", gap).Msg("an event was heard after a silence")
	}
}

// hungUp reports that a call has ended.
func (c *Client) hungUp(number int64, why Reason, began float64, frames int, err error) {
	switch why {
	case ReasonDial:
		c.Counters.Failed.Add(1)
	case ReasonBroken:
		c.Counters.Broken.Add(1)
	case ReasonSilent:
		c.Counters.Silent.Add(1)
	}
	c.Log.Info(logKind).Int64("call", number).Str("why", string(why)).Float64("ms", c.now()-began).Int("frames", frames).AnErr("error", err).Msg("a call to discovery has ended")
}
