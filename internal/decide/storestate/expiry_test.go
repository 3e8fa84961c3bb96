package storestate_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/storestate"
)

// scanModel is the reference model of the state: it scans all tokens and purges at each change. Values are expiry times.
type scanModel struct {
	redeemed, revoked, purges map[string]float64
}

func dropExpired(expiry map[string]float64, now float64) {
	for name, expiresAt := range expiry {
		if expiresAt < now {
			delete(expiry, name)
		}
	}
}

func (m scanModel) apply(now float64, c storestate.Change) {
	switch c.Kind {
	case storestate.RedeemToken:
		dropExpired(m.redeemed, now)
		if _, known := m.redeemed[c.Name]; !known {
			m.redeemed[c.Name] = c.ExpiresAt
		}
	case storestate.RevokeToken:
		dropExpired(m.revoked, now)
		m.revoked[c.Name] = c.ExpiresAt
	case storestate.AddPurge:
		m.purges[c.Purge.Object] = max(c.ExpiresAt, m.purges[c.Purge.Object])
		dropExpired(m.purges, now)
	}
}

func (m scanModel) require(t *rapid.T, s *storestate.State) {
	require.Equal(t, m.redeemed, s.RedeemedTokens)
	require.Equal(t, m.revoked, s.RevokedTokens)
	require.Len(t, s.Purges, len(m.purges))
	for name, until := range m.purges {
		require.Equal(t, until, s.Purges[name].ExpiresAt, name)
	}
}

// After each change the state holds the same tokens and purges as the reference model, for any order of times, with clocks that
// jump and with snapshots in between.
func TestExpiryMatchesAFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := storestate.New()
		m := scanModel{map[string]float64{}, map[string]float64{}, map[string]float64{}}
		at := 1e6
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			at += rapid.OneOf(rapid.Float64Range(0, 50), rapid.Float64Range(-1e5, 1e5)).Draw(t, "step")
			name := rapid.StringMatching(`[a-l]`).Draw(t, "name")
			c := storestate.Change{
				ProposedAt: at, Name: name,
				ExpiresAt: at + rapid.OneOf(rapid.Just(30.0), rapid.Float64Range(-100, 500), rapid.Float64Range(-1e5, 1e5)).Draw(t, "for"),
				Kind:      rapid.SampledFrom([]storestate.Kind{storestate.RedeemToken, storestate.RevokeToken, storestate.AddPurge}).Draw(t, "kind"),
				Purge:     &storestate.Purge{Object: name, IssuedAt: at},
			}
			s.Apply(c)
			m.apply(s.Time, c)
			m.require(t, s)
			if rapid.IntRange(0, 19).Draw(t, "snapshot") == 0 {
				raw, err := storestate.Encode(s)
				require.NoError(t, err)
				s, err = storestate.DecodeState(raw)
				require.NoError(t, err)
			}
		}
	})
}

// States with equal contents have equal encodings, in whatever order the changes were applied.
func TestEqualStatesEncodeEquallyInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := []storestate.Change{{Kind: storestate.EndDrain, ProposedAt: 1000}}
		for i := range rapid.IntRange(1, 40).Draw(t, "n") {
			name := string(rune('A' + i))
			until := float64(rapid.IntRange(500, 2000).Draw(t, "until"))
			kind := rapid.SampledFrom([]storestate.Kind{storestate.RedeemToken, storestate.RevokeToken, storestate.AddPurge}).Draw(t, "kind")
			changes = append(changes, storestate.Change{
				Kind: kind, ProposedAt: 1000, ExpiresAt: until, Name: name, Purge: &storestate.Purge{Object: name, IssuedAt: 1000},
			})
		}
		last := []storestate.Change{ // each expires entries of its kind
			{Kind: storestate.RedeemToken, ProposedAt: 1500, ExpiresAt: 9000, Name: "z"},
			{Kind: storestate.RevokeToken, ProposedAt: 1500, ExpiresAt: 9000, Name: "z"},
			{Kind: storestate.AddPurge, ProposedAt: 1500, ExpiresAt: 9000, Purge: &storestate.Purge{Object: "z", IssuedAt: 1500}},
		}
		var bytes [2][]byte
		for i, order := range [][]storestate.Change{changes, rapid.Permutation(changes).Draw(t, "order")} {
			s := storestate.New()
			for _, c := range append(order, last...) {
				s.Apply(c)
			}
			raw, err := storestate.Encode(s)
			require.NoError(t, err)
			bytes[i] = raw
		}
		require.Equal(t, bytes[0], bytes[1])
	})
}

// A snapshot may hold NaN as a token's expiry time. That token never expires until its expiry time is replaced; other tokens expire
// as usual.
func TestNaNExpiryInSnapshotNeverExpires(t *testing.T) {
	s := storestate.New()
	s.Time = 1000
	s.RevokedTokens["a"], s.RevokedTokens["b"] = math.NaN(), 1500
	raw, err := storestate.Encode(s)
	require.NoError(t, err)
	s, err = storestate.DecodeState(raw)
	require.NoError(t, err)
	s.Apply(storestate.Change{Kind: storestate.RevokeToken, ProposedAt: 2000, ExpiresAt: 3000, Name: "c"})
	require.Contains(t, s.RevokedTokens, "a")
	require.NotContains(t, s.RevokedTokens, "b")
	s.Apply(storestate.Change{Kind: storestate.RevokeToken, ProposedAt: 2000, ExpiresAt: 2500, Name: "a"})
	s.Apply(storestate.Change{Kind: storestate.RevokeToken, ProposedAt: 2600, ExpiresAt: 3000, Name: "d"})
	require.NotContains(t, s.RevokedTokens, "a", "token a was revoked again with a finite expiry time")
}

// The results stored for changes that are submitted again take bounded memory, however many changes are applied.
func TestResultsAreBounded(t *testing.T) {
	s := storestate.New()
	for i := range 400_000 {
		s.Apply(storestate.Change{ID: string(rune(i)) + string(rune(i>>10)), Kind: storestate.EndDrain, ProposedAt: 1000})
	}
	require.LessOrEqual(t, len(s.Results), 1<<16)
	require.LessOrEqual(t, cap(s.Results), 1<<17)
}
