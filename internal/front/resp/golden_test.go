package resp_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/golden"
	frames "ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
)

// fakeHandler gives prepared answers, by the ids of the requests, and records the requests.
type fakeHandler struct {
	resp.RequestHandler
	answers  map[string]core.Answer
	requests bytes.Buffer
}

func (h *fakeHandler) Do(_ context.Context, q core.Request) core.Answer {
	fmt.Fprintf(&h.requests, "%s: class %d, object %s, part %d, group %d, size %v, repeat %v, holds %q, key %q, body %q, deadline %v\n",
		q.ID, q.Class, q.Object, q.Part, q.Group, q.SizeKB, q.ClientRetry, q.CachedTag, q.IdempotencyKey, q.Body, q.Deadline)
	return h.answers[q.ID]
}

// The bytes of each kind of answer, and the values that each kind of request is parsed to, stay as recorded.
func TestGoldenAnswers(t *testing.T) {
	p := scenario.NewProxy(t)
	ln, err := net.Listen("tcp", scenario.Loopback())
	require.NoError(t, err)
	handler := &fakeHandler{RequestHandler: p.Core, answers: map[string]core.Answer{
		"00000000000000a1": {Verdict: core.Served, Body: []byte("BYTES"), Tag: "v1"},
		"00000000000000a2": {Verdict: core.Served, NotModified: true, Tag: "v7"},
		"00000000000000a3": {Verdict: core.Served},
		"00000000000000a4": {Verdict: core.Rejected},
		"00000000000000a5": {Verdict: core.Rejected, RetryAfter: 0.5},
		"00000000000000a6": {Verdict: core.Rejected, RetryAfter: 250.75},
		"00000000000000a7": {Verdict: core.Failed},
	}}
	f := resp.New(ln, 20, p.Clock, handler)
	go func() { _ = f.Serve() }()
	defer f.Close()
	nc, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	defer nc.Close()
	require.NoError(t, nc.SetReadDeadline(time.Now().Add(time.Minute)))
	buf := frames.Buffer{MaxFrameSize: frames.MaxResponseSize}
	var out bytes.Buffer
	exchange := func(words ...string) {
		_, err := nc.Write(frames.AppendFrame(nil, words...))
		require.NoError(t, err)
		_, raw, err := buf.Next(nc)
		require.NoError(t, err)
		fmt.Fprintf(&out, "%s\n%q\n", strings.Join(words, " "), raw)
	}
	call := func(tag, class, fields string, body ...string) {
		exchange(append([]string{"RPC.CALL", tag, class, fields}, body...)...)
	}
	const object = ",obj=7f3a9c21e0b4d655"
	call("1", "replay", "rid=00000000000000a1,budget=900"+object+",nth=3,batch=17,mem=40,again=1,got=v7,acct=club,token=28ca688e")
	call("2", "asset", "rid=00000000000000a2,budget=900"+object+",got=v7")
	call("3", "asset", "rid=00000000000000a3,budget=900.5"+object)
	call("4", "asset", "rid=00000000000000a4,budget=1"+object)
	call("5", "asset", "rid=00000000000000a5,budget=900"+object)
	call("6", "asset", "rid=00000000000000a6,budget=900"+object)
	call("7", "seat-claim", "rid=00000000000000a7,budget=900"+object+",nth=0,batch=255", "seat9")
	call("8", "nosuch", "rid=00000000000000a8,budget=900"+object)
	call("9", "asset", "rid=00000000000000a9,budget=2501"+object)
	exchange("RPC.OTHER", "10", "x")
	exchange("RPC.HEALTH", "11")
	f.SetReady(false)
	exchange("RPC.HEALTH", "12")
	f.SetDrainPlan(drain.Plan{Active: true, RejectFrom: 1})
	call("13", "asset", "rid=00000000000000a1,budget=900"+object)
	golden.Equal(t, "answers.txt", out.Bytes())
	golden.Equal(t, "requests.txt", handler.requests.Bytes())
}
