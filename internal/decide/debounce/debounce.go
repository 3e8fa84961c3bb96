// Package debounce decides when a watched file has come to rest: when to look at it, and whether what was read may
// count. It opens no file and reads no clock: whoever watches tells of touches and of what a look found, as a
// fingerprint, and carries out what is returned. Its decisions are tested here.
//
// A text counts once two looks, Quiet apart and with no touch between them, found the same. So a writer that goes on
// never gets half of its text taken, a storm of touches costs a look in every Most at the most, and a file that is
// saved again as it was costs nothing.
package debounce

import "math"

// Settings are in ms.
type Settings struct {
	Quiet        float64 // how long a text must stay the same
	MaxDelay     float64 // the longest that touches can put off a look
	PollInterval float64 // between looks that nothing asked for, as a touch may have been missed
}

// Action is what to do next.
type Action struct {
	Read   bool    // read it now, and tell what was found with Found
	Accept bool    // what the last look found counts
	WakeAt float64 // when to call Due next
}

// Debouncer is one thing that is watched.
type Debouncer struct {
	set     Settings
	touched float64 // last, since the last look
	first   float64 // touched first since the last look; NaN: not at all
	due     float64
	seen    bool // a look came before, and found print
	print   uint64
	since   float64 // when print was found first
	took    bool
	taken   uint64
}

// New returns a watch that wants to look at once.
func New(s Settings, now float64) *Debouncer {
	return &Debouncer{set: s, first: math.NaN(), due: now}
}

// Changed tells that the file may have changed.
func (w *Debouncer) Changed(now float64) Action {
	if math.IsNaN(w.first) {
		w.first = now
	}
	w.touched = now
	w.due = min(now+w.set.Quiet, w.first+w.set.MaxDelay)
	return Action{WakeAt: w.due}
}

// Tick tells that the time that was asked for has come, or may have.
func (w *Debouncer) Tick(now float64) Action {
	if now < w.due {
		return Action{WakeAt: w.due}
	}
	w.first = math.NaN()
	w.due = now + w.set.PollInterval
	return Action{Read: true, WakeAt: w.due}
}

// ReadDone tells what a look that began at a time found, as a fingerprint of all of it. ok is false if nothing could be
// read whole: what counted before goes on counting.
func (w *Debouncer) ReadDone(began, now float64, print uint64, ok bool) Action {
	if !ok {
		w.seen = false
		return w.again(now, w.set.PollInterval)
	}
	if !w.seen || w.print != print {
		w.seen, w.print, w.since = true, print, began
	}
	if w.took && w.taken == print {
		return w.again(now, w.set.PollInterval)
	}
	// A touch after the look began may be a write that the look saw half of.
	if began-w.since < w.set.Quiet || w.touched > w.since && began-w.touched < w.set.Quiet {
		return w.again(now, w.set.Quiet)
	}
	w.took, w.taken = true, print
	a := w.again(now, w.set.PollInterval)
	a.Accept = true
	return a
}

// again asks for the next look, sooner if a touch asked for that meanwhile.
func (w *Debouncer) again(now, after float64) Action {
	if math.IsNaN(w.first) {
		w.due = now + after
	} else {
		w.due = min(w.due, now+after)
	}
	return Action{WakeAt: w.due}
}

// Invalidate has the next look count even if it finds what was taken last: what was made of it then may differ now.
func (w *Debouncer) Invalidate(now float64) Action {
	w.took = false
	return w.again(now, 0)
}
