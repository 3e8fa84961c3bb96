package core

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ravenwheel/internal/clock"
	"ravenwheel/policy"
)

// learnedRevision is the form of what a process hands to the one that takes its place.
const learnedRevision = 2

type learnedMessage struct {
	Revision int                 `cbor:"Revision"`
	Classes  []string            `cbor:"Classes"`
	Settings [sha256.Size]byte   `cbor:"Settings"` // those that it was learned under
	State    policy.LearnedState `cbor:"Learned"`
	Counters []int64             `cbor:"Counted"` // what the counters have risen to, in the order of rising
	Epoch    float64             `cbor:"Epoch"`   // of the clock that its times are on; 0: not told
}

// rising are the counters that only rise: they go on where the process before has left them.
func (n *Counters) monotonic() []*atomic.Int64 {
	return []*atomic.Int64{
		&n.Requests, &n.Served, &n.Rejected, &n.Failed, &n.Abandoned, &n.Attempts, &n.Timeouts, &n.Skipped, &n.Notifications, &n.NeverSent,
		&n.UnansweredConns, &n.WrongTags,
	}
}

// Learned is what the module has learned: who is down, limits, ramps, budgets, sending times.
func (c *Core) LearnedState() ([]byte, error) {
	c.mu.Lock()
	l := learnedMessage{Revision: learnedRevision, Classes: c.classes, Settings: c.settingsDigest, State: c.router.LearnedState()}
	l.Epoch, _ = c.clock.Epoch()
	for _, n := range c.Counters.monotonic() {
		l.Counters = append(l.Counters, n.Load())
	}
	text, err := cbor.Marshal(l) // under the lock: its slices are the module's
	c.mu.Unlock()
	return text, err
}

// Inherit starts from what another process has learned, whole or not at all. It comes after the first list of servers.
func (c *Core) RestoreLearnedState(text []byte) error {
	var l learnedMessage
	if err := cbor.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("core: what was learned can't be read: %w", err)
	}
	if l.Revision != learnedRevision {
		return fmt.Errorf("core: revision %d of what was learned is not known", l.Revision)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// Guards against a process that takes over under other settings, another customer's even: limits, ramps and sending times
	// that were learned under the costs and deadlines of before would show in what it decides.
	if l.Settings != c.settingsDigest {
		return ErrOtherSettings
	}
	l.State = l.State.Shifted(clock.Duration(c.clock.Shift(l.Epoch)))
	if err := validateLearned(l, c.classes, clock.Duration(c.clock.Now())); err != nil {
		return err
	}
	c.router.Restore(l.State)
	for i, n := range c.Counters.monotonic() {
		n.Add(l.Counters[i])
	}
	return nil
}

// skew is how far a server's start may be told ahead of this clock.
const maxClockSkew = time.Minute

// mostLearned bounds a limit, a credit and a sending time: what is beyond it no router has learned.
const maxLearnedValue = 1e6

var ErrOtherSettings = errors.New("core: what was learned was learned under other settings")

var ErrImplausible = errors.New("core: what was learned is not of this proxy, or of another time")

// digest is of all facts that the module works from.
func settingsDigest(set policy.Settings) ([sha256.Size]byte, error) {
	text, err := cbor.Marshal(set)
	return sha256.Sum256(text), err
}

// usable holds what another process tells to what a module can have learned by now. Guards against a number that no
// arithmetic recovers from, and against a time to come, at which a server would be judged anew.
func validateLearned(l learnedMessage, classes []string, now policy.Time) error {
	for _, n := range l.Counters {
		if n < 0 {
			return ErrImplausible
		}
	}
	if len(l.Counters) != len((&Counters{}).monotonic()) || len(l.Classes) != len(classes) || len(l.State.TransferTime) != len(classes) || len(l.State.RecentTransferTime) != len(classes) {
		return ErrImplausible
	}
	for i, c := range classes {
		if l.Classes[i] != c {
			return ErrImplausible
		}
	}
	good := func(least float64, list ...float64) bool {
		for _, v := range list {
			if math.IsNaN(v) || v < least || v > maxLearnedValue {
				return false
			}
		}
		return true
	}
	judged := func(j policy.ServerStats) bool {
		for _, t := range []policy.Time{j.LastFailure, j.LastAnswer, j.LimitUpdated, j.RampStart, j.CreditUpdated} {
			if t < 0 || t > now+maxClockSkew {
				return false
			}
		}
		shares := good(0, float64(j.FailureRate), float64(j.LateRate)) && j.FailureRate <= 1 && j.LateRate <= 1
		return shares && good(0, j.Limit) && good(-maxLearnedValue, j.Credit) && j.ConsecutiveOverdue >= 0 && j.NextProbe >= 0 && j.WarmUpStart >= 0
	}
	ok := judged(l.State.Link) && good(1e-9, l.State.TransferTime...) && good(1e-9, l.State.RecentTransferTime...) &&
		good(0, float64(l.State.FillRate), float64(l.State.OriginRate)) && good(0, l.State.PeakLoad[:]...)
	for _, j := range l.State.Servers {
		ok = ok && judged(j)
	}
	if !ok {
		return ErrImplausible
	}
	return nil
}
