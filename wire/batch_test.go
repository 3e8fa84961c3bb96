package wire

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"ravenwheel/policy"
)

func TestDecodeEvents(t *testing.T) {
	for line, want := range map[string]any{
		`["Req",3,"id",240000,2,3,0,640,11,"ab",1]`: policy.Request{ID: "id", TimeLeft: 240 * time.Millisecond,
			ClientRetry: true, Part: 3, SizeKB: 640, Group: 11, Object: "ab", Class: 1, KeyIssuer: policy.ClientKey},
		`["Req",3,"id",240000,null,null,null,null,null,"ab",0]`: policy.Request{ID: "id",
			TimeLeft: 240 * time.Millisecond, Group: -1, Object: "ab", KeyIssuer: policy.ClientKey},
		`["Done",3,"id",true,18500,1,77,2,"done",9400,{"x0":0.5,"new":{}}]`: policy.Outcome{ID: "id", Final: true,
			Latency: 18500 * time.Microsecond, Attempt: 1, Server: 77, Note: policy.NoteFilled, Result: policy.OK,
			SourceWait: 9400 * time.Microsecond, Load: policy.LoadReport{"hits": 0.5}},
		`["Done",3,"id",false,1,0,77,null,"newword",null,null]`: policy.Outcome{ID: "id",
			Latency: time.Microsecond, Server: 77, Result: policy.Unknown},
		`["Purged",3,11,null,85000]`: policy.Purged{Group: 11, Age: 85 * time.Millisecond},
		`["TimeoutFired",3,77]`:      policy.Timer{Token: 77},
		`["Targets",3,"disk",41,[[5,1,0,0,"L",1.5,6100000,9]]]`: policy.Members{Kind: policy.ListCached, Version: 41,
			Entries: []policy.Member{{ID: 5, Zone: 1, State: policy.Draining, Weight: 1.5, Started: 6100 * time.Millisecond}}},
	} {
		b, err := DecodeBatch([]byte(`{"AtTimeUs":5,"events":[` + line + `,["Unknown",1]]}`))
		if err != nil {
			t.Errorf("%s: %v", line, err)
		} else if len(b.Events) != 1 || b.Events[0].Instance != 3 || !reflect.DeepEqual(b.Events[0].Event, want) {
			t.Errorf("%s: got %+v, want %+v", line, b.Events, want)
		}
	}
}

// The error for an invalid line names the event and the value.
func TestDecodeBatchReportsInvalidEvent(t *testing.T) {
	for line, want := range map[string]string{
		`nonsense`:                                           "invalid batch",
		`{"events":[]}`:                                      "invalid batch",
		`{"AtTimeUs":1,"events":[["Req",3]]}`:                "event Req: Txn is missing",
		`{"AtTimeUs":1,"events":[["Req",{}]]}`:               "event Req: Who",
		`{"AtTimeUs":1,"events":[["Targets",3,"odd",1,[]]]}`: "event Targets: How",
		`{"AtTimeUs":1,"events":[["Boot",3,1]]}`:             "event Boot: Env is missing",
		`{"AtTimeUs":1,"events":[[]]}`:                       "name is missing",
	} {
		if _, err := DecodeBatch([]byte(line)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want %q", line, err, want)
		}
	}
}

// A Start carries the settings. An unknown word for the idempotency is decoded, and policy.New rejects it.
func TestDecodeStartWithSettings(t *testing.T) {
	line := `{"AtTimeUs":1,"events":[["Boot",0,9,{"NInstances":3,"Zone":2,"New":1,"Weights":"rough",
		"Grades":[{"Effect":"at_most_once","DeadlineUs":5000},{"Effect":"odd"}],
		"FamilyInfo":{"Uncached":[true],"RootKind":2,"PeersFill":"any","NoteLevel":"hit"}}]]}`
	b, err := DecodeBatch([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	s := b.Events[0].Event.(Start).Settings
	if s.Routers != 3 || !s.WeightsKnown || s.OriginKind != 2 || s.ParentKind != -1 || s.SiblingFills != policy.SiblingsAny ||
		s.OutcomeDetail != policy.DetailHit || !s.Classes[0].Uncached || s.Classes[0].Idempotency != policy.NotIdempotent {
		t.Errorf("got %+v", s)
	}
	if _, err := policy.New(s, 1); err == nil {
		t.Error("an unknown idempotency was accepted")
	}
}

func TestEncodeReply(t *testing.T) {
	got, err := EncodeReply(nil, []InstanceAction{
		{3, policy.Lookup{ID: "a", Server: 7, Timeout: 80 * time.Millisecond}},
		{3, policy.Fetch{ID: "a", Server: 7, Source: 9, RetainRank: 2, MaxAge: time.Second, Timeout: 900 * time.Millisecond, Options: policy.Coalesce | policy.RefreshInBackground}},
		{3, policy.SetTimer{Token: 77, After: 500*time.Millisecond + 1}},
		{3, policy.Reject{ID: "a"}},
		{3, InternalError{Text: "bad\nline"}},
	})
	want := `{"outbox":[["Route",3,"a",7,80000],["PullVia",3,"a",1000000,7,2,900000,9,9],["After",3,77,500001],` +
		`["Deny",3,"a",0],["InternalError",3,"bad\nline"]]}` + "\n"
	if err != nil || string(got) != want {
		t.Errorf("got %s, %v\nwant %s", got, err, want)
	}
	if _, err := EncodeReply(nil, []InstanceAction{{1, 5}}); err == nil {
		t.Error("an unknown action was encoded")
	}
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte(`{"AtTimeUs":5,"events":[["Req",3,"id",1,0,0,0,0,0,"a",0]]}`))
	f.Add([]byte(`{"AtTimeUs":5,"events":[["Targets",3,"disk",41,[[5,1,0,0,"L"]]]]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		b, err := DecodeBatch(line)
		for _, event := range b.Events {
			if err != nil || event.Event == nil {
				t.Fatalf("got an event and error %v: %+v", err, event)
			}
		}
	})
}
