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

// notes is an upstream that writes down what it is sent and answers as its customer's servers do.
type notes struct {
	list []string
	end  core.Outcome
}

func (n *notes) Send(a core.Attempt, end func(core.Outcome)) func() bool {
	n.list = append(n.list, fmt.Sprintf("%+v", core.Attempt{
		ID: a.ID, Class: a.Class, Object: a.Object, CachedTag: a.CachedTag, IdempotencyKey: a.IdempotencyKey, Server: a.Server, Source: a.Source, Deadline: a.Deadline, MaxAge: a.MaxAge,
		RetainRank: a.RetainRank, Options: a.Options, SendBy: a.SendBy, NonIdempotent: a.NonIdempotent,
	}))
	go end(n.end)
	return func() bool { return true }
}

func (n *notes) UpdateMembers([]core.Member, bool) {}

// customer is a deployment in this process: names, effects, deadlines, worth and what its servers answer are its own.
type customer struct {
	core *core.Core
	up   *notes
	clk  *clock.Clock
}

func newCustomer(t *testing.T, names []string, end core.Outcome, turn func(*policy.Settings)) *customer {
	set := scenario.Settings()
	turn(&set)
	c := &customer{up: &notes{end: end}, clk: clock.Manual(1e12)}
	var err error
	c.core, err = core.New(set, names, 0, 7, c.clk, c.up)
	require.NoError(t, err)
	c.core.UpdateMembers(coreMembers())
	return c
}

func (c *customer) ask(n int) string {
	q := core.Request{ID: fmt.Sprint(n), Class: n % 3, Object: fmt.Sprint(n % 7), CachedTag: "v1", Deadline: c.clk.Now() + 900}
	a := c.core.Do(context.Background(), q)
	c.clk.Advance(10)
	return fmt.Sprint(a.Verdict, a.Tag, a.NotModified, a.RetryAfter)
}

// Two customers' settings in one process, one after the other and by turns: what one gets is to the letter what it gets
// alone, and no name of the other's shows in it; and what one has learned is not taken by the other.
func TestCustomersAreApart(t *testing.T) {
	hers := func() *customer {
		return newCustomer(t, []string{"lap", "badge", "vote"}, core.Outcome{Result: policy.OK, Note: policy.NoteHit, Tag: "v1", NotModified: true, Written: true}, func(*policy.Settings) {})
	}
	his := func() *customer {
		return newCustomer(t, []string{"timetable", "deckplan", "booking"}, core.Outcome{Result: policy.Failed, Written: true}, func(s *policy.Settings) {
			s.MaxAttempts, s.MaxRetryAfter = 2, 100*s.MaxRetryAfter
			for i := range s.Classes {
				s.Classes[i].PriorityWeight *= 10
				s.Classes[i].Deadline /= 2
				s.Classes[i].Idempotency = policy.NotIdempotent
			}
		})
	}
	alone := hers()
	var want []string
	for n := range 60 {
		want = append(want, alone.ask(n))
	}
	by, beside := hers(), his()
	for n := range 60 {
		beside.ask(n)
		require.Equal(t, want[n], by.ask(n))
	}
	require.Equal(t, alone.up.list, by.up.list)
	for _, sent := range beside.up.list {
		require.NotContains(t, sent, "lap")
		require.NotContains(t, sent, "badge")
	}
	require.True(t, strings.Contains(by.up.list[0], "lap"))
	// By a hand-over between processes: the same names, and other costs.
	text, err := beside.core.LearnedState()
	require.NoError(t, err)
	require.Error(t, hers().core.RestoreLearnedState(text))
	same := newCustomer(t, []string{"timetable", "deckplan", "booking"}, core.Outcome{}, func(s *policy.Settings) { s.Classes[1].PriorityWeight = 7 })
	require.Error(t, same.core.RestoreLearnedState(text), "learned under other costs")
	require.NoError(t, his().core.RestoreLearnedState(text))
}
