package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings of a router in a zone with parents and an origin. Tests change what they
// need.
func testSettings() Settings {
	return Settings{
		Routers: 2, Zone: 2, ZoneRouters: []int{0, 0, 1, 1}, ParentKind: 1, OriginKind: 2,
		Classes: []Class{
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 6 * time.Second, PriorityWeight: 2},
			{LatencyObjective: 800 * ms, Deadline: 3 * time.Second, PriorityWeight: 3, Idempotency: NotIdempotent, Uncached: true},
			{LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 1, FreshFor: 8 * time.Second, StaleFor: 20 * time.Second},
		},
		SiblingFills: SiblingsInZone, CoalescesFills: true, OutcomeDetail: DetailAll, PurgeDuration: 6 * time.Second,
		PurgeGrace: 300 * ms, MaxAttempts: 6, CanCancel: true, SendsRetryAfter: true, MaxRetryAfter: time.Second,
		ConnectTimeout: 400 * ms, WeightsKnown: true, FinalAnswerGrace: 8 * ms, DrainGrace: 500 * ms,
		CacheWarmUp:  WarmUp{InitialCapacity: 0.2, Duration: 16 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second},
		ParentWarmUp: WarmUp{InitialCapacity: 0.06, Duration: 20 * time.Second, OverloadMultiple: 2, OverloadWindow: 2 * time.Second},
	}
}

// testMembers returns a list of caches 1 to 3 in the router's zone, parents 11 and 12, and origin 20.
func testMembers() Members {
	members := Members{Kind: ListCached}
	for _, id := range []ServerID{1, 2, 3} {
		members.Entries = append(members.Entries, Member{ID: id, Zone: 2, Weight: 10})
	}
	for _, id := range []ServerID{11, 12} {
		members.Entries = append(members.Entries, Member{ID: id, Zone: 0, Kind: 1, Weight: 20})
	}
	members.Entries = append(members.Entries, Member{ID: 20, Kind: 2, Weight: 50})
	return members
}

// routerHarness passes events to one router at a time that the test sets.
type routerHarness struct {
	t      *testing.T
	router *Router
	now    Time
}

// startRouter starts a router and passes it a list of servers.
func startRouter(t *testing.T, settings Settings, members Members) *routerHarness {
	t.Helper()
	router, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	h := &routerHarness{t: t, router: router, now: time.Minute}
	h.handle(members)
	return h
}

func (h *routerHarness) handle(e Event) []Action { return h.router.Handle(h.now, e, nil) }

// findAction returns the first action of type A.
func findAction[A Action](actions []Action) (found A, ok bool) {
	for _, action := range actions {
		if match, matches := action.(A); matches {
			return match, true
		}
	}
	return found, false
}

// requireFetch returns the first Fetch, and fails the test if there is none.
func (h *routerHarness) requireFetch(actions []Action) Fetch {
	h.t.Helper()
	fetch, ok := findAction[Fetch](actions)
	if !ok {
		h.t.Fatalf("got actions %v, want a Fetch", actions)
	}
	return fetch
}

func newRequest(id, object string) Request {
	return Request{ID: id, Object: object, TimeLeft: 3 * time.Second, Group: 1}
}

// The error of New names the invalid setting.
func TestNewReportsInvalidField(t *testing.T) {
	for want, settings := range map[string]Settings{
		"Settings.Classes is empty":       {},
		"Settings.Classes[0].Idempotency": {Classes: []Class{{Idempotency: 9, Deadline: 1}}},
		"Settings.Classes[0].Deadline":    {Classes: []Class{{}}},
	} {
		if _, err := New(settings, 1); err == nil || !contains(err.Error(), want) {
			t.Errorf("got error %[2]v, want one that contains %[1]q", want, err)
		}
	}
}

func contains(s, sub string) bool {
	for i := 0; i+len(sub) <= len(s); i++ {
		if s[i:i+len(sub)] == sub {
			return true
		}
	}
	return false
}

// answer reports that a fetch succeeded with the given note after the given latency.
func (h *routerHarness) answer(id string, fetch Fetch, note Note, latency time.Duration) {
	h.handle(Outcome{ID: id, Server: fetch.Server, Result: OK, Note: note, Latency: latency, Final: true})
}

// Once nothing is in flight, no slot is occupied, even if outcomes were late, were reported twice, or came
// from caches that have been replaced.
func TestIdleRouterOccupiesNoSlots(t *testing.T) {
	settings := testSettings()
	settings.Routers, settings.ZoneRouters = 200, []int{0, 0, 12}
	h := startRouter(t, settings, testMembers())
	notes := []Note{NoteHit, NoteFilled, NoteFilledOrigin, NoteSourceLost, NoteSourceRejected, NoteNoFillSlot, NoteSourceMiss}
	results := []Result{OK, OK, OK, Overloaded, Overloaded, Overloaded, Miss}
	type sentAttempt struct {
		requestID string
		index     int
		server    ServerID
	}
	var open []sentAttempt
	sent := map[string]int{}
	collect := func(actions []Action) {
		for _, action := range actions {
			if fetch, ok := action.(Fetch); ok {
				open = append(open, sentAttempt{fetch.ID, sent[fetch.ID], fetch.Server})
				sent[fetch.ID]++
			}
		}
	}
	for i := range 300 {
		h.now += 10 * ms
		request := newRequest(fmt.Sprint(i), fmt.Sprint("o", i%40))
		request.Class = i % 3
		collect(h.handle(request))
		if i == 150 {
			members := testMembers()
			members.Kind, members.Entries[0].ID, members.Entries[0].Started = ListFull, 4, h.now
			collect(h.handle(members))
		}
		if i%5 == 0 {
			for _, timer := range h.router.timers {
				if timer.kind == objectiveTimer && timer.attempt.open {
					h.router.objectiveMissed(timer.attempt)
				}
			}
		}
	}
	for n := 0; len(open) > 0; n++ {
		next := open[0]
		open = open[1:]
		outcome := Outcome{ID: next.requestID, Attempt: next.index, Server: next.server, Result: results[n%7], Note: notes[n%7], Latency: 300 * ms}
		collect(h.handle(outcome))
		collect(h.handle(outcome)) // an outcome that is reported twice counts once
	}
	for id, server := range h.router.servers {
		if len(server.inFlight)+server.openFills+server.exemptAttempts != 0 {
			t.Errorf("server %d: got %d attempts in flight, %d fills and %d exempt attempts, want none", id, len(server.inFlight), server.openFills, server.exemptAttempts)
		}
	}
	if h.router.link.openFills != 0 {
		t.Errorf("got %d fills in flight on the link, want none", h.router.link.openFills)
	}
}

// An attempt that has ended is not reachable from the list of attempts in flight, so that it can be collected
// as garbage.
func TestEndedAttemptsAreNotRetained(t *testing.T) {
	list := []*attempt{{index: 0}, {index: 1}, {index: 2}}
	for _, attempt := range slices.Clone(list) {
		list = removeFirst(list, attempt)
	}
	for i, attempt := range list[:cap(list)] {
		if attempt != nil {
			t.Errorf("element %d of the list still refers to attempt %d", i, attempt.index)
		}
	}
}
