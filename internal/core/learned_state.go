package core

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ravenwheel/internal/clock"
	"ravenwheel/policy"
)

const (
	// learnedRevision is the revision of the encoding of learnedMessage.
	learnedRevision = 2
	// maxClockSkew is how far a time in learned state may be ahead of this process's clock.
	maxClockSkew = time.Minute
	// maxLearnedValue bounds limits, credits, rates, transfer times and peak loads: no router learns higher values.
	maxLearnedValue = 1e6
	// minTransferTime is the lowest plausible transfer time in seconds.
	minTransferTime = 1e-9
)

// The errors of RestoreLearnedState besides *RevisionError and decoding errors.
var (
	ErrOtherSettings = errors.New("core: learned state rejected: it was learned under different settings")
	ErrImplausible   = errors.New("core: learned state rejected: it contains implausible values")
)

// RevisionError reports learned state of a revision that this version cannot read.
type RevisionError struct{ Revision int }

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("core: learned state rejected: unsupported revision %d", e.Revision)
}

// learnedMessage is what a process encodes to hand its learned state to its successor. The names in the tags must not change.
type learnedMessage struct {
	Revision int                 `cbor:"Revision"`
	Classes  []string            `cbor:"Classes"`
	Settings [sha256.Size]byte   `cbor:"Settings"` // digest of the settings under which the state was learned
	State    policy.LearnedState `cbor:"Learned"`
	Counters []int64             `cbor:"Counted"` // in the order of Counters.monotonic
	Epoch    float64             `cbor:"Epoch"`   // epoch of the clock to which the times refer; 0: unknown
}

// LearnedState encodes what the router has learned, and the counters, for a successor process.
func (c *Core) LearnedState() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := learnedMessage{
		Revision: learnedRevision, Classes: c.classes, Settings: c.settingsDigest, State: c.router.LearnedState(),
	}
	m.Epoch, _ = c.clock.Epoch()
	for _, counter := range c.Counters.monotonic() {
		m.Counters = append(m.Counters, counter.Load())
	}
	return cbor.Marshal(m) // under the lock, since the slices in m belong to the router
}

// RestoreLearnedState restores the learned state of another process and adds that process's counters to those of this one. It must
// be called after the first list of servers was applied. If it returns an error, nothing has been restored. The error is
// ErrOtherSettings, since values learned under other costs and deadlines would distort decisions, ErrImplausible, a *RevisionError
// or a decoding error.
func (c *Core) RestoreLearnedState(encoded []byte) error {
	var m learnedMessage
	if err := cbor.Unmarshal(encoded, &m); err != nil {
		return fmt.Errorf("core: decoding learned state: %w", err)
	}
	if m.Revision != learnedRevision {
		return &RevisionError{m.Revision}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Settings != c.settingsDigest {
		return ErrOtherSettings
	}
	m.State = m.State.Shifted(clock.Duration(c.clock.Shift(m.Epoch)))
	if !m.plausible(c.classes, clock.Duration(c.clock.Now())) {
		return ErrImplausible
	}
	c.router.Restore(m.State)
	for i, counter := range c.Counters.monotonic() {
		counter.Add(m.Counters[i])
	}
	return nil
}

// digestOf returns a digest of all settings. It depends on their values, their order and their names in the tags.
func digestOf(settings policy.Settings) ([sha256.Size]byte, error) {
	encoded, err := cbor.Marshal(settings)
	return sha256.Sum256(encoded), err
}

// plausible reports whether a router with these classes can have learned the state by now. Values that are not numbers are rejected
// because they would spread through the router's calculations. Times in the future are rejected because the router would judge
// servers by events that have not happened.
func (m *learnedMessage) plausible(classes []string, now policy.Time) bool {
	state := &m.State
	if !slices.Equal(m.Classes, classes) || len(m.Counters) != len((&Counters{}).monotonic()) {
		return false
	}
	if len(state.TransferTime) != len(classes) || len(state.RecentTransferTime) != len(classes) {
		return false
	}
	if slices.ContainsFunc(m.Counters, func(n int64) bool { return n < 0 }) {
		return false
	}
	for _, stats := range state.Servers {
		if !plausibleStats(stats, now) {
			return false
		}
	}
	return plausibleStats(state.Link, now) &&
		inRange(minTransferTime, state.TransferTime...) && inRange(minTransferTime, state.RecentTransferTime...) &&
		inRange(0, float64(state.FillRate), float64(state.OriginRate)) && inRange(0, state.PeakLoad[:]...)
}

func plausibleStats(stats policy.ServerStats, now policy.Time) bool {
	times := []policy.Time{stats.LastFailure, stats.LastAnswer, stats.LimitUpdated, stats.RampStart, stats.CreditUpdated}
	for _, t := range times {
		if t < 0 || t > now+maxClockSkew {
			return false
		}
	}
	rates := inRange(0, float64(stats.FailureRate), float64(stats.LateRate)) && stats.FailureRate <= 1 && stats.LateRate <= 1
	return rates && inRange(0, stats.Limit) && inRange(-maxLearnedValue, stats.Credit) &&
		stats.ConsecutiveUnanswered >= 0 && stats.NextProbe >= 0 && stats.WarmUpStart >= 0
}

// inRange reports whether every value is a number between lowest and maxLearnedValue.
func inRange(lowest float64, values ...float64) bool {
	return !slices.ContainsFunc(values, func(v float64) bool {
		return math.IsNaN(v) || v < lowest || v > maxLearnedValue
	})
}
