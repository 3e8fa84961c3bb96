package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/lab/fleet"
	"ravenwheel/policy"
)

const (
	// discoverySoakFirstSeed, discoverySoakLastSeed: the seeds in CI.
	discoverySoakFirstSeed, discoverySoakLastSeed = 1, 6
	// discoveryAddrs is the number of addresses at which discovery may be.
	discoveryAddrs = 5
	// faultFreeMs: ms from a row of faults to the next, in which withheld events have to arrive.
	faultFreeMs = 5500
)

// Discovery has faults in a row, in an order that the seed draws: moves, reloads without a change, resets, stops, slow connections, files
// that are read while they are written, and callers that are kept waiting, reset or answered a byte a second. Purges and drains go on
// meanwhile, and system calls fail. The servers' observations are checked against the time that each fault may cost.
func TestSoakDiscoveryFaults(t *testing.T) {
	runSoakSeeds(t, discoverySoakFirstSeed, discoverySoakLastSeed, newDiscoverySoak)
}

func newDiscoverySoak(t *testing.T, bin string, seed uint64) *soak {
	s := newSoak(t, bin, seed)
	s.plan.discoveryFaults = true
	s.plan.duration = time.Duration(9000+s.rng.IntN(5000)) * time.Millisecond
	for len(s.listeners) < discoveryAddrs {
		d, err := s.service.Open("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(d.Close)
		s.listeners = append(s.listeners, d)
	}
	return s
}

// The kinds of fault that discovery notifies, as in soak.causeFault.
const restartKind, drainKind, purgeKind = 4, 5, 6

// drawServerEvent draws the next event of discovery: mostly purges, and drains and restarts in turn, so that some servers stay in use. A
// restart waits for a lull: it is notified at once, and withheld events would have to count before it.
func (s *soak) drawServerEvent(id policy.ServerID) (kind int) {
	draining := s.members[id].State == policy.Draining
	out := 0
	for _, m := range s.members {
		if m.State == policy.Draining {
			out++
		}
	}
	switch {
	case s.rng.IntN(2) == 0:
	case draining && s.now() >= s.withheldUntil:
		return restartKind
	case !draining && out == 0:
		return drainKind
	}
	return purgeKind
}

// causeDiscoveryFaults causes one to four faults some tens of ms apart, and then none for a while.
func (s *soak) causeDiscoveryFaults() {
	for range 1 + s.rng.IntN(4) {
		s.causeDiscoveryFault()
		time.Sleep(time.Duration(10+s.rng.IntN(190)) * time.Millisecond)
	}
	s.faultFreeUntil = s.now() + faultFreeMs
}

// causeDiscoveryFault causes one fault of discovery.
func (s *soak) causeDiscoveryFault() {
	switch s.rng.IntN(6) {
	case 0, 1: // it moves
		s.listeners[s.activeListener].Stall(true)
		s.activeListener = (s.activeListener + 1 + s.rng.IntN(len(s.listeners)-1)) % len(s.listeners)
		s.listeners[s.activeListener].Stall(false)
		s.setCallerFaults(fleet.CallerFault{Unresponsive: true}, 2)
		s.writeConfig(s.activeListener)
		s.sendReload()
	case 2: // the configuration names the address of now, whose calls say nothing more
		s.setCallerFaults(fleet.CallerFault{Unresponsive: true}, 2)
		s.sendReload()
	case 3:
		s.setCallerFaults(fleet.CallerFault{}, 2)
		s.withholdEvents(2000)
		s.listeners[s.activeListener].ResetConnections()
	case 4: // it stops, or trickles
		told := fleet.CallerFault{Unresponsive: true}
		if s.rng.IntN(2) == 0 {
			told = fleet.CallerFault{ByteInterval: 1000}
		}
		s.setCallerFaults(told, 1)
		s.withholdEvents(4000)
	case 5: // the file is read while it is written
		whole, err := os.ReadFile(s.config)
		require.NoError(s.t, err)
		require.NoError(s.t, os.WriteFile(s.config, whole[:s.rng.IntN(len(whole))], 0o600))
		s.sendReload()
		time.Sleep(time.Duration(s.rng.IntN(300)) * time.Millisecond)
		s.writeConfig(s.activeListener)
	}
}

func (s *soak) sendReload() {
	s.withholdEvents(4000)
	require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGHUP))
}

// withholdEvents has the events of discovery count as notified so many ms from now on, also those that were sent just now and are not read.
func (s *soak) withholdEvents(ms float64) {
	const moment = 100
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.withheldUntil = max(s.withheldUntil, now+ms)
	for i := range s.notifications {
		if t := &s.notifications[i]; len(t.Returns) == 0 && t.At > now-moment {
			t.At = max(t.At, s.withheldUntil)
		}
	}
}

// setCallerFaults sets how the current callers are treated, and up to so many of the next ones, each in its own way.
func (s *soak) setCallerFaults(old fleet.CallerFault, most int) {
	before := s.listeners[s.activeListener].Calls.Load()
	var next []fleet.CallerFault
	for range s.rng.IntN(most + 1) {
		next = append(next, []fleet.CallerFault{{Unresponsive: true}, {Disconnect: true}, {ByteInterval: 1000}}[s.rng.IntN(3)])
	}
	s.listeners[s.activeListener].SetCallerFault(func(caller int64) fleet.CallerFault {
		switch n := caller - before; {
		case n <= 0:
			return old
		case n <= int64(len(next)):
			return next[n-1]
		}
		return fleet.CallerFault{}
	})
}
