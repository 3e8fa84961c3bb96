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
		set := retry.Settings{MaxAttempts: 4, BaseDelay: 10, MaxDelay: 200, MaxRetries: 5, RetriesPerSuccess: 0.2}
		b := retry.New(set)
		successes, retries := 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "calls") {
			var c retry.Operation
			now, end := 0.0, float64(rapid.IntRange(0, 600).Draw(t, "end"))
			unknown := false
			for tries := 1; ; tries++ {
				o := retry.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				unknown = unknown || o == retry.Unknown
				wait, again := b.AttemptEnded(&c, o, now, end, rapid.Float64Range(0, 1).Draw(t, "luck"))
				require.Equal(t, unknown, c.MayHaveRun)
				if o == retry.Succeeded {
					successes++
					require.False(t, again)
				}
				if !again {
					break
				}
				retries++
				require.Less(t, tries, set.MaxAttempts)
				require.GreaterOrEqual(t, wait, set.BaseDelay)
				require.LessOrEqual(t, wait, set.MaxDelay)
				now += wait
				require.Less(t, now, end)
			}
			require.LessOrEqual(t, float64(retries), set.MaxRetries+set.RetriesPerSuccess*float64(successes)+1e-9)
		}
	})
}
