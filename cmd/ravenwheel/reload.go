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
	// reloadRetryWindow is how long a configuration that can't be used is read again, as it may be half written or this machine out of
	// descriptors. It ends early enough for a call of discovery, which takes up to a second, before the 4 s after SIGHUP by which all
	// that discovery holds counts as notified.
	reloadRetryWindow = 2500 * time.Millisecond
	// reloadRetryDelay is the delay between two reads.
	reloadRetryDelay = 100 * time.Millisecond
	// maxReloadSignals is how many signals may wait to be handled: one SIGHUP, as a second one says the same, and one overdueSignal.
	maxReloadSignals = 2
)

// unchangedRereadDelays are the delays before a configuration whose address of discovery is unchanged is read again: it may not be
// written yet.
var unchangedRereadDelays = []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, time.Second}

// errRestartRequired is the error of a configuration whose lists of zones and kinds do not begin with those of the start: discovery
// names both by index, and its indexes would mean others here.
var errRestartRequired = errors.New("the file has other zones or kinds of machine, which takes a restart")

// reloader reads the platform's configuration again at each signal and follows the address of discovery in it. Anything else in it
// takes a restart. A file that can't be used leaves the address in force.
type reloader struct {
	read      func() (*config.Config, error)
	initial   *config.Config    // of the start
	addr      string            // that is followed
	follow    func(addr string) // also called where the address is unchanged
	signals   <-chan os.Signal
	log       *logs.Log
	lastError string // that was logged for a file that can't be used
}

// overdueSignal has the file read as discovery has been silent for too long: it may have moved, and SIGHUP been sent to the process
// that this one replaces.
type overdueSignal struct{}

// Signal implements os.Signal.
func (overdueSignal) Signal() {}

// String implements os.Signal.
func (overdueSignal) String() string { return "discovery overdue" }

// run handles one signal after another, until the process ends.
func (r *reloader) run() {
	next := <-r.signals
	for next != nil {
		if next == (overdueSignal{}) {
			next = r.awaitNewAddress()
		} else {
			next = r.reload()
		}
		if next == nil {
			next = <-r.signals
		}
	}
}

// reload handles one signal, and returns the next one if it arrives meanwhile.
func (r *reloader) reload() (next os.Signal) {
	previous := r.addr
	addr, next := r.readUsable()
	if next != nil {
		return next
	}
	if addr != "" {
		r.followAddress(addr)
	}
	if addr == previous {
		return r.awaitNewAddress()
	}
	return nil
}

// readUsable reads the address of discovery, again and again until it can be used, for reloadRetryWindow or until the next signal.
// An empty address can't be used.
func (r *reloader) readUsable() (addr string, next os.Signal) {
	for began := time.Now(); ; {
		addr, err := r.readAddress()
		if err == nil {
			return addr, nil
		}
		last := time.Since(began) >= reloadRetryWindow
		r.logRejected(err, last)
		if last {
			return "", nil
		}
		if next := r.wait(reloadRetryDelay); next != nil {
			return "", next
		}
	}
}

// awaitNewAddress reads the file a few more times, until it has another address.
func (r *reloader) awaitNewAddress() (next os.Signal) {
	for _, delay := range unchangedRereadDelays {
		if next := r.wait(delay); next != nil {
			return next
		}
		if addr, err := r.readAddress(); err == nil && addr != r.addr {
			r.followAddress(addr)
			return nil
		}
	}
	return nil
}

// wait returns after a delay, or with the next signal.
func (r *reloader) wait(delay time.Duration) (next os.Signal) {
	select {
	case next = <-r.signals:
		return next
	case <-time.After(delay):
		return nil
	}
}

// logRejected logs each reason once, and that the file is not read again.
func (r *reloader) logRejected(err error, last bool) {
	message := "configuration can't be used; the old one stays in force, retrying"
	if last {
		message = "configuration can't be used; the old one stays in force"
	}
	if reason := err.Error(); last || reason != r.lastError {
		r.lastError = reason
		r.log.Error("reload").Err(err).Msg(message)
	}
}

func (r *reloader) followAddress(addr string) {
	r.addr, r.lastError = addr, ""
	r.follow(addr)
	r.log.Info("reload").Str("discovery", addr).Msg("configuration reloaded; following discovery at its address")
}

// readAddress reads the address of discovery.
func (r *reloader) readAddress() (addr string, err error) {
	conf, err := r.read()
	if err != nil {
		return "", err
	}
	if !hasPrefix(conf.Names.Zones, r.initial.Names.Zones) || !hasPrefix(conf.Names.Kinds, r.initial.Names.Kinds) {
		return "", errRestartRequired
	}
	return conf.DiscoveryAddr, nil
}

// hasPrefix reports whether a list begins with the names of another one.
func hasPrefix(list, prefix []string) bool {
	return len(list) >= len(prefix) && slices.Equal(list[:len(prefix)], prefix)
}

// followReloads handles SIGHUP, also while the process ends: discovery may move then too.
func (s *serverSources) followReloads(signals chan os.Signal) {
	if s.discovery == nil {
		for range signals {
			s.log.Info("reload").Msg("nothing to reload; server lists are watched")
		}
		return
	}
	r := &reloader{
		read:    func() (*config.Config, error) { return config.Load(os.Getenv) },
		initial: s.conf,
		addr:    s.conf.DiscoveryAddr,
		follow:  s.discovery.SetAddr,
		signals: signals,
		log:     s.log,
	}
	go func() {
		for range s.discoveryOverdue {
			requestReload(signals)
		}
	}()
	r.run()
}

// requestReload has the configuration read again, unless a signal waits that has it read too.
func requestReload(signals chan os.Signal) {
	if len(signals) == 0 {
		signals <- overdueSignal{}
	}
}
