package discoveryclient

import (
	"errors"
	"net"
	"sync/atomic"

	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/discovery"
)

// logKind is the kind of the client's log lines. The rate of lines is limited by kind.
const logKind = "discovery"

// lateEventSilence is the time, in ms, without a frame after which an event counts as received after a silence. Frames are sent
// each second.
const lateEventSilence = 2000

// counters are the numbers behind Status. All but lastFrame and address only increase.
type counters struct {
	calls, responded, failed, disconnected, closed, addressChanges, frames, eventsAfterSilence, overdue atomic.Int64

	longestSilence atomic.Int64 // longest time between two complete frames, ms
	lastFrame      atomic.Int64 // when the last complete frame was received, or else Run was called, in ms of the clock
	address        atomic.Pointer[string]
}

func (n *counters) setAddress(addr string) { n.address.Store(&addr) }

// Status is the state of a client as shown to operators.
type Status struct {
	Address            string  `json:"address"`
	LastEvent          uint64  `json:"last_event"` // revision
	Calls              int64   `json:"calls"`
	Responded          int64   `json:"calls_that_spoke"` // calls that received at least one frame
	Failed             int64   `json:"calls_that_never_came_up"`
	Disconnected       int64   `json:"calls_broken_off"`
	Closed             int64   `json:"calls_closed"` // closed by the client, for a reason of decide/discovery
	AddressChanges     int64   `json:"reloads"`
	Frames             int64   `json:"frames"`
	EventsAfterSilence int64   `json:"events_after_a_silence"`
	Overdue            int64   `json:"times_overdue"`
	SinceLastFrameMs   float64 `json:"since_last_frame_ms"`
	LongestSilenceMs   int64   `json:"longest_silence_ms"`
}

// Status returns the state of the client. It may be called at any time.
func (c *Client) Status() Status {
	n := &c.counters
	s := Status{
		LastEvent:          c.receivedRevision.Load(),
		Calls:              n.calls.Load(),
		Responded:          n.responded.Load(),
		Failed:             n.failed.Load(),
		Disconnected:       n.disconnected.Load(),
		Closed:             n.closed.Load(),
		AddressChanges:     n.addressChanges.Load(),
		Frames:             n.frames.Load(),
		EventsAfterSilence: n.eventsAfterSilence.Load(),
		Overdue:            n.overdue.Load(),
		SinceLastFrameMs:   c.Clock.Now() - float64(n.lastFrame.Load()),
		LongestSilenceMs:   n.longestSilence.Load(),
	}
	if addr := n.address.Load(); addr != nil {
		s.Address = *addr
	}
	return s
}

// reportCall reports that a call is opened.
func (c *Client) reportCall(x *call, reason discovery.Reason) {
	c.counters.calls.Add(1)
	c.Log.Info(logKind).Int("call", int(x.id)).Str("address", x.addr).Uint64("after_revision", c.receivedRevision.Load()).
		Str("reason", string(reason)).Msg("connecting to discovery")
}

// reportFrame reports a complete frame of an event. last is the revision of the last event received before.
func (c *Client) reportFrame(x *call, e Event, last uint64) {
	now, n := c.Clock.Now(), &c.counters
	silence := now - float64(n.lastFrame.Swap(int64(now)))
	n.frames.Add(1)
	if int64(silence) > n.longestSilence.Load() {
		n.longestSilence.Store(int64(silence))
	}
	if x.frames++; x.frames == 1 {
		n.responded.Add(1)
		c.Log.Info(logKind).Int("call", int(x.id)).Float64("latency_ms", now-x.began).Uint64("revision", e.Revision).
			Msg("first frame received from discovery")
	}
	if e.Purge != nil && e.Revision > last {
		c.reportPurge(e, silence)
	}
	if silence > lateEventSilence && e.Revision > last && e.hasEffect() {
		n.eventsAfterSilence.Add(1)
		c.Log.Info(logKind).Int("call", int(x.id)).Uint64("revision", e.Revision).Bool("purge", e.Purge != nil).
			Float64("silent_ms", silence).Msg("event received after a silence")
	}
}

// reportPurge reports a purge that was received silence ms after the frame before it. Its age by the service's clock shows how far
// the two clocks are apart: the true age is at most a few hundred ms on a call that is up to date.
func (c *Client) reportPurge(e Event, silence float64) {
	c.Log.Info(logKind).Uint64("revision", e.Revision).Float64("timestamp_ms", e.Purge.At-core.TimestampResolution).
		Float64("age_by_timestamp_ms", c.Clock.Now()-(e.Purge.At-core.TimestampResolution)).Float64("silent_ms", silence).
		Msg("purge received from discovery")
}

// reportCaughtUp reports that events are no longer overdue, as they were since a time in ms of the clock.
func (c *Client) reportCaughtUp(since float64) {
	c.Log.Info(logKind).Uint64("revision", c.receivedRevision.Load()).Float64("overdue_ms", c.Clock.Now()-since).Msg("discovery is no longer overdue: it has no more events")
}

// reportEnd reports that a call has ended with err, or was closed by the client (err is nil).
func (c *Client) reportEnd(x *call, reason discovery.Reason, err error) {
	switch reason {
	case discovery.ReasonDialFailed:
		c.counters.failed.Add(1)
	case discovery.ReasonDisconnected:
		c.counters.disconnected.Add(1)
	default:
		c.counters.closed.Add(1)
	}
	c.Log.Info(logKind).Int("call", int(x.id)).Str("reason", string(reason)).Float64("duration_ms", c.Clock.Now()-x.began).
		Int("frames", x.frames).Str("error", errorText(err)).Msg("discovery call ended")
}

// reportOverdue reports that events may be in effect without having been received. lastFrame is when the last complete frame was
// received, in ms of the clock. extended means that this was reported before, and that more events are overdue now.
func (c *Client) reportOverdue(lastFrame float64, extended bool) {
	if extended {
		c.Log.Debug(logKind).Msg("more events of discovery are overdue")
		return
	}
	c.counters.overdue.Add(1)
	c.Log.Warn(logKind).Float64("silent_ms", c.Clock.Now()-lastFrame).
		Msg("discovery is overdue: events that were not received may be in effect")
}

// errorText returns the text of an error; "" for nil, and for a connection that the client has closed itself.
func errorText(err error) string {
	if err == nil || errors.Is(err, net.ErrClosed) {
		return ""
	}
	return err.Error()
}
