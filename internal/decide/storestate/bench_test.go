package storestate_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/storestate"
)

// stateSizes are the numbers of entries of each kind in a benchmark's state.
var stateSizes = []int{600, 6_000, 60_000, 600_000}

// stateWithEntries returns a state of n purges, n redeemed and n revoked token ids, the i-th of which expires at i ms. It is
// decoded from a snapshot, which is faster than applying the changes.
func stateWithEntries(b *testing.B, n int) *storestate.State {
	s := storestate.New()
	s.Time = 1
	for i := 1; i <= n; i++ {
		name := strconv.Itoa(i)
		s.Purges[name] = storestate.Purge{Object: name, IssuedAt: 1, ExpiresAt: float64(i)}
		s.RedeemedTokens[name], s.RevokedTokens[name] = float64(i), float64(i)
	}
	raw, err := storestate.Encode(s)
	require.NoError(b, err)
	s, err = storestate.DecodeState(raw)
	require.NoError(b, err)
	return s
}

// BenchmarkExpire measures one change of a state of n entries: the change adds one entry, and one entry expires.
func BenchmarkExpire(b *testing.B) {
	for _, kind := range []struct {
		name string
		kind storestate.Kind
	}{{"purge", storestate.AddPurge}, {"redeem", storestate.RedeemToken}, {"revoke", storestate.RevokeToken}} {
		for _, n := range stateSizes {
			b.Run(fmt.Sprintf("%s/entries=%d", kind.name, n), func(b *testing.B) {
				s := stateWithEntries(b, n)
				b.ReportAllocs()
				at := 1
				for b.Loop() {
					at++
					name := strconv.Itoa(n + at)
					c := storestate.Change{Kind: kind.kind, ProposedAt: float64(at), ExpiresAt: float64(n + at), Name: name}
					if c.Kind == storestate.AddPurge {
						c.Purge = &storestate.Purge{Object: name, IssuedAt: c.ProposedAt}
					}
					s.Apply(c)
				}
				b.StopTimer()
				require.InDelta(b, n, len(s.Purges), 2)
			})
		}
	}
}
