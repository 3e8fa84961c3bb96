package wire

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"ravenwheel/internal/golden"
	"ravenwheel/policy"
)

// bootLine starts an instance and sets every setting.
const bootLine = `["Boot",1,18446744073709551615,{"NInstances":2,"Rank":1,"Zone":3,"Discovery":"ask","Weights":"nominal","TickUs":36000,` +
	`"Bounds":{"Cancel":true,"RetryAfter":true,"MostTries":33,"MaxRetryAfterUs":34000000,"ConnectTimeoutUs":35000},` +
	`"Rules":{"AnswerSlackUs":32000,"AskWithinUs":24000000,"DrainGraceUs":25000000,"FallUs":28000000,"WarmWithinUs":26000000,` +
	`"ColdFrom":0.125,"FallMultiple":27.5},` +
	`"Grades":[{"TargetUs":10000,"DeadlineUs":12000000,"WindowUs":14000000,"AimStretch":11.5,"LateValue":0.25,"Worth":13.5,` +
	`"Effect":"deduplicated","Group":"cell","Stream":true},{"DeadlineUs":5000000,"Effect":"at_most_once"},` +
	`{"DeadlineUs":6000000,"Effect":"deduplicated","Group":"zone"},{"DeadlineUs":7000000,"Effect":"idempotent","Group":"all"}],` +
	`"FamilyInfo":{"ClassFreshUs":[15000000],"StaleForUs":[16000000],"ClassStaleWorth":[0.5],"InParts":[true],"Uncached":[true],` +
	`"MayPassBy":true,"SharesFills":true,"FlowKbPerS":19.5,"OriginFallMultiple":22.5,"OriginBearsUs":23000000,` +
	`"ParentWarmsInUs":29000000,"ParentColdFrom":0.375,"ParentBreaksAt":30.5,"RootKind":18,"SecondTierKind":17,` +
	`"PurgeTakesUs":20000000,"NoticeTimeUs":21000000,"PeersFill":"any","NoteLevel":"all","ZoneBalancers":[4,5],"HomeHub":[6,7],` +
	`"ZoneLinkKbPerS":[8.5,9.25]}}]`

// wantSettings returns the settings in bootLine.
func wantSettings() policy.Settings {
	return policy.Settings{
		RouterIndex: 1, Routers: 2, Zone: 3, ZoneRouters: []int{4, 5}, HomeHub: []int{6, 7}, LinkKBPerS: []float64{8.5, 9.25},
		Classes: []policy.Class{
			{
				LatencyObjective: 10 * time.Millisecond, ObjectiveStretch: 11.5, Deadline: 12 * time.Second, PriorityWeight: 13.5, LateFraction: 0.25,
				Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupCell, DedupWindow: 14 * time.Second, Streamed: true, Uncached: true,
				Multipart: true, FreshFor: 15 * time.Second, StaleFor: 16 * time.Second, StaleFraction: 0.5,
			},
			{LatencyObjective: 5 * time.Second, Deadline: 5 * time.Second, Idempotency: policy.NotIdempotent},
			{LatencyObjective: 6 * time.Second, Deadline: 6 * time.Second, Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupZone},
			{LatencyObjective: 7 * time.Second, Deadline: 7 * time.Second, Idempotency: policy.Idempotent, DedupScope: policy.DedupAll},
		},
		ParentKind: 17, OriginKind: 18, MayBypassCaches: true, SiblingFills: policy.SiblingsAny, CoalescesFills: true,
		OutcomeDetail: policy.DetailAll, TransferKBPerS: 19.5, PurgeDuration: 20 * time.Second, PurgeGrace: 21 * time.Second,
		OriginOverloadMultiple: 22.5, OriginOverloadWindow: 23 * time.Second, WatchDiscovery: true, PollInterval: 24 * time.Second,
		DrainGrace:       25 * time.Second,
		CacheWarmUp:      policy.WarmUp{InitialCapacity: 0.125, Duration: 26 * time.Second, OverloadMultiple: 27.5, OverloadWindow: 28 * time.Second},
		ParentWarmUp:     policy.WarmUp{InitialCapacity: 0.375, Duration: 29 * time.Second, OverloadMultiple: 30.5, OverloadWindow: 28 * time.Second},
		FinalAnswerGrace: 32 * time.Millisecond, WeightsKnown: true, MaxAttempts: 33, CanCancel: true, SendsRetryAfter: true,
		MaxRetryAfter: 34 * time.Second, ConnectTimeout: 35 * time.Millisecond, MinBatchInterval: 36 * time.Millisecond,
	}
}

// outcomeLine returns an outcome with the given result and note on the wire. wantOutcome returns the event to which it is decoded.
func outcomeLine(result, note string) string {
	return `["Done",1,"q",true,18500,2,77,` + note + `,"` + result + `",9400,` +
		`{"busy_reqs":1.5,"pending":2.5,"cpu_share":0.25,"svc_ms":3.5,"served_ps":4.5,"failed_ps":5.5,"x0":0.5,"x1":6.5}]`
}

func wantOutcome(result policy.Result, note policy.Note) policy.Outcome {
	return policy.Outcome{
		ID: "q", Final: true, Latency: 18500 * time.Microsecond, Attempt: 2, Server: 77, Note: note, Result: result,
		SourceWait: 9400 * time.Microsecond,
		Load: policy.LoadReport{
			"inflight": 1.5, "queue": 2.5, "util": 0.25, "latency": 3.5, "served": 4.5, "errors": 5.5, "hits": 0.5, "link": 6.5,
		},
	}
}

// TestGoldenEvents checks that each event line is decoded to the same event as in earlier versions, field by field.
func TestGoldenEvents(t *testing.T) {
	wantEntries := []policy.Member{
		{ID: 5, Zone: 1, Kind: 2, Cell: 3, State: policy.Ready, Weight: 1.5, Started: 6100 * time.Millisecond},
		{ID: 6, Zone: 1, Kind: 2, State: policy.Draining}, {ID: 7, Zone: 1, Kind: 2, State: policy.Gone},
		{ID: 8, Zone: 1, Kind: 2, State: policy.Draining},
	}
	hostsJSON := `[[5,1,2,3,"U",1.5,6100000],[6,1,2,null,"L",null,null],[7,1,2,0,"D"],[8,1,2,0,"later"]]`
	cases := []struct {
		line string
		want any
	}{
		{bootLine, Start{Seed: 18446744073709551615, Settings: wantSettings()}},
		{`["Detach",1]`, Stop{}},
		{`["Targets",1,"diff",41,` + hostsJSON + `]`, policy.Members{Kind: policy.ListChanges, Version: 41, Entries: wantEntries}},
		{`["Targets",1,"snapshot",42,` + hostsJSON + `]`, policy.Members{Kind: policy.ListFull, Version: 42, Entries: wantEntries}},
		{`["Targets",1,"disk",43,` + hostsJSON + `]`, policy.Members{Kind: policy.ListCached, Version: 43, Entries: wantEntries}},
		{`["Targets",1,"error",null,null]`, policy.Members{Kind: policy.ListFailed}},
		{`["Req",1,"q",240000,6,3,4,640.5,11,"ab",2]`, policy.Request{
			ID: "q", TimeLeft: 240 * time.Millisecond, ClientRetry: true, Write: true, Part: 3, Tenant: 4, SizeKB: 640.5, Group: 11,
			Object: "ab", Class: 2, KeyIssuer: policy.ClientKey,
		}},
		{`["Req",1,"q",240000,2,null,null,null,null,"ab",2]`, policy.Request{
			ID: "q", TimeLeft: 240 * time.Millisecond, ClientRetry: true, Group: -1, Object: "ab", Class: 2, KeyIssuer: policy.ClientKey,
		}},
		{`["UnderWay",1,"q",2,1500,77]`, policy.StreamStarted{ID: "q", Attempt: 2, Latency: 1500 * time.Microsecond, Server: 77}},
		{outcomeLine("done", "1"), wantOutcome(policy.OK, policy.NoteHit)},
		{outcomeLine("err", "2"), wantOutcome(policy.Failed, policy.NoteFilled)},
		{outcomeLine("busy", "3"), wantOutcome(policy.Overloaded, policy.NoteFilledOrigin)},
		{outcomeLine("etimedout", "4"), wantOutcome(policy.TimedOut, policy.NoteCoalesced)},
		{outcomeLine("econnrefused", "5"), wantOutcome(policy.ConnectFailed, policy.NoteStale)},
		{outcomeLine("econnreset", "6"), wantOutcome(policy.Reset, policy.NoteSourceRejected)},
		{outcomeLine("ecanceled", "7"), wantOutcome(policy.Cancelled, policy.NoteSourceLost)},
		{outcomeLine("skipped", "8"), wantOutcome(policy.Skipped, policy.NoteSourceMiss)},
		{outcomeLine("enoent", "9"), wantOutcome(policy.Miss, policy.NoteNoFillSlot)},
		{outcomeLine("later", "10"), wantOutcome(policy.Unknown, policy.NoteOriginFailed)},
		{`["Done",1,"q",false,null,0,77,null,"done",null,null]`, policy.Outcome{ID: "q", Server: 77, Result: policy.OK}},
		{`["ClientLeft",1,"q"]`, policy.ClientLeft{ID: "q"}},
		{`["TimeoutFired",1,77]`, policy.Timer{Token: 77}},
		{`["Purged",1,11,"ab",85000]`, policy.Purged{Group: 11, Object: "ab", Age: 85 * time.Millisecond}},
		{`["Purged",1,null,null,85000]`, policy.Purged{Group: -1, Age: 85 * time.Millisecond}},
	}
	var lines []byte
	for _, c := range cases {
		lines = append(lines, `{"AtTimeUs":5,"events":[`+c.line+"]}\n"...)
	}
	golden.Equal(t, "events.jsonl", lines)

	read := bytes.Split(bytes.TrimSuffix(golden.Read(t, "events.jsonl"), []byte("\n")), []byte("\n"))
	if len(read) != len(cases) {
		t.Fatalf("%d lines, want %d", len(read), len(cases))
	}
	for i, line := range read {
		batch, err := DecodeBatch(line)
		if err != nil {
			t.Errorf("%s: %v", line, err)
			continue
		}
		want := Batch{At: 5 * time.Microsecond, Events: []InstanceEvent{{Instance: 1, Event: cases[i].want}}}
		if !reflect.DeepEqual(batch, want) {
			t.Errorf("%s:\n got %+v\nwant %+v", line, batch, want)
		}
	}
}

// TestGoldenActions checks that each action is encoded to the same bytes as in earlier versions, with every field set and with the
// optional fields empty.
func TestGoldenActions(t *testing.T) {
	reply, err := EncodeReply(nil, []InstanceAction{
		{Instance: 3, Action: policy.Lookup{ID: "a", Server: 7, Timeout: 80 * time.Millisecond}},
		{Instance: 3, Action: policy.Lookup{ID: "a", Server: 7}},
		{Instance: 3, Action: policy.Fetch{
			ID: "a", Server: 7, Source: 9, Timeout: 900 * time.Millisecond, MaxAge: time.Second, RetainRank: 2,
			Options: policy.Coalesce | policy.CachedOnly | policy.ParentPassThrough | policy.RefreshInBackground,
		}},
		{Instance: 3, Action: policy.Fetch{ID: "a", Server: 7, Source: 7, Options: policy.Coalesce}},
		{Instance: 3, Action: policy.Fetch{ID: "a", Server: 7, Source: 7, Options: policy.CachedOnly}},
		{Instance: 3, Action: policy.Fetch{ID: "a", Server: 7, Source: 7, Options: policy.ParentPassThrough}},
		{Instance: 3, Action: policy.Fetch{ID: "a", Server: 7, Source: 7, Options: policy.RefreshInBackground}},
		{Instance: 3, Action: policy.Cancel{ID: "a", Attempt: 4}},
		{Instance: 3, Action: policy.Reject{ID: "a", RetryAfter: 1500 * time.Millisecond}},
		{Instance: 3, Action: policy.Reject{ID: "a"}},
		{Instance: 3, Action: policy.Fail{ID: "a"}},
		{Instance: 3, Action: policy.SetTimer{Token: 18446744073709551615, After: 500*time.Millisecond + 1}},
		{Instance: 3, Action: policy.Watch{On: true}},
		{Instance: 3, Action: policy.Watch{}},
		{Instance: 3, Action: policy.Log{Text: "7 up"}},
		{Instance: 3, Action: InternalError{Text: "starting: \"x\""}},
	})
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "reply.jsonl", reply)
}
