package policy_test

import (
	"fmt"
	"time"

	"ravenwheel/policy"
)

// A caller passes events to the router and carries out its actions.
func Example() {
	r, err := policy.New(policy.Settings{
		Routers: 1, ParentKind: 1, OriginKind: 2, OutcomeDetail: policy.DetailAll, MaxAttempts: 4,
		Classes: []policy.Class{{LatencyObjective: 300 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second // any clock that never goes backwards
	show := func(e policy.Event) {
		for _, a := range r.Handle(now, e, nil) {
			switch a := a.(type) {
			case policy.Fetch:
				fmt.Printf("fetch from cache %d, fill from %d\n", a.Server, a.Source)
			case policy.SetTimer:
				fmt.Printf("timer in %v\n", a.After)
			case policy.Reject:
				fmt.Printf("reject %s\n", a.ID)
			}
		}
	}
	show(policy.Members{Kind: policy.ListFull, Entries: []policy.Member{
		{ID: 1}, {ID: 11, Kind: 1}, {ID: 20, Kind: 2},
	}})
	show(policy.Request{ID: "r1", Object: "o", TimeLeft: time.Second, Group: -1})
	// The parent could not be reached: the next in the chain is the origin.
	show(policy.Outcome{ID: "r1", Server: 1, Result: policy.Overloaded, Note: policy.NoteSourceLost})
	show(policy.Outcome{ID: "r1", Attempt: 1, Server: 1, Result: policy.OK, Note: policy.NoteFilled, Final: true})
	now += time.Second
	show(policy.Timer{Token: 1}) // the deadline of a request that is over: nothing to do
	// Output:
	// timer in 1s
	// timer in 300ms
	// fetch from cache 1, fill from 11
	// timer in 300ms
	// fetch from cache 1, fill from 20
}
