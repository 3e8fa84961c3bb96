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

type learned struct {
	Revision int                 `cbor:"Revision"`
	Classes  []string            `cbor:"Classes"`
	Settings [sha256.Size]byte   `cbor:"Settings"` // those that it was learned under
	Learned  policy.LearnedState `cbor:"Learned"`
	Counted  []int64             `cbor:"Counted"` // what the counters have risen to, in the order of rising
	Epoch    float64             `cbor:"Epoch"`   // of the clock that its times are on; 0: not told
}

// rising are the counters that only rise: they go on where the process before has left them.
func (n *Counters) rising() []*atomic.Int64 {
	return []*atomic.Int64{
		&n.Requests, &n.Served, &n.Refused, &n.Failed, &n.Gone, &n.Attempts, &n.Timeouts, &n.Stale, &n.Notices, &n.Unsent,
		&n.Unanswered, &n.Misnamed,
	}
}

// Learned is what the module has learned: who is down, limits, ramps, budgets, sending times.
func (c *Core) Learned() ([]byte, error) {
	c.mu.Lock()
	l := learned{Revision: learnedRevision, Classes: c.classes, Settings: c.settings, Learned: c.router.LearnedState()}
	l.Epoch, _ = c.clock.Epoch()
	for _, n := range c.Counters.rising() {
		l.Counted = append(l.Counted, n.Load())
	}
	text, err := cbor.Marshal(l) // under the lock: its slices are the module's
	c.mu.Unlock()
	return text, err
}

// Inherit starts from what another process has learned, whole or not at all. It comes after the first list of servers.
func (c *Core) Inherit(text []byte) error {
	var l learned
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
	if l.Settings != c.settings {
		return errSettings
	}
	l.Learned = l.Learned.Shifted(clock.Duration(c.clock.Shift(l.Epoch)))
	if err := usable(l, c.classes, clock.Duration(c.clock.Now())); err != nil {
		return err
	}
	c.router.Restore(l.Learned)
	for i, n := range c.Counters.rising() {
		n.Add(l.Counted[i])
	}
	return nil
}

// skew is how far a server's start may be told ahead of this clock.
const skew = time.Minute

// mostLearned bounds a limit, a credit and a sending time: what is beyond it no router has learned.
const mostLearned = 1e6

var errSettings = errors.New("core: what was learned was learned under other settings")

var errLearned = errors.New("core: what was learned is not of this proxy, or of another time")

// digest is of all facts that the module works from.
func digest(set policy.Settings) ([sha256.Size]byte, error) {
	text, err := cbor.Marshal(set)
	return sha256.Sum256(text), err
}

// usable holds what another process tells to what a module can have learned by now. Guards against a number that no
// arithmetic recovers from, and against a time to come, at which a server would be judged anew.
func usable(l learned, classes []string, now policy.Time) error {
	for _, n := range l.Counted {
		if n < 0 {
			return errLearned
		}
	}
	if len(l.Counted) != len((&Counters{}).rising()) || len(l.Classes) != len(classes) || len(l.Learned.TransferTime) != len(classes) || len(l.Learned.RecentTransferTime) != len(classes) {
		return errLearned
	}
	for i, c := range classes {
		if l.Classes[i] != c {
			return errLearned
		}
	}
	good := func(least float64, list ...float64) bool {
		for _, v := range list {
			if math.IsNaN(v) || v < least || v > mostLearned {
				return false
			}
		}
		return true
	}
	judged := func(j policy.ServerStats) bool {
		for _, t := range []policy.Time{j.LastFailure, j.LastAnswer, j.LimitUpdated, j.RampStart, j.CreditUpdated} {
			if t < 0 || t > now+skew {
				return false
			}
		}
		shares := good(0, float64(j.FailureRate), float64(j.LateRate)) && j.FailureRate <= 1 && j.LateRate <= 1
		return shares && good(0, j.Limit) && good(-mostLearned, j.Credit) && j.ConsecutiveOverdue >= 0 && j.NextProbe >= 0 && j.WarmUpStart >= 0
	}
	ok := judged(l.Learned.Link) && good(1e-9, l.Learned.TransferTime...) && good(1e-9, l.Learned.RecentTransferTime...) &&
		good(0, float64(l.Learned.FillRate), float64(l.Learned.OriginRate)) && good(0, l.Learned.PeakLoad[:]...)
	for _, j := range l.Learned.Servers {
		ok = ok && judged(j)
	}
	if !ok {
		return errLearned
	}
	return nil
}
