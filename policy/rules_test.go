package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"sync"
	"testing"
	"time"
)

// ruleChecker checks the actions of one router against the rules of the protocol. It sees only the router's
// events and actions, not the load of the servers.
type ruleChecker struct {
	settings   Settings
	requests   map[string]*trackedRequest
	states     map[ServerID]State
	notifiedAt map[ServerID]Time
	members    map[ServerID]Member
	purged     map[string][2]Time // by object: time of the purge, time of its notice
}

// trackedRequest is a request as the checker has seen it.
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

// event applies one event.
func (checker *ruleChecker) event(now Time, event Event) {
	switch event := event.(type) {
	case Members:
		listed := map[ServerID]bool{}
		for _, member := range event.Entries {
			listed[member.ID] = true
			if member.State != checker.states[member.ID] {
				checker.notifiedAt[member.ID] = now
			}
			checker.states[member.ID], checker.members[member.ID] = member.State, member
		}
		if event.Kind == ListFull || event.Kind == ListCached {
			for id := range checker.members {
				if !listed[id] && checker.states[id] != Gone {
					checker.states[id], checker.notifiedAt[id] = Gone, now
				}
			}
		}
	case Request:
		if checker.requests[event.ID] == nil {
			checker.requests[event.ID] = &trackedRequest{request: event, deadline: now + event.TimeLeft}
		}
	case Outcome:
		tracked := checker.requests[event.ID]
		if tracked == nil || event.Attempt >= len(tracked.attempts) || !tracked.attempts[event.Attempt].open {
			return
		}
		attempt := &tracked.attempts[event.Attempt]
		attempt.open = false
		attempt.mayHaveExecuted = event.Result != Overloaded && event.Result != ConnectFailed && event.Result != Skipped && event.Result != Miss
		tracked.done = tracked.done || event.Final
	case ClientLeft:
		if tracked := checker.requests[event.ID]; tracked != nil {
			tracked.done = true
		}
	case Purged:
		checker.purged[event.Object] = [2]Time{now - event.Age, now}
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

// finalAnswer checks that a request gets only one final answer, and that a rejection is safe: the request was
// not executed, or can be repeated.
func (checker *ruleChecker) finalAnswer(id string, isReject bool) error {
	tracked := checker.requests[id]
	if tracked == nil || tracked.done {
		return fmt.Errorf("request %s has a second final answer", id)
	}
	tracked.done = true
	class := checker.settings.Classes[tracked.request.Class]
	deduplicated := class.Idempotency == IdempotentByKey && class.DedupScope == DedupAll && tracked.request.KeyIssuer == ClientKey
	harmless := class.Idempotency == Idempotent || deduplicated
	if isReject && !harmless {
		for _, attempt := range tracked.attempts {
			if attempt.open || attempt.mayHaveExecuted {
				return fmt.Errorf("request %s was rejected although it may have been executed", id)
			}
		}
	}
	return nil
}

// send checks an attempt that accepts copies up to maxAge; 0 means the class's own. toOrigin says that the
// attempt goes directly to the origin.
func (checker *ruleChecker) send(now Time, id string, to, source ServerID, maxAge time.Duration, toOrigin bool) error {
	tracked := checker.requests[id]
	if tracked == nil || tracked.done {
		return fmt.Errorf("request %s was sent after its final answer", id)
	}
	for _, named := range []ServerID{to, source} {
		if member, known := checker.members[named]; !known || checker.states[named] != Ready && now-checker.notifiedAt[named] > checker.settings.DrainGrace {
			return fmt.Errorf("request %s names server %d (%+v), which is draining or unknown", id, named, member)
		}
	}
	if checker.settings.MaxAttempts > 0 && len(tracked.attempts) >= checker.settings.MaxAttempts {
		return fmt.Errorf("request %s has more attempts than MaxAttempts", id)
	}
	if err := checker.retry(now, tracked, to); err != nil {
		return err
	}
	uncached := checker.settings.Classes[tracked.request.Class].Uncached
	if purge, ok := checker.purged[tracked.request.Object]; ok && !toOrigin && !uncached && now-purge[1] > checker.settings.PurgeGrace &&
		now-purge[0] < checker.settings.PurgeDuration && (maxAge == 0 || maxAge > now-purge[0]) && now > purge[0] {
		return fmt.Errorf("request %s may be answered from a copy that is older than its purge: maximum age %v", id, maxAge)
	}
	tracked.attempts = append(tracked.attempts, trackedAttempt{server: to, sentAt: now, open: true})
	return nil
}

// retry checks that another attempt at a server cannot execute the request a second time with effect.
func (checker *ruleChecker) retry(now Time, tracked *trackedRequest, to ServerID) error {
	class := checker.settings.Classes[tracked.request.Class]
	for _, earlier := range tracked.attempts {
		if earlier.open {
			return fmt.Errorf("request %s has two attempts in flight", tracked.request.ID)
		}
		if (earlier.open || earlier.mayHaveExecuted) && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && (tracked.request.KeyIssuer == NoKey || now-earlier.sentAt >= class.DedupWindow ||
			class.DedupScope == DedupZone && checker.members[to].Zone != checker.members[earlier.server].Zone ||
			class.DedupScope == DedupCell && checker.members[to].Cell != checker.members[earlier.server].Cell)) {
			return fmt.Errorf("request %s was retried although it may have been executed", tracked.request.ID)
		}
	}
	return nil
}

// runRandomEvents passes random valid events, generated from a seed, to a router. It returns all actions, or
// the first violation of a rule.
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
	type pendingTimer struct {
		at    Time
		token uint64
	}
	var timers []pendingTimer
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
				timers = append(timers, pendingTimer{now + a.After, a.Token})
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
				TimeLeft: time.Duration(1+rng.Intn(3000)) * ms, Group: rng.Intn(4), KeyIssuer: KeyIssuer(rng.Intn(3))}
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
		for id, tracked := range checker.requests {
			if !tracked.done && now > tracked.deadline+20*ms {
				return nil, fmt.Errorf("step %d: request %s has no final answer 20 ms after its deadline", step, id)
			}
		}
	}
	return allActions, nil
}

// The rules of the protocol hold for arbitrary events, and equal events yield equal actions, also while other
// routers run concurrently.
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
			t.Errorf("seed %d: equal events gave different actions when routers ran concurrently", seed)
		}
	}
}

// In a class that is idempotent by key, the checker detects a retry of a request without a key, and a rejection after which the
// client's retry would not have the same key.
func TestCheckerDetectsMissingKey(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency, settings.Classes[0].DedupWindow = IdempotentByKey, time.Minute
	for _, second := range []Action{Fetch{ID: "a", Server: 2, Source: 11}, Reject{ID: "a"}} {
		for _, issuer := range []KeyIssuer{NoKey, ClientKey, FrontKey} {
			checker := newRuleChecker(settings)
			checker.event(0, testMembers())
			request := newRequest("a", "o")
			request.KeyIssuer = issuer
			checker.event(0, request)
			if err := checker.action(0, Fetch{ID: "a", Server: 1, Source: 11}); err != nil {
				t.Fatal(err)
			}
			checker.event(0, Outcome{ID: "a", Server: 1, Result: Reset})
			_, isReject := second.(Reject)
			wantError := issuer == NoKey || isReject && issuer == FrontKey
			if err := checker.action(0, second); (err != nil) != wantError {
				t.Errorf("%T of a request with key issuer %d: got error %v", second, issuer, err)
			}
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

// The checker detects wrong actions of each of these kinds.
func TestCheckerDetectsViolations(t *testing.T) {
	settings := testSettings()
	for name, test := range map[string]struct {
		before  []Event
		actions []Action
	}{
		"two final answers":                 {nil, []Action{Fail{ID: "a"}, Fail{ID: "a"}}},
		"sent after its final answer":       {nil, []Action{Fail{ID: "a"}, Fetch{ID: "a", Server: 1, Source: 11}}},
		"two attempts in flight":            {nil, []Action{Fetch{ID: "a", Server: 1, Source: 11}, Fetch{ID: "a", Server: 2, Source: 11}}},
		"non-idempotent request rejected":   {nil, []Action{Fetch{ID: "u", Server: 1, Source: 20}, Reject{ID: "u"}}},
		"sent to a draining cache":          {[]Event{Members{Entries: []Member{{ID: 1, State: Draining}}}}, []Action{Fetch{ID: "a", Server: 1, Source: 11}}},
		"filled from a server that is gone": {[]Event{Members{Entries: []Member{{ID: 11, State: Gone}}}}, []Action{Fetch{ID: "a", Server: 1, Source: 11}}},
		"copy from before a purge":          {[]Event{Purged{Object: "o"}}, []Action{Fetch{ID: "a", Server: 1, Source: 11}}},
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
		for _, a := range test.actions {
			if e := checker.action(time.Second, a); e != nil {
				err = e
			}
		}
		if err == nil {
			t.Errorf("%s: the checker reported no violation", name)
		}
	}
}
