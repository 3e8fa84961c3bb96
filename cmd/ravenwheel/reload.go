package main

import (
	"errors"
	"os"
	"slices"
	"time"

	"ravenwheel/internal/config"
	"ravenwheel/internal/logs"
)

const (
	// reloadFor, reloadPause: a configuration that can't be used is read again for a while: it may be half written, or this machine
	// out of descriptors. What discovery holds counts as notified 4 s after SIGHUP, and a call takes up to a second of that.
	reloadFor, reloadPause = 2500 * time.Millisecond, 100 * time.Millisecond
)

// unchangedLooks are when a configuration that names the address of now is read again: it may be written only now.
var unchangedLooks = []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, time.Second}

// errRestart is of a configuration that can't be followed without a restart. Guards against discovery whose numbers point into
// other lists than those that this process was started with.
var errRestart = errors.New("the file has other zones or kinds of machine, which takes a restart")

// reloader follows the configuration's file: at each signal it is read anew, and the address of discovery in it is followed. The
// rest of it takes a restart. A file that can't be used leaves the old configuration in force.
type reloader struct {
	read    func() (*config.Config, error)
	start   *config.Config    // of the start
	at      string            // the address that is followed
	follow  func(addr string) // discovery is there; also where it has been there before
	signals <-chan os.Signal
	log     *logs.Log
	said    string // why a file was not used, as it was said last
}

// overdueSignal has the file read again as discovery has not spoken for too long: it may have moved while the signal went to a
// process that is being replaced, or before this one heeded any.
type overdueSignal struct{}

// Signal implements os.Signal.
func (overdueSignal) Signal() {}

// String implements os.Signal.
func (overdueSignal) String() string { return "discovery overdue" }

// run heeds the signals, one after another, for good.
func (r *reloader) run() {
	signalled := <-r.signals
	for signalled != nil {
		if signalled == (overdueSignal{}) {
			signalled = r.lookAgain()
		} else {
			signalled = r.reload()
		}
		if signalled == nil {
			signalled = <-r.signals
		}
	}
}

// reload heeds one signal, and returns the next one if it has come meanwhile.
func (r *reloader) reload() (next os.Signal) {
	before := r.at
	addr, next := r.usable()
	if next != nil {
		return next
	}
	if addr != "" {
		r.heed(addr)
	}
	if addr == before {
		return r.lookAgain()
	}
	return nil
}

// usable reads the address of discovery until it can be used, for as long as there is time or until the next signal. Empty: it
// can't be.
func (r *reloader) usable() (addr string, next os.Signal) {
	for began := time.Now(); ; {
		addr, err := r.load()
		if err == nil {
			return addr, nil
		}
		last := time.Since(began) >= reloadFor
		r.refused(err, last)
		if last {
			return "", nil
		}
		if next := r.pause(reloadPause); next != nil {
			return "", next
		}
	}
}

// lookAgain reads a file that names the address of now a few times more, until it names another one.
func (r *reloader) lookAgain() (next os.Signal) {
	for _, wait := range unchangedLooks {
		if next := r.pause(wait); next != nil {
			return next
		}
		if addr, err := r.load(); err == nil && addr != r.at {
			r.heed(addr)
			return nil
		}
	}
	return nil
}

// pause waits, or until the next signal.
func (r *reloader) pause(wait time.Duration) (next os.Signal) {
	select {
	case next = <-r.signals:
		return next
	case <-time.After(wait):
		return nil
	}
}

// refused says once why a file is not used, and that it is read no more.
func (r *reloader) refused(err error, last bool) {
	text := "reload: the old configuration stays, the file is read again for a while"
	if last {
		text = "reload: the old configuration stays"
	}
	if why := err.Error(); last || why != r.said {
		r.said = why
		r.log.Error("reload").Err(err).Msg(text)
	}
}

// heed follows an address.
func (r *reloader) heed(addr string) {
	r.at, r.said = addr, ""
	r.follow(addr)
	r.log.Info("reload").Str("board", addr).Msg("reload: the notice board is followed there")
}

// load reads the address of discovery.
func (r *reloader) load() (addr string, err error) {
	c, err := r.read()
	if err != nil {
		return "", err
	}
	if !extends(c.Names.Zones, r.start.Names.Zones) || !extends(c.Names.Kinds, r.start.Names.Kinds) {
		return "", errRestart
	}
	return c.DiscoveryAddr, nil
}

// extends tells whether a list has the names of another one in the same places.
func extends(list, other []string) bool {
	return len(list) >= len(other) && slices.Equal(list[:len(other)], other)
}

// reloads heeds SIGHUP, also while the process stops: discovery may move then too.
func (s *sources) reloads(signals chan os.Signal, log *logs.Log) {
	if s.board == nil {
		for range signals {
			log.Info("reload").Msg("reload: nothing to read anew; lists are watched")
		}
		return
	}
	r := &reloader{
		read:  func() (*config.Config, error) { return config.Load(os.Getenv) },
		start: s.conf, at: s.conf.DiscoveryAddr, follow: s.board.SetAddr, signals: signals, log: log,
	}
	go func() {
		for range s.overdue {
			overdue(signals)
		}
	}()
	r.run()
}

// mostSignals wait to be heeded: one SIGHUP, as the next says the same, and one of this program's own.
const mostSignals = 2

// overdue has the configuration read again, unless a signal waits already, which has it read too.
func overdue(signals chan os.Signal) {
	if len(signals) == 0 {
		signals <- overdueSignal{}
	}
}
