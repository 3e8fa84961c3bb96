package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/retry"
	"ravenwheel/internal/scenario/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// Whatever fails: attempts are bounded, waits are within theirs, nothing is tried past the end, and over all callers
// retries stay within what was saved up and earned.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := retry.Settings{Attempts: 4, Base: 10, Most: 200, Budget: 5, Earn: 0.2}
		b := retry.New(set)
		successes, retries := 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "calls") {
			var c retry.Call
			now, end := 0.0, float64(rapid.IntRange(0, 600).Draw(t, "end"))
			unknown := false
			for tries := 1; ; tries++ {
				o := retry.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				unknown = unknown || o == retry.Unknown
				wait, again := b.Ended(&c, o, now, end, rapid.Float64Range(0, 1).Draw(t, "luck"))
				require.Equal(t, unknown, c.Unknown)
				if o == retry.Done {
					successes++
					require.False(t, again)
				}
				if !again {
					break
				}
				retries++
				require.Less(t, tries, set.Attempts)
				require.GreaterOrEqual(t, wait, set.Base)
				require.LessOrEqual(t, wait, set.Most)
				now += wait
				require.Less(t, now, end)
			}
			require.LessOrEqual(t, float64(retries), set.Budget+set.Earn*float64(successes)+1e-9)
		}
	})
}
