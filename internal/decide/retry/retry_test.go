package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/retry"
	"ravenwheel/internal/scenario/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// Whichever attempts fail, the number of attempts and the delays stay within their bounds, no attempt starts after the deadline,
// and the retries of all operations together stay within the budget plus what successes have added to it.
func TestRetriesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := retry.Settings{MaxAttempts: 4, BaseDelay: 10, MaxDelay: 200, MaxRetries: 5, RetriesPerSuccess: 0.2}
		budget := retry.New(settings)
		successes, retries := 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "operations") {
			var op retry.Operation
			now, deadline := 0.0, float64(rapid.IntRange(0, 600).Draw(t, "deadline"))
			mayHaveRun := false
			for attempts := 1; ; attempts++ {
				outcome := retry.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				mayHaveRun = mayHaveRun || outcome == retry.Unknown
				delay, again := budget.AttemptEnded(&op, outcome, now, deadline, rapid.Float64Range(0, 1).Draw(t, "random"))
				require.Equal(t, mayHaveRun, op.MayHaveRun)
				if outcome == retry.Succeeded {
					successes++
					require.False(t, again)
				}
				if !again {
					break
				}
				retries++
				require.Less(t, attempts, settings.MaxAttempts)
				require.GreaterOrEqual(t, delay, settings.BaseDelay)
				require.LessOrEqual(t, delay, settings.MaxDelay)
				now += delay
				require.Less(t, now, deadline)
			}
			require.LessOrEqual(t, float64(retries), settings.MaxRetries+settings.RetriesPerSuccess*float64(successes)+1e-9)
		}
	})
}
