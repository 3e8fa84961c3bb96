package core_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/scenario"
	"ravenwheel/policy"
)

// recordingUpstream records the attempts that it gets and ends each of them with the same outcome.
type recordingUpstream struct {
	attempts []string
	outcome  core.Outcome
}

func (u *recordingUpstream) Send(a core.Attempt, end func(core.Outcome)) func() bool {
	u.attempts = append(u.attempts, fmt.Sprintf("%+v", core.Attempt{
		ID: a.ID, Class: a.Class, Object: a.Object, CachedTag: a.CachedTag, IdempotencyKey: a.IdempotencyKey, Server: a.Server, Source: a.Source, Deadline: a.Deadline, MaxAge: a.MaxAge,
		RetainRank: a.RetainRank, Options: a.Options, SendBy: a.SendBy, NonIdempotent: a.NonIdempotent,
	}))
	go end(u.outcome)
	return func() bool { return true }
}

func (u *recordingUpstream) UpdateMembers([]core.Member, bool) {}

// deployment is a core with its own class names, settings, upstream and clock.
type deployment struct {
	core *core.Core
	up   *recordingUpstream
	clk  *clock.Clock
}

func newDeployment(t *testing.T, classes []string, outcome core.Outcome, change func(*policy.Settings)) *deployment {
	settings := scenario.Settings()
	change(&settings)
	d := &deployment{up: &recordingUpstream{outcome: outcome}, clk: clock.Manual(1e12)}
	var err error
	d.core, err = core.New(settings, classes, 0, 7, d.clk, d.up)
	require.NoError(t, err)
	d.core.UpdateMembers(testMembers())
	return d
}

func (d *deployment) request(n int) string {
	request := core.Request{ID: fmt.Sprint(n), Class: n % 3, Object: fmt.Sprint(n % 7), CachedTag: "v1", Deadline: d.clk.Now() + 900}
	answer := d.core.Do(context.Background(), request)
	d.clk.Advance(10)
	return fmt.Sprint(answer.Verdict, answer.Tag, answer.NotModified, answer.RetryAfter)
}

// Two deployments in one process handle requests alternately. Each gives exactly the answers that it gives alone, and neither
// accepts the learned state of the other.
func TestDeploymentsInOneProcessAreIndependent(t *testing.T) {
	newFirst := func() *deployment {
		return newDeployment(t, []string{"lap", "badge", "vote"}, core.Outcome{Result: policy.OK, Note: policy.NoteHit, Tag: "v1", NotModified: true, Written: true}, func(*policy.Settings) {})
	}
	newSecond := func() *deployment {
		return newDeployment(t, []string{"timetable", "deckplan", "booking"}, core.Outcome{Result: policy.Failed, Written: true}, func(s *policy.Settings) {
			s.MaxAttempts, s.MaxRetryAfter = 2, 100*s.MaxRetryAfter
			for i := range s.Classes {
				s.Classes[i].PriorityWeight *= 10
				s.Classes[i].Deadline /= 2
				s.Classes[i].Idempotency = policy.NotIdempotent
			}
		})
	}
	alone := newFirst()
	var want []string
	for n := range 60 {
		want = append(want, alone.request(n))
	}
	interleaved, other := newFirst(), newSecond()
	for n := range 60 {
		other.request(n)
		require.Equal(t, want[n], interleaved.request(n))
	}
	require.Equal(t, alone.up.attempts, interleaved.up.attempts)
	for _, sent := range other.up.attempts {
		require.NotContains(t, sent, "lap")
		require.NotContains(t, sent, "badge")
	}
	require.True(t, strings.Contains(interleaved.up.attempts[0], "lap"))
	// Learned state is handed over as between two processes.
	encoded, err := other.core.LearnedState()
	require.NoError(t, err)
	require.Error(t, newFirst().core.RestoreLearnedState(encoded))
	sameClasses := newDeployment(t, []string{"timetable", "deckplan", "booking"}, core.Outcome{}, func(s *policy.Settings) { s.Classes[1].PriorityWeight = 7 })
	require.Error(t, sameClasses.core.RestoreLearnedState(encoded), "learned under different settings")
	require.NoError(t, newSecond().core.RestoreLearnedState(encoded))
}
