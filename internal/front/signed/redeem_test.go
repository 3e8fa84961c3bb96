package signed_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/scenario"
)

// silentStore is an observer of a store that keeps it from answering until released is closed.
type silentStore struct{ released chan struct{} }

func (silentStore) StateReplaced(*storestate.State) {}

func (s silentStore) ChangeApplied(uint64, storestate.Change, storestate.Revision) { <-s.released }

// Guards against a claim that is answered after its time, while the store does not say whether its token is redeemed.
func TestClaimIsAnsweredInTimeWhileStoreIsSilent(t *testing.T) {
	const late = 500 // ms after its time at which an answer still counts
	f := startFront(t, frontSetup{settings: scenario.Settings()})
	silent := silentStore{make(chan struct{})}
	f.store.Observe(silent)
	defer close(silent.released)
	began := f.proxy.Clock.Now()
	f.runPart(postWithToken + "{write} X-Budget-Ms:1200 seat9\nc await 503 Retry-After:1 overloaded")
	require.InDelta(t, began+1200, f.proxy.Clock.Now(), late)
	require.Zero(t, f.proxy.Core.Counters.Requests.Load(), "the claim has not reached the core")
}
