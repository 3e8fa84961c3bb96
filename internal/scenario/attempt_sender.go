package scenario

import (
	"sync/atomic"

	"ravenwheel/internal/core"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// attemptTimeout is the time of an attempt, in ms.
const attemptTimeout = 1000

// resultNames are the results as a script has them.
var resultNames = map[policy.Result]string{
	policy.OK:            "ok",
	policy.Failed:        "failed",
	policy.Overloaded:    "overloaded",
	policy.TimedOut:      "timed-out",
	policy.ConnectFailed: "connect-failed",
	policy.Reset:         "reset",
	policy.Skipped:       "skipped",
	policy.Miss:          "miss",
}

// AttemptSender sends attempts to the cache server without a core: "send ID [non-idempotent]". It receives "ID RESULT".
type AttemptSender struct {
	pools             *upstream.Pools
	inbox             inbox
	writtenCompletely atomic.Bool
}

// NewAttemptSender returns an actor over pools.
func NewAttemptSender(pools *upstream.Pools) *AttemptSender {
	return &AttemptSender{pools: pools, inbox: newInbox()}
}

// WrittenCompletely reports whether the attempt that ended last had been written completely.
func (a *AttemptSender) WrittenCompletely() bool { return a.writtenCompletely.Load() }

// Send implements Actor.
func (a *AttemptSender) Send(words []string) error {
	attempt := core.Attempt{
		ID:            words[0],
		Class:         "asset",
		Object:        "o",
		Server:        CacheID,
		Source:        CacheID,
		Deadline:      a.pools.Clock().Now() + attemptTimeout,
		NonIdempotent: len(words) > 1,
	}
	a.pools.Send(attempt, func(outcome core.Outcome) {
		a.writtenCompletely.Store(outcome.Written)
		a.inbox <- message{words: []string{words[0], resultNames[outcome.Result]}}
	})
	return nil
}

// Receive implements Actor.
func (a *AttemptSender) Receive() ([]string, error) {
	m, err := a.inbox.next()
	return m.words, err
}

// Close implements Actor. It does nothing.
func (a *AttemptSender) Close() error { return nil }
