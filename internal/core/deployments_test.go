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

// recordingUpstream records the attempts that it gets and ends them with one outcome.
type recordingUpstream struct {
	list []string
	end  core.Outcome
}

func (n *recordingUpstream) Send(a core.Attempt, end func(core.Outcome)) func() bool {
	n.list = append(n.list, fmt.Sprintf("%+v", core.Attempt{
		ID: a.ID, Class: a.Class, Object: a.Object, CachedTag: a.CachedTag, IdempotencyKey: a.IdempotencyKey, Server: a.Server, Source: a.Source, Deadline: a.Deadline, MaxAge: a.MaxAge,
		RetainRank: a.RetainRank, Options: a.Options, SendBy: a.SendBy, NonIdempotent: a.NonIdempotent,
	}))
	go end(n.end)
	return func() bool { return true }
}

func (n *recordingUpstream) UpdateMembers([]core.Member, bool) {}

// deployment is a core with its own class names, settings and servers.
type deployment struct {
	core *core.Core
	up   *recordingUpstream
	clk  *clock.Clock
}

func newDeployment(t *testing.T, names []string, end core.Outcome, turn func(*policy.Settings)) *deployment {
	set := scenario.Settings()
	turn(&set)
	c := &deployment{up: &recordingUpstream{end: end}, clk: clock.Manual(1e12)}
	var err error
	c.core, err = core.New(set, names, 0, 7, c.clk, c.up)
	require.NoError(t, err)
	c.core.UpdateMembers(coreMembers())
	return c
}

func (c *deployment) request(n int) string {
	q := core.Request{ID: fmt.Sprint(n), Class: n % 3, Object: fmt.Sprint(n % 7), CachedTag: "v1", Deadline: c.clk.Now() + 900}
	a := c.core.Do(context.Background(), q)
	c.clk.Advance(10)
	return fmt.Sprint(a.Verdict, a.Tag, a.NotModified, a.RetryAfter)
}

// Two deployments in one process, with requests in turn, each get exactly what they get alone, and neither
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
	require.Equal(t, alone.up.list, interleaved.up.list)
	for _, sent := range other.up.list {
		require.NotContains(t, sent, "lap")
		require.NotContains(t, sent, "badge")
	}
	require.True(t, strings.Contains(interleaved.up.list[0], "lap"))
	// As in a handover between processes.
	text, err := other.core.LearnedState()
	require.NoError(t, err)
	require.Error(t, newFirst().core.RestoreLearnedState(text))
	same := newDeployment(t, []string{"timetable", "deckplan", "booking"}, core.Outcome{}, func(s *policy.Settings) { s.Classes[1].PriorityWeight = 7 })
	require.Error(t, same.core.RestoreLearnedState(text), "learned under other settings")
	require.NoError(t, newSecond().core.RestoreLearnedState(text))
}
