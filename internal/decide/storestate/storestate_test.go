package storestate_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/scenario/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// drawChange draws the n-th change of a log. It may have the id of an earlier change.
func drawChange(t *rapid.T, n int) storestate.Change {
	c := storestate.Change{
		ID: fmt.Sprint(rapid.IntRange(0, n+1).Draw(t, "id")), ProposedAt: float64(rapid.IntRange(0, 5000).Draw(t, "at")),
		Kind: storestate.Kind(rapid.IntRange(0, 10).Draw(t, "kind")), Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
		ExpiresAt: float64(rapid.IntRange(0, 9000).Draw(t, "until")), BaseRevision: uint64(rapid.IntRange(0, 4).Draw(t, "base")),
		Text: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "text"),
	}
	if rapid.Bool().Draw(t, "full") {
		c.Key = &storestate.Key{Alg: "HS256", Data: []byte{1}}
		c.List = &storestate.List{Generation: uint64(rapid.IntRange(1, 3).Draw(t, "gen")), Servers: []serverlist.Server{{ID: 1, Host: "h"}}}
		c.Purge = &storestate.Purge{Group: rapid.IntRange(0, 2).Draw(t, "group"), IssuedAt: c.ProposedAt}
	}
	return c
}

// Members that apply the same log have equal states, whether they apply each entry, repeated entries, or a snapshot in place of the
// entries before it. A token id is redeemed once.
func TestReplicasOfOneLogAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := storestate.New(), storestate.New()
		redeemedBy := map[string]string{} // by token id: the change that redeemed it
		submitted := map[string]bool{}
		for n := range rapid.IntRange(0, 60).Draw(t, "n") {
			c := drawChange(t, n)
			raw, err := storestate.Encode(c)
			require.NoError(t, err)
			decoded, err := storestate.DecodeChange(raw)
			require.NoError(t, err)
			before := first.Revision().Number
			r := first.Apply(c)
			require.Equal(t, r, second.Apply(decoded))
			require.Equal(t, r, first.Apply(c), "a change that is applied again has the same result and no effect")
			require.LessOrEqual(t, first.Revision().Number, before+1)
			again := submitted[c.ID]
			if submitted[c.ID] = true; !again && c.Kind == storestate.RedeemToken && r.Verdict == storestate.OK && c.ExpiresAt > 5000 {
				if by, known := redeemedBy[c.Name]; known {
					require.Equal(t, by, c.ID, "two changes redeemed the same token id")
				}
				redeemedBy[c.Name] = c.ID
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				raw, err := storestate.Encode(second)
				require.NoError(t, err)
				second, err = storestate.DecodeState(raw)
				require.NoError(t, err)
			}
		}
		a, err := storestate.Encode(first)
		require.NoError(t, err)
		b, err := storestate.Encode(second)
		require.NoError(t, err)
		require.Equal(t, a, b)
	})
}

// Entries and snapshots of format version 0 are decoded.
func TestVersion0IsDecoded(t *testing.T) {
	s, err := storestate.DecodeState([]byte(`{"Keys":{"k1":{"alg":"HS256","key":"eA=="}},"Config":{"site":"th"},"Spent":{"j1":9000},"Revoked":{"j2":9000}}`))
	require.NoError(t, err)
	require.Equal(t, storestate.Key{Alg: "HS256", Data: []byte("x")}, s.Keys["k1"])
	for raw, want := range map[string]storestate.Verdict{
		`{"Op":0,"Name":"j1","Until":9000,"Now":1000}`:            storestate.AlreadyRedeemed,
		`{"Op":0,"Name":"j3","Until":9000,"Now":1000}`:            storestate.OK,
		`{"Op":1,"Name":"k2","Key":{"alg":"HS256","key":"eQ=="}}`: storestate.OK,
		`{"Op":2,"Name":"k1"}`:                                    storestate.OK,
		`{"Op":4,"Name":"site","Value":"x"}`:                      storestate.Invalid,
	} {
		c, err := storestate.DecodeChange([]byte(raw))
		require.NoError(t, err)
		require.Equal(t, want, s.Apply(c).Verdict, raw)
	}
	require.Contains(t, s.Keys, "k2")
	require.NotContains(t, s.Keys, "k1")
	for _, raw := range []string{"", "{", "\x02", "\x01\xff"} {
		_, err := storestate.DecodeState([]byte(raw))
		require.Error(t, err, raw)
		_, err = storestate.DecodeChange([]byte(raw))
		require.Error(t, err, raw)
	}
}

// A proposer whose clock is years ahead must not expire token ids that were redeemed through other members.
func TestProposerWithFastClockExpiresNoTokens(t *testing.T) {
	s := storestate.New()
	require.Equal(t, storestate.OK, s.Apply(storestate.Change{Kind: storestate.RedeemToken, Name: "a", ProposedAt: 1000, ExpiresAt: 100_000}).Verdict)
	s.Apply(storestate.Change{Kind: storestate.RedeemToken, Name: "b", ProposedAt: 9e15, ExpiresAt: 9e15})
	require.Equal(t, storestate.AlreadyRedeemed, s.Apply(storestate.Change{Kind: storestate.RedeemToken, Name: "a", ProposedAt: 1001, ExpiresAt: 100_000}).Verdict)
}
