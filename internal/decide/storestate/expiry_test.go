package storestate_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/storestate"
)

// walk is what the state holds until a time, as a walk through all of it at each change keeps it.
type walk struct {
	spent, revoked, purges map[string]float64
}

func prune(ends map[string]float64, now float64) {
	for name, end := range ends {
		if end < now {
			delete(ends, name)
		}
	}
}

func (w walk) apply(now float64, c storestate.Change) {
	switch c.Kind {
	case storestate.SpendToken:
		prune(w.spent, now)
		if _, known := w.spent[c.Name]; !known {
			w.spent[c.Name] = c.ExpiresAt
		}
	case storestate.RevokeToken:
		prune(w.revoked, now)
		w.revoked[c.Name] = c.ExpiresAt
	case storestate.AddPurge:
		w.purges[c.Purge.Object] = max(c.ExpiresAt, w.purges[c.Purge.Object])
		prune(w.purges, now)
	}
}

func (w walk) require(t *rapid.T, s *storestate.State) {
	require.Equal(t, w.spent, s.SpentTokens)
	require.Equal(t, w.revoked, s.RevokedTokens)
	require.Len(t, s.Purges, len(w.purges))
	for name, until := range w.purges {
		require.Equal(t, until, s.Purges[name].ExpiresAt, name)
	}
}

// What is held until a time is what a walk through all of it would keep, after each change, whatever the order of the
// times, with clocks that jump and snapshots in between.
func TestExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := storestate.New()
		w := walk{map[string]float64{}, map[string]float64{}, map[string]float64{}}
		at := 1e6
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			at += rapid.OneOf(rapid.Float64Range(0, 50), rapid.Float64Range(-1e5, 1e5)).Draw(t, "step")
			name := rapid.StringMatching(`[a-l]`).Draw(t, "name")
			c := storestate.Change{
				ProposedAt: at, Name: name, ExpiresAt: at + rapid.OneOf(rapid.Just(30.0), rapid.Float64Range(-100, 500), rapid.Float64Range(-1e5, 1e5)).Draw(t, "for"),
				Kind:  rapid.SampledFrom([]storestate.Kind{storestate.SpendToken, storestate.RevokeToken, storestate.AddPurge}).Draw(t, "kind"),
				Purge: &storestate.Purge{Object: name, IssuedAt: at},
			}
			s.Apply(c)
			w.apply(s.Time, c)
			w.require(t, s)
			if rapid.IntRange(0, 19).Draw(t, "snapshot") == 0 {
				raw, err := storestate.Encode(s)
				require.NoError(t, err)
				s, err = storestate.DecodeState(raw)
				require.NoError(t, err)
			}
		}
	})
}

// Members whose contents are equal have equal bytes, in whatever order it came to them.
func TestOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := []storestate.Change{{Kind: storestate.EndDrain, ProposedAt: 1000}}
		for i := range rapid.IntRange(1, 40).Draw(t, "n") {
			name := string(rune('A' + i))
			until := float64(rapid.IntRange(500, 2000).Draw(t, "until"))
			kind := rapid.SampledFrom([]storestate.Kind{storestate.SpendToken, storestate.RevokeToken, storestate.AddPurge}).Draw(t, "kind")
			changes = append(changes, storestate.Change{Kind: kind, ProposedAt: 1000, ExpiresAt: until, Name: name, Purge: &storestate.Purge{Object: name, IssuedAt: 1000}})
		}
		last := []storestate.Change{ // each has those of its kind end whose time is over
			{Kind: storestate.SpendToken, ProposedAt: 1500, ExpiresAt: 9000, Name: "z"}, {Kind: storestate.RevokeToken, ProposedAt: 1500, ExpiresAt: 9000, Name: "z"},
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

// A snapshot that holds an end that is no time keeps what it is the end of, as it did before ends were ordered, and what
// is beside it expires.
func TestEndThatIsNone(t *testing.T) {
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
	require.NotContains(t, s.RevokedTokens, "a", "it has an end since")
}

// Results that are kept for changes that come again take no more memory however many changes there were: what the slice
// was cut from is let go of whenever it is made anew.
func TestDoneBounded(t *testing.T) {
	s := storestate.New()
	for i := range 400_000 {
		s.Apply(storestate.Change{ID: string(rune(i)) + string(rune(i>>10)), Kind: storestate.EndDrain, ProposedAt: 1000})
	}
	require.LessOrEqual(t, len(s.Results), 1<<16)
	require.LessOrEqual(t, cap(s.Results), 1<<17)
}
