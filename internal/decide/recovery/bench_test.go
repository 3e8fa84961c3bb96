package recovery_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
)

// BenchmarkPrune applies one purge and one departure to a state that holds n of each, and prunes one of each.
func BenchmarkPrune(b *testing.B) {
	for _, n := range []int{600, 6_000, 60_000, 600_000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			s := recovery.NewState()
			retention := recovery.Settings{PurgePropagation: float64(n) / 2, GoneRetention: float64(n)}
			step := func(at int) {
				t := float64(at)
				s.Apply(recovery.Event{At: t, Purge: &recovery.Purge{Object: strconv.Itoa(at), IssuedAt: t, NotifiedAt: t}})
				s.Apply(recovery.Event{At: t, Member: &recovery.Member{ID: uint64(at), Phase: membership.Gone, Since: t}})
			}
			at := 0
			for range n {
				at++
				step(at)
			}
			b.ReportAllocs()
			for b.Loop() {
				at++
				step(at)
				s.Prune(float64(at), retention)
			}
			b.StopTimer()
			purges, members, _ := s.Counts()
			require.Equal(b, [2]int{min(at, n+1), min(at, n+1)}, [2]int{purges, members})
		})
	}
}

// BenchmarkEncode encodes a state of n purges. The proxy encodes its state after each pruning.
func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{600, 6_000, 60_000, 600_000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			s := recovery.NewState()
			for i := range n {
				s.Apply(recovery.Event{At: 1, Purge: &recovery.Purge{Object: strconv.Itoa(i), IssuedAt: 1, NotifiedAt: float64(i)}})
			}
			b.ReportAllocs()
			for b.Loop() {
				_, err := s.Encode()
				require.NoError(b, err)
			}
		})
	}
}
