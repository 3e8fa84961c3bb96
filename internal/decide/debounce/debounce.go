// Package debounce decides when to read a watched file, and when its content may be used. Content is accepted once two
// reads, at least Settings.QuietPeriod apart and with no change notification between them, have found it. So a partly
// written file is not accepted while its writer goes on, a stream of notifications causes at most one read every
// Settings.MaxDelay, and a file that is saved again unchanged is not accepted again.
//
// The package opens no file and reads no clock: the caller reports notifications, and the fingerprint of what each read
// found, and carries out the returned Action. Its decisions are tested in this package, with random writers.
package debounce

import "math"

// Settings of a Debouncer, in ms.
type Settings struct {
	QuietPeriod  float64 // how long content must stay unchanged before it is accepted
	MaxDelay     float64 // the longest time by which notifications can delay a read
	PollInterval float64 // time between reads if there are no notifications, as they can be lost
}

// Action is what the caller must do next.
type Action struct {
	Read   bool    // read the file now, and report it with ReadDone
	Accept bool    // use what the last read found
	WakeAt float64 // call Tick at this time, in ms
}

// Debouncer decides for one watched file. Its times are in ms on the caller's clock. See New.
type Debouncer struct {
	settings Settings
	wakeAt   float64

	lastChangeAt        float64 // time of the latest notification
	firstUnreadChangeAt float64 // time of the first notification since the last read was requested; NaN: none

	found       bool // the last read succeeded, and found fingerprint
	fingerprint uint64
	foundSince  float64 // start of the first read that found fingerprint

	accepted            bool
	acceptedFingerprint uint64
}

// New returns a debouncer that requests the first read at now.
func New(s Settings, now float64) *Debouncer {
	return &Debouncer{settings: s, firstUnreadChangeAt: math.NaN(), wakeAt: now}
}

// Changed reports a notification that the file may have changed.
func (d *Debouncer) Changed(now float64) Action {
	if math.IsNaN(d.firstUnreadChangeAt) {
		d.firstUnreadChangeAt = now
	}
	d.lastChangeAt = now
	d.wakeAt = min(now+d.settings.QuietPeriod, d.firstUnreadChangeAt+d.settings.MaxDelay)
	return Action{WakeAt: d.wakeAt}
}

// Tick reports that the time WakeAt of the last action may have come. An early call does no harm.
func (d *Debouncer) Tick(now float64) Action {
	if now < d.wakeAt {
		return Action{WakeAt: d.wakeAt}
	}
	d.firstUnreadChangeAt = math.NaN()
	d.wakeAt = now + d.settings.PollInterval
	return Action{Read: true, WakeAt: d.wakeAt}
}

// ReadDone reports a read that began at began and ended now, and the fingerprint of what it found. ok is false if the file
// could not be read completely. What was accepted before stays accepted then.
func (d *Debouncer) ReadDone(began, now float64, fingerprint uint64, ok bool) Action {
	if !ok {
		d.found = false
		return d.readAgain(now, d.settings.PollInterval)
	}
	if !d.found || d.fingerprint != fingerprint {
		d.found, d.fingerprint, d.foundSince = true, fingerprint, began
	}
	if d.accepted && d.acceptedFingerprint == fingerprint {
		return d.readAgain(now, d.settings.PollInterval)
	}
	// A change after the read began may be a write of which the read found only a part.
	stable := began-d.foundSince >= d.settings.QuietPeriod
	quiet := d.lastChangeAt <= d.foundSince || began-d.lastChangeAt >= d.settings.QuietPeriod
	if !stable || !quiet {
		return d.readAgain(now, d.settings.QuietPeriod)
	}
	d.accepted, d.acceptedFingerprint = true, fingerprint
	a := d.readAgain(now, d.settings.PollInterval)
	a.Accept = true
	return a
}

// readAgain requests the next read after a time, in ms, or earlier if a notification came in the meantime.
func (d *Debouncer) readAgain(now, after float64) Action {
	if math.IsNaN(d.firstUnreadChangeAt) {
		d.wakeAt = now + after
	} else {
		d.wakeAt = min(d.wakeAt, now+after)
	}
	return Action{WakeAt: d.wakeAt}
}

// Invalidate has the next stable content accepted even if it is what was accepted last, which may not be in use any more.
func (d *Debouncer) Invalidate(now float64) Action {
	d.accepted = false
	return d.readAgain(now, 0)
}
