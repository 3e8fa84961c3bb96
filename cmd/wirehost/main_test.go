package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestServe(t *testing.T) {
	startEvents := `["Boot",3,1,{"NInstances":1,"Grades":[{"Effect":"idempotent","DeadlineUs":1000000,"TargetUs":1000}],` +
		`"FamilyInfo":{"RootKind":2,"SecondTierKind":1}}],["Targets",3,"disk",1,[[5,0,0,0,"U",1,null],[9,0,2,0,"U",1,null]]]`
	for name, c := range map[string]struct{ in, out, err string }{
		"empty batch":      {`{"AtTimeUs":1,"events":[]}` + "\n", `{"outbox":[]}` + "\n", ""},
		"no input":         {"", "", ""},
		"not JSON":         {"\n{oops\n", "", "line 2"},
		"missing value":    {`{"AtTimeUs":1,"events":[["Done",3]]}`, "", "line 1: event Done"},
		"unknown instance": {`{"AtTimeUs":1,"events":[["ClientLeft",3,"x"]]}`, `{"outbox":[]}` + "\n", ""},
		"invalid settings": {`{"AtTimeUs":1,"events":[["Boot",3,1,{}]]}`, "InternalError\",3,\"starting: policy: Settings.Classes", ""},
		"request": {`{"AtTimeUs":1,"events":[` + startEvents + `,["Req",3,"q",500000,0,0,0,0,0,"ab",0]]}`,
			`["PullVia",3,"q",0,5,1,500000,0,9]`, ""},
		"stopped": {`{"AtTimeUs":1,"events":[` + startEvents + `,["Detach",3],["Req",3,"q",500000,0,0,0,0,0,"ab",0]]}`,
			`{"outbox":[]}`, ""},
	} {
		var out bytes.Buffer
		err := serve(strings.NewReader(c.in), &out)
		if !strings.Contains(out.String(), c.out) {
			t.Errorf("%s: wrote %q, want %q", name, out.String(), c.out)
		}
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: error %v, want %q", name, err, c.err)
		}
	}
}
