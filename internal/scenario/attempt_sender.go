package scenario

import (
	"sync/atomic"

	"ravenwheel/internal/core"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// attemptTimeout is how long an attempt may take, in ms.
const attemptTimeout = 1000

// resultNames are the names of results in scripts.
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

// AttemptSender sends attempts to the cache server without a core. A script sends "ID" or "ID non-idempotent" with it; it receives
// "ID RESULT", where RESULT is one of resultNames.
type AttemptSender struct {
	pools             *upstream.Pools
	inbox             inbox
	writtenCompletely atomic.Bool
}

// NewAttemptSender returns an AttemptSender that sends over pools.
func NewAttemptSender(pools *upstream.Pools) *AttemptSender {
	return &AttemptSender{pools: pools, inbox: newInbox()}
}

// WrittenCompletely reports whether the last attempt that ended had been written completely.
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
