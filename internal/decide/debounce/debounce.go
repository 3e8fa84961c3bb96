// Package debounce decides when to read a watched file, and when what was read may be used. A text is accepted once two
// reads, Settings.Quiet apart and with no change notification between them, found the same. So half of a text is never
// accepted from a writer that goes on, any number of notifications costs at most one read every Settings.MaxDelay, and a
// file that is saved again unchanged is not accepted again.
//
// The package opens no file and reads no clock: the caller reports notifications and, as a fingerprint, what each read
// found, and carries out the returned Action. Its decisions are tested here, against random writers.
package debounce

import "math"

// Settings are in ms.
type Settings struct {
	QuietPeriod  float64 // how long a text must stay unchanged before it is accepted
	MaxDelay     float64 // the longest time for which notifications can put off a read
	PollInterval float64 // between reads without notifications, which may be missed
}

// Action is what the caller does next.
type Action struct {
	Read   bool    // read the file now, and report it with ReadDone
	Accept bool    // what the last read found is accepted
	WakeAt float64 // call Tick then, in ms
}

// Debouncer decides for one watched file. Times are in ms on the caller's clock. See New.
type Debouncer struct {
	settings Settings
	wakeAt   float64

	lastChangeAt        float64 // latest notification
	firstUnreadChangeAt float64 // first notification since the last read was requested; NaN: none

	found       bool // the last read succeeded, with fingerprint
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

// Tick reports that the requested time may have come.
func (d *Debouncer) Tick(now float64) Action {
	if now < d.wakeAt {
		return Action{WakeAt: d.wakeAt}
	}
	d.firstUnreadChangeAt = math.NaN()
	d.wakeAt = now + d.settings.PollInterval
	return Action{Read: true, WakeAt: d.wakeAt}
}

// ReadDone reports a read that began at began and ended now, and the fingerprint of all that it found. ok is false if
// the file could not be read completely: what was accepted before stays so.
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
	// A change after the read began may be a write of which the read saw half.
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

// readAgain requests the next read after a time, or sooner if a notification came in the meantime.
func (d *Debouncer) readAgain(now, after float64) Action {
	if math.IsNaN(d.firstUnreadChangeAt) {
		d.wakeAt = now + after
	} else {
		d.wakeAt = min(d.wakeAt, now+after)
	}
	return Action{WakeAt: d.wakeAt}
}

// Invalidate has the next text accepted even if it is the one accepted last, as that may not be in use any more.
func (d *Debouncer) Invalidate(now float64) Action {
	d.accepted = false
	return d.readAgain(now, 0)
}
