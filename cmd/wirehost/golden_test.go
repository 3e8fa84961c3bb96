package main

import (
	"bytes"
	"strings"
	"testing"

	"ravenwheel/internal/golden"
)

// TestGoldenSession checks that a session with one instance gets the same replies as in earlier versions, byte for byte.
func TestGoldenSession(t *testing.T) {
	lines := []string{
		`{"AtTimeUs":1,"events":[["Boot",3,1,{"NInstances":1,"Weights":"rough","Grades":[{"Effect":"idempotent","DeadlineUs":1000000,"TargetUs":1000,"Worth":1}],` +
			`"Bounds":{"RetryAfter":true,"MaxRetryAfterUs":1000000,"Cancel":true,"ConnectTimeoutUs":50000},` +
			`"FamilyInfo":{"RootKind":2,"SecondTierKind":1,"NoteLevel":"all","SharesFills":true,"ClassFreshUs":[5000000]}}]]}`,
		`{"AtTimeUs":2,"events":[["Targets",3,"disk",1,[[5,0,0,0,"U",1,null],[6,0,0,0,"U",2,null],[9,0,2,0,"U",1,null]]]]}`,
		`{"AtTimeUs":3,"events":[["Req",3,"q",500000,0,0,0,0,0,"ab",0]]}`,
		`{"AtTimeUs":2000,"events":[["TimeoutFired",3,2]]}`,
		`{"AtTimeUs":2500,"events":[["Done",3,"q",false,2497,0,5,0,"econnrefused",0,null]]}`,
		`{"AtTimeUs":2600,"events":[["Done",3,"q",false,100,1,6,0,"econnrefused",0,null]]}`,
		`{"AtTimeUs":3000,"events":[["Purged",3,0,null,85000],["Req",3,"r",500000,0,0,0,0,0,"ab",0],["Req",3,"s",500000,0,0,0,0,0,"ab",9]]}`,
	}
	golden.Equal(t, "session-in.jsonl", []byte(strings.Join(lines, "\n")+"\n"))
	var out bytes.Buffer
	if err := serve(bytes.NewReader(golden.Read(t, "session-in.jsonl")), &out); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "session-out.jsonl", out.Bytes())
}
