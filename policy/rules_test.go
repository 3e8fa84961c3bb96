package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"sync"
	"testing"
	"time"
)

// ruleChecker checks the actions of one router against the rules of the protocol. It knows events only, not
// the load of servers.
type ruleChecker struct {
	settings   Settings
	requests   map[string]*trackedRequest
	states     map[ServerID]State
	notifiedAt map[ServerID]Time
	members    map[ServerID]Member
	purged     map[string][2]Time // object: time of the purge, time of its notice
}

// trackedRequest is a request as the checker sees it.
type trackedRequest struct {
	request  Request
	deadline Time
	done     bool
	attempts []trackedAttempt
}

type trackedAttempt struct {
	server                ServerID
	sentAt                Time
	open, mayHaveExecuted bool
}

func newRuleChecker(settings Settings) *ruleChecker {
	return &ruleChecker{settings: settings, requests: map[string]*trackedRequest{}, states: map[ServerID]State{}, notifiedAt: map[ServerID]Time{},
		members: map[ServerID]Member{}, purged: map[string][2]Time{}}
}

func (checker *ruleChecker) event(now Time, e Event) {
	switch e := e.(type) {
	case Members:
		listed := map[ServerID]bool{}
		for _, members := range e.Entries {
			listed[members.ID] = true
			if members.State != checker.states[members.ID] {
				checker.notifiedAt[members.ID] = now
			}
			checker.states[members.ID], checker.members[members.ID] = members.State, members
		}
		if e.Kind == ListFull || e.Kind == ListCached {
			for id := range checker.members {
				if !listed[id] && checker.states[id] != Gone {
					checker.states[id], checker.notifiedAt[id] = Gone, now
				}
			}
		}
	case Request:
		if checker.requests[e.ID] == nil {
			checker.requests[e.ID] = &trackedRequest{request: e, deadline: now + e.TimeLeft}
		}
	case Outcome:
		request := checker.requests[e.ID]
		if request == nil || e.Attempt >= len(request.attempts) || !request.attempts[e.Attempt].open {
			return
		}
		attempt := &request.attempts[e.Attempt]
		attempt.open = false
		attempt.mayHaveExecuted = e.Result != Overloaded && e.Result != ConnectFailed && e.Result != Skipped && e.Result != Miss
		request.done = request.done || e.Final
	case ClientLeft:
		if request := checker.requests[e.ID]; request != nil {
			request.done = true
		}
	case Purged:
		checker.purged[e.Object] = [2]Time{now - e.Age, now}
	}
}

// action checks one action and applies it.
func (checker *ruleChecker) action(now Time, a Action) error {
	switch a := a.(type) {
	case Reject:
		return checker.finalAnswer(a.ID, true)
	case Fail:
		return checker.finalAnswer(a.ID, false)
	case Lookup:
		return checker.send(now, a.ID, a.Server, a.Server, 0, checker.members[a.Server].Kind == checker.settings.OriginKind)
	case Fetch:
		return checker.send(now, a.ID, a.Server, a.Source, a.MaxAge, false)
	}
	return nil
}

// finalAnswer checks that there is one final answer, and that a rejection is harmless.
func (checker *ruleChecker) finalAnswer(id string, isReject bool) error {
	request := checker.requests[id]
	if request == nil || request.done {
		return fmt.Errorf("second final answer for %s", id)
	}
	request.done = true
	class := checker.settings.Classes[request.request.Class]
	harmless := class.Idempotency == Idempotent || class.Idempotency == IdempotentByKey && class.DedupScope == DedupAll
	if isReject && !harmless {
		for _, attempt := range request.attempts {
			if attempt.open || attempt.mayHaveExecuted {
				return fmt.Errorf("%s rejected though it may have been executed", id)
			}
		}
	}
	return nil
}

// send checks an attempt with the given maximum age. origin says that it goes straight to the origin.
func (checker *ruleChecker) send(now Time, id string, to, source ServerID, maxAge time.Duration, toOrigin bool) error {
	request := checker.requests[id]
	if request == nil || request.done {
		return fmt.Errorf("%s sent after its final answer", id)
	}
	for _, named := range []ServerID{to, source} {
		if member, known := checker.members[named]; !known || checker.states[named] != Ready && now-checker.notifiedAt[named] > checker.settings.DrainGrace {
			return fmt.Errorf("%s names %d (%+v), which is draining or unknown", id, named, member)
		}
	}
	if checker.settings.MaxAttempts > 0 && len(request.attempts) >= checker.settings.MaxAttempts {
		return fmt.Errorf("%s exceeds the attempt limit", id)
	}
	if err := checker.retry(now, request, to); err != nil {
		return err
	}
	uncached := checker.settings.Classes[request.request.Class].Uncached
	if purge, ok := checker.purged[request.request.Object]; ok && !toOrigin && !uncached && now-purge[1] > checker.settings.PurgeGrace &&
		now-purge[0] < checker.settings.PurgeDuration && (maxAge == 0 || maxAge > now-purge[0]) && now > purge[0] {
		return fmt.Errorf("%s may be answered from before its purge: age %v", id, maxAge)
	}
	request.attempts = append(request.attempts, trackedAttempt{server: to, sentAt: now, open: true})
	return nil
}

// retry checks that another attempt at a cache can have no second effect.
func (checker *ruleChecker) retry(now Time, request *trackedRequest, to ServerID) error {
	class := checker.settings.Classes[request.request.Class]
	for _, earlier := range request.attempts {
		if earlier.open {
			return fmt.Errorf("%s has two attempts in flight", request.request.ID)
		}
		if (earlier.open || earlier.mayHaveExecuted) && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && (now-earlier.sentAt >= class.DedupWindow ||
			class.DedupScope == DedupZone && checker.members[to].Zone != checker.members[earlier.server].Zone ||
			class.DedupScope == DedupCell && checker.members[to].Cell != checker.members[earlier.server].Cell)) {
			return fmt.Errorf("%s retried though it may have been executed", request.request.ID)
		}
	}
	return nil
}

// runRandomEvents generates valid events from a seed and returns all actions, or the first violation of a
// rule.
func runRandomEvents(seed int64) ([]Action, error) {
	rng := rand.New(rand.NewSource(seed))
	settings := testSettings()
	settings.MayBypassCaches = rng.Intn(2) == 0
	settings.SiblingFills, settings.OutcomeDetail = SiblingScope(rng.Intn(3)), OutcomeDetail(rng.Intn(3))
	settings.WeightsKnown, settings.MaxAttempts = rng.Intn(2) == 0, 1+rng.Intn(8)
	settings.Classes = append(settings.Classes,
		Class{LatencyObjective: 200 * ms, Deadline: 3 * time.Second, Idempotency: IdempotentByKey, DedupScope: DedupScope(rng.Intn(3)), DedupWindow: time.Second})
	router, err := New(settings, uint64(seed))
	if err != nil {
		return nil, err
	}
	checker, now := newRuleChecker(settings), Time(seed%7)*time.Second
	var allActions []Action
	type due struct {
		at    Time
		token uint64
	}
	var timers []due
	var open []Outcome
	handle := func(e Event) error {
		checker.event(now, e)
		for _, a := range router.Handle(now, e, nil) {
			allActions = append(allActions, a)
			if err := checker.action(now, a); err != nil {
				return err
			}
			switch a := a.(type) {
			case SetTimer:
				timers = append(timers, due{now + a.After, a.Token})
			case Lookup:
				open = append(open, Outcome{ID: a.ID, Attempt: len(checker.requests[a.ID].attempts) - 1, Server: a.Server})
			case Fetch:
				open = append(open, Outcome{ID: a.ID, Attempt: len(checker.requests[a.ID].attempts) - 1, Server: a.Server})
			}
		}
		return nil
	}
	members := testMembers()
	if err := handle(members); err != nil {
		return nil, err
	}
	for step := range 1500 {
		now += time.Duration(rng.Intn(20)) * ms
		for i := 0; i < len(timers); i++ {
			if t := timers[i]; t.at <= now {
				timers = append(timers[:i], timers[i+1:]...)
				i--
				if err := handle(Timer{Token: t.token}); err != nil {
					return nil, err
				}
			}
		}
		var e Event
		switch kind := rng.Intn(20); {
		case kind < 8:
			e = Request{ID: fmt.Sprint(step), Class: rng.Intn(len(settings.Classes)), Object: fmt.Sprint(rng.Intn(20)),
				TimeLeft: time.Duration(1+rng.Intn(3000)) * ms, Group: rng.Intn(4)}
		case kind < 16 && len(open) > 0:
			i := rng.Intn(len(open))
			outcome := open[i]
			open = append(open[:i], open[i+1:]...)
			outcome.Result, outcome.Note = Result(rng.Intn(10)), Note(rng.Intn(11))
			outcome.Latency = time.Duration(rng.Intn(900)) * ms
			outcome.Final = outcome.Result == OK || checker.requests[outcome.ID].done
			e = outcome
		case kind == 16:
			m := members.Entries[rng.Intn(len(members.Entries)-1)]
			m.State = State(rng.Intn(3))
			if m.State == Ready && rng.Intn(2) == 0 {
				m.Started = now
			}
			e = Members{Kind: ListChanges, Entries: []Member{m}}
		case kind == 17:
			e = Members{Kind: ListFull, Entries: members.Entries[rng.Intn(4):]}
		case kind == 18:
			e = Purged{Object: fmt.Sprint(rng.Intn(20)), Group: -1, Age: time.Duration(rng.Intn(300)) * ms}
		default:
			e = ClientLeft{ID: fmt.Sprint(rng.Intn(step + 1))}
		}
		if err := handle(e); err != nil {
			return nil, fmt.Errorf("step %d: %w", step, err)
		}
		for id, request := range checker.requests {
			if !request.done && now > request.deadline+20*ms {
				return nil, fmt.Errorf("step %d: %s has no final answer at its deadline", step, id)
			}
		}
	}
	return allActions, nil
}

// The rules of the protocol hold for arbitrary events, and equal events yield equal actions, alone or beside
// other routers.
func TestRulesHoldUnderArbitraryEvents(t *testing.T) {
	const seeds = 60
	sequential := make([][]Action, seeds)
	for seed := range sequential {
		actions, err := runRandomEvents(int64(seed))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		sequential[seed] = actions
	}
	concurrent := make([][]Action, seeds)
	var group sync.WaitGroup
	for seed := range concurrent {
		group.Go(func() { concurrent[seed], _ = runRandomEvents(int64(seed)) })
	}
	group.Wait()
	for seed := range sequential {
		if !reflect.DeepEqual(sequential[seed], concurrent[seed]) {
			t.Errorf("seed %d: equal events gave different actions", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) {
		if _, err := runRandomEvents(seed); err != nil {
			t.Fatal(err)
		}
	})
}

// The checker detects each kind of wrong action.
func TestCheckerDetectsViolations(t *testing.T) {
	settings := testSettings()
	for name, test := range map[string]struct {
		before []Event
		acts   []Action
	}{
		"two answers":                 {nil, []Action{Fail{ID: "a"}, Fail{ID: "a"}}},
		"sent after its final answer": {nil, []Action{Fail{ID: "a"}, Fetch{ID: "a", Server: 1, Source: 11}}},
		"two in flight":               {nil, []Action{Fetch{ID: "a", Server: 1, Source: 11}, Fetch{ID: "a", Server: 2, Source: 11}}},
		"non-idempotent rejected":     {nil, []Action{Fetch{ID: "u", Server: 1, Source: 20}, Reject{ID: "u"}}},
		"draining cache":              {[]Event{Members{Entries: []Member{{ID: 1, State: Draining}}}}, []Action{Fetch{ID: "a", Server: 1, Source: 11}}},
		"draining source":             {[]Event{Members{Entries: []Member{{ID: 11, State: Gone}}}}, []Action{Fetch{ID: "a", Server: 1, Source: 11}}},
		"purged, any age":             {[]Event{Purged{Object: "o"}}, []Action{Fetch{ID: "a", Server: 1, Source: 11}}},
	} {
		checker := newRuleChecker(settings)
		checker.event(0, testMembers())
		checker.event(0, newRequest("a", "o"))
		uncachedRequest := newRequest("u", "p")
		uncachedRequest.Class = 1
		checker.event(0, uncachedRequest)
		for _, e := range test.before {
			checker.event(0, e)
		}
		var err error
		for _, a := range test.acts {
			if e := checker.action(time.Second, a); e != nil {
				err = e
			}
		}
		if err == nil {
			t.Errorf("%s: not detected", name)
		}
	}
}
