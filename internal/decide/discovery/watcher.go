package discovery

import (
	"math"
	"math/rand/v2"
	"slices"
)

// call is a call that is open or being dialled.
type call struct {
	id       CallID
	openedAt float64       // ms
	frame    FrameProgress // of the frame that is arriving
	// responded is whether the call has received a complete frame.
	responded bool
}

// Watcher watches the discovery service at one address at a time. It is not safe for concurrent use.
type Watcher struct {
	settings Settings
	rng      *rand.Rand
	actions  []Action

	address        string
	calls          []call  // in the order in which they were opened
	lastCall       CallID  // the highest id in use
	nextCallAt     float64 // ms: when the next call is opened, unless frameInTime delays it
	nextReason     Reason  // of the next call
	unanswered     int     // calls opened since the last frame
	failures       int     // consecutive calls that ended within a frame interval
	lastFrameAt    float64 // ms
	lastFrameCall  CallID  // that received it; 0: none, or it has ended
	disturbed      deadlines
	silence        deadline // of a silence that begins with the last frame; dueAt is plus infinity once Overdue was reported for it
	confirmingCall CallID   // the call that was opened because of ReasonUnconfirmed last; 0: none since the last confirmation
	overdue        bool     // Overdue was reported, and CaughtUp was not yet
	// unconfirmedEventAt is when an event arrived last, in ms; plus infinity if none has since the last confirmation.
	unconfirmedEventAt float64
	// notifiedUntil is that of the last Overdue, in ms.
	notifiedUntil float64
}

// New returns a Watcher that does nothing before a Start.
func New(s Settings) *Watcher {
	return &Watcher{settings: s, rng: rand.New(rand.NewPCG(s.Seed, 0)), nextCallAt: math.Inf(1), silence: noDeadline, unconfirmedEventAt: math.Inf(1)}
}

// Handle processes an event and appends the resulting actions, in the order in which they are to be carried out. now is in ms and
// never decreases.
func (w *Watcher) Handle(now float64, event Event, actions []Action) []Action {
	w.actions = actions
	switch event := event.(type) {
	case Start:
		w.frameAt(now)
		w.switchAddress(now, event.Address, ReasonStart)
		w.disturbed.add(now+w.settings.NotifiedAfterStart, w.settings.GracePeriod)
	case Reload:
		w.reload(now, event)
	case FrameProgress:
		if c := w.find(event.Call); c != nil {
			c.frame = event
		}
	case FrameReceived:
		w.frameReceived(now, event)
	case Ended:
		w.ended(now, event)
	}
	w.advance(now)
	actions, w.actions = w.actions, nil
	return actions
}

func (w *Watcher) emit(a Action) { w.actions = append(w.actions, a) }

// find returns the open call with an id, or nil.
func (w *Watcher) find(id CallID) *call {
	for i := range w.calls {
		if w.calls[i].id == id {
			return &w.calls[i]
		}
	}
	return nil
}

// switchAddress closes all calls and opens one at another address. Failures at the old address say nothing about the new one: if
// they counted there, they would lengthen its delays, and purges would be received too late.
func (w *Watcher) switchAddress(now float64, address string, reason Reason) {
	for _, c := range w.calls {
		w.emit(Close{Call: c.id, Reason: ReasonAddressChanged})
	}
	w.address, w.calls, w.unanswered, w.failures, w.unconfirmedEventAt = address, nil, 0, 0, math.Inf(1)
	w.nextCallAt, w.nextReason = now, reason
}

// reload handles a configuration that was read again. If it names the present address, the service at that address may
// have been replaced: open calls are kept, but another one is opened unless one of them receives a frame within reloadDelay.
func (w *Watcher) reload(now float64, event Reload) {
	w.disturbed.add(now-event.Delay+w.settings.NotifiedAfterReload, w.settings.GracePeriod)
	if event.Address != w.address {
		w.switchAddress(now, event.Address, ReasonAddressChanged)
		return
	}
	w.unanswered, w.failures = 0, 0
	w.callBy(now+w.reloadDelay(), ReasonSilent)
}

// callBy schedules the next call for a time, unless it is due earlier.
func (w *Watcher) callBy(at float64, reason Reason) {
	if at < w.nextCallAt {
		w.nextCallAt, w.nextReason = at, reason
	}
}

// frameReceived keeps the call that received a complete frame and closes the others. Bytes of an incomplete frame do not have this
// effect: a service that sends a few bytes from time to time would otherwise keep a call in use. Only a confirmation ends the
// deadlines: a service that sends the events that it has pending slowly would otherwise count as up to date with the first of them.
func (w *Watcher) frameReceived(now float64, event FrameReceived) {
	c := w.find(event.Call)
	if c == nil {
		return
	}
	for _, other := range w.calls {
		if other.id != event.Call {
			w.emit(Close{Call: other.id, Reason: ReasonSuperseded})
		}
	}
	w.resetFailures(now, c)
	c.frame, c.responded = FrameProgress{}, true
	w.calls = []call{*c}
	w.unanswered = 0
	w.nextCallAt, w.nextReason = now+w.silenceDelay(), ReasonSilent
	switch {
	case event.Confirmed:
		w.confirmed()
	case now-w.lastFrameAt >= w.settings.SilenceTimeout, w.lastFrameCall != 0 && event.Call != w.lastFrameCall:
		w.keepSilence()
	}
	if !event.Confirmed {
		w.unconfirmedEventAt = now
	}
	w.frameAt(now)
	w.lastFrameCall = event.Call
}

// keepSilence keeps the deadline of the silence that ends now, as what was published during the silence may wait behind the event
// that ended it. An event on another call than the frame before it may have ended a silence of that frame's call.
func (w *Watcher) keepSilence() {
	if !math.IsInf(w.silence.dueAt, 1) {
		w.disturbed.add(w.silence.notifiedUntil, w.settings.GracePeriod)
		w.disturbed.add(w.latestSilence(), w.settings.GracePeriod)
	}
}

// latestSilence returns by when events count as notified if the silence began as late as possible: a frame interval after the last
// frame.
func (w *Watcher) latestSilence() float64 { return w.silence.notifiedUntil + w.settings.FrameInterval }

// confirmed ends all deadlines: everything that the service has published has been received.
func (w *Watcher) confirmed() {
	w.disturbed.clear()
	w.confirmingCall, w.unconfirmedEventAt = 0, math.Inf(1)
	if w.overdue {
		w.overdue = false
		w.emit(CaughtUp{})
	}
}

// frameAt records when a complete frame was received last. A silence may begin with it.
func (w *Watcher) frameAt(now float64) {
	w.lastFrameAt = now
	notifiedUntil := now + w.settings.NotifiedAfterSilence
	w.silence = deadline{dueAt: notifiedUntil + w.settings.GracePeriod, notifiedUntil: notifiedUntil}
}

// resetFailures restarts the backoff from its shortest delay if a call has lasted for a frame interval.
func (w *Watcher) resetFailures(now float64, c *call) {
	if now-c.openedAt >= w.settings.FrameInterval {
		w.failures = 0
	}
}

// ended schedules a retry for a call that ended without a Close, even if other calls are open. The delays between hedged calls
// start again from the shortest one.
func (w *Watcher) ended(now float64, event Ended) {
	c := w.find(event.Call)
	if c == nil {
		return
	}
	w.resetFailures(now, c)
	worked := event.Responded || now-c.openedAt >= w.settings.FrameInterval
	w.calls = slices.DeleteFunc(w.calls, func(c call) bool { return c.id == event.Call })
	if event.Call == w.lastFrameCall {
		w.lastFrameCall, w.unconfirmedEventAt = 0, math.Inf(1)
	}
	if event.Connected {
		w.disconnected(now, worked)
	}
	if len(w.calls) == 0 {
		w.nextCallAt = math.Inf(1) // no open call can receive a frame: only the backoff delays the next call
	}
	w.callBy(now+w.backoff(), ReasonRetry)
	w.failures++
	w.unanswered = 0
}

// disconnected adds the deadline for what the service would have sent on a call. A call that never worked, as the service closed it at
// once, says nothing new while another deadline is pending: it was as good as refused.
func (w *Watcher) disconnected(now float64, worked bool) {
	notifiedUntil := now + w.settings.NotifiedAfterDisconnect
	if worked || !w.overdue && notifiedUntil+w.settings.GracePeriod < w.nextDeadline() {
		w.disturbed.add(notifiedUntil, w.settings.GracePeriod)
	}
}

const (
	// progressCheckInterval is the time, in ms, between two checks of a frame that delays the next call; see frameInTime.
	progressCheckInterval = 250
	// stallTimeout is the time, in ms, without another byte after which a frame no longer delays the next call.
	stallTimeout = 500
	// deadlineReserve is how long before the deadline, in ms, a frame no longer delays the next call, so that one more call can
	// still receive a frame in time.
	deadlineReserve = 1500
	// confirmationReserve is how long before Overdue is due, in ms, another call is opened if events arrive but no confirmation
	// does. A service that has nothing to send says so at once on a new call.
	confirmationReserve = 500
	// confirmationDelay is the time, in ms, after an event until such a call is opened, since others may follow at once.
	confirmationDelay = 100
)

// noDeadline is never due.
var noDeadline = deadline{dueAt: math.Inf(1)}

// nextDeadline returns when the next deadline is due, in ms.
func (w *Watcher) nextDeadline() float64 { return min(w.disturbed.next(), w.silence.dueAt) }

// advance opens a call and reports Overdue if they are due, and requests the next Tick.
func (w *Watcher) advance(now float64) {
	if now >= w.nextCallAt {
		if w.frameInTime(now) {
			w.nextCallAt = now + progressCheckInterval
		} else {
			w.dial(now)
		}
	}
	if now >= w.confirmationCallAt() {
		w.nextReason = ReasonUnconfirmed
		w.dial(now)
		w.confirmingCall = w.lastCall
	}
	w.reportOverdue(now)
	w.emit(Wake{At: min(w.nextCallAt, w.confirmationCallAt(), w.nextDeadline()-w.settings.OverdueMargin)})
}

// confirmationCallAt returns when a call is due beside one that receives events, to learn whether the service has others; plus
// infinity if none is. While events are overdue, each moment counts: the call is due soon after an event.
func (w *Watcher) confirmationCallAt() float64 {
	responding := slices.ContainsFunc(w.calls, func(c call) bool { return c.responded })
	if w.confirmingCall != 0 || !responding {
		return math.Inf(1)
	}
	at := w.unconfirmedEventAt + confirmationDelay
	if !w.overdue {
		at = max(at, w.disturbed.next()-w.settings.OverdueMargin-confirmationReserve)
	}
	return at
}

// reportOverdue reports Overdue for the deadlines that are due.
func (w *Watcher) reportOverdue(now float64) {
	byNow := now + w.settings.OverdueMargin
	notifiedUntil, due := w.disturbed.takeDue(byNow)
	if byNow >= w.silence.dueAt {
		notifiedUntil, due = max(notifiedUntil, min(now, w.latestSilence())), true
		w.disturbed.add(w.latestSilence(), w.settings.GracePeriod)
		w.silence = noDeadline
	}
	if !due || w.overdue && notifiedUntil <= w.notifiedUntil {
		return
	}
	w.overdue, w.notifiedUntil = true, notifiedUntil
	w.emit(Overdue{LastFrameAt: w.lastFrameAt, NotifiedUntil: notifiedUntil})
}

// frameInTime reports whether a frame is arriving that will be complete before the deadline at its present rate. Without this
// check, a long list would be requested again and again over a slow connection.
func (w *Watcher) frameInTime(now float64) bool {
	dueAt := w.nextDeadline()
	if w.overdue || now > dueAt-deadlineReserve {
		return false
	}
	for _, c := range w.calls {
		frame := c.frame
		if frame.Size <= 0 || frame.Received <= 0 || now-frame.LastByteAt > stallTimeout {
			continue
		}
		msPerByte := (now - frame.FirstByteAt) / float64(frame.Received)
		if now+msPerByte*float64(frame.Size-frame.Received) <= dueAt-w.settings.OverdueMargin {
			return true
		}
	}
	return false
}

// dial opens a call beside those that are open.
func (w *Watcher) dial(now float64) {
	if len(w.calls) >= w.settings.MaxCalls {
		w.evict()
	}
	w.lastCall++
	w.calls = append(w.calls, call{id: w.lastCall, openedAt: now})
	w.emit(Dial{Call: w.lastCall, Address: w.address, Reason: w.nextReason})
	w.nextCallAt, w.nextReason = now+w.hedgeDelay(), ReasonSilent
	w.unanswered++
}

// evict closes a call so that another one can be opened. It keeps the call that has received most bytes of a frame, or the oldest
// one if none has received any, since an overloaded service may be about to answer on it. Of the others it closes the oldest.
func (w *Watcher) evict() {
	keep := 0
	for i, c := range w.calls {
		if c.frame.Received > w.calls[keep].frame.Received {
			keep = i
		}
	}
	evicted := 0
	if keep == 0 {
		evicted = 1
	}
	w.emit(Close{Call: w.calls[evicted].id, Reason: ReasonEvicted})
	w.calls = slices.Delete(w.calls, evicted, evicted+1)
}
