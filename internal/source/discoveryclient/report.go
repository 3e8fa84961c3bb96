package discoveryclient

import (
	"sync/atomic"

	"ravenwheel/internal/decide/discovery"
)

// logKind is the kind of the client's lines in the log, whose rate bounds their number.
const logKind = "discovery"

// gapAfter: ms between two frames, which come each second, after which what the second tells may be late.
const gapAfter = 2000

// counters count what became of a client's calls. All but lastWord and address only rise.
type counters struct {
	calls, spoke, failed, broken, closed, moves, frames, late, overdue atomic.Int64

	worstGap atomic.Int64 // ms, the longest time between two whole frames
	lastWord atomic.Int64 // when the last whole frame came, or the start, in ms of the clock
	address  atomic.Pointer[string]
}

func (n *counters) follows(addr string) { n.address.Store(&addr) }

// Status is how discovery is followed, as operators are shown it.
type Status struct {
	Address            string  `json:"address"`
	LastEvent          uint64  `json:"last_event"`
	Calls              int64   `json:"calls"`
	Responded          int64   `json:"calls_that_spoke"`
	Failed             int64   `json:"calls_that_never_came_up"`
	Broken             int64   `json:"calls_broken_off"`
	Closed             int64   `json:"calls_closed"` // by the client: moved, overtaken or replaced
	AddressChanges     int64   `json:"reloads"`
	Frames             int64   `json:"frames"`
	EventsAfterSilence int64   `json:"events_after_a_silence"`
	Overdue            int64   `json:"times_overdue"`
	SinceLastFrameMs   float64 `json:"since_last_frame_ms"`
	LongestSilenceMs   int64   `json:"longest_silence_ms"`
}

// Status tells how the client stands.
func (c *Client) Status() Status {
	n := &c.counters
	s := Status{
		LastEvent: c.last.Load(), Calls: n.calls.Load(), Responded: n.spoke.Load(), Failed: n.failed.Load(), Broken: n.broken.Load(),
		Closed: n.closed.Load(), AddressChanges: n.moves.Load(), Frames: n.frames.Load(), EventsAfterSilence: n.late.Load(), Overdue: n.overdue.Load(),
		SinceLastFrameMs: c.Clock.Now() - float64(n.lastWord.Load()), LongestSilenceMs: n.worstGap.Load(),
	}
	if addr := n.address.Load(); addr != nil {
		s.Address = *addr
	}
	return s
}

// called reports that a call begins.
func (c *Client) called(x *call, why discovery.Reason) {
	c.counters.calls.Add(1)
	c.Log.Info(logKind).Int("call", int(x.id)).Str("address", x.addr).Uint64("from", c.last.Load()).Str("why", string(why)).
		Msg("discovery is called")
}

// spoke reports a whole frame.
func (c *Client) spoke(x *call, n Event, last uint64) {
	now, counters := c.Clock.Now(), &c.counters
	gap := now - float64(counters.lastWord.Swap(int64(now)))
	counters.frames.Add(1)
	if int64(gap) > counters.worstGap.Load() {
		counters.worstGap.Store(int64(gap))
	}
	if x.frames++; x.frames == 1 {
		counters.spoke.Add(1)
		c.Log.Info(logKind).Int("call", int(x.id)).Float64("ms", now-x.began).Uint64("event", n.Revision).Msg("discovery speaks")
	}
	if gap > gapAfter && n.Revision > last && (n.Purge != nil || n.Complete || n.Members != nil) {
		counters.late.Add(1)
		c.Log.Info(logKind).Int("call", int(x.id)).Uint64("event", n.Revision).Bool("purge", n.Purge != nil).Float64("silent_ms", gap).
			Msg("an event was heard after a silence")
	}
}

// ended reports that a call has ended, by itself or closed by the client.
func (c *Client) ended(x *call, why discovery.Reason, err error) {
	switch why {
	case discovery.ReasonDialFailed:
		c.counters.failed.Add(1)
	case discovery.ReasonDisconnected:
		c.counters.broken.Add(1)
	default:
		c.counters.closed.Add(1)
	}
	c.Log.Info(logKind).Int("call", int(x.id)).Str("why", string(why)).Float64("ms", c.Clock.Now()-x.began).Int("frames", x.frames).
		Str("error", errText(err)).Msg("a call to discovery has ended")
}

// overdue reports that what discovery holds may bind without having been heard.
func (c *Client) overdue(lastWord float64) {
	c.counters.overdue.Add(1)
	c.Log.Warn(logKind).Float64("silent_ms", c.Clock.Now()-lastWord).Msg("discovery has not spoken in the time by which all that it holds is to be heeded")
}
