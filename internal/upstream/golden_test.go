package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/core"
	"ravenwheel/internal/golden"
	"ravenwheel/internal/resp"
	"ravenwheel/policy"
)

// Frames of attempts are encoded to the same bytes as in earlier versions: with every field set, with each fill option alone, and
// with the optional fields empty.
func TestGoldenRequestFrames(t *testing.T) {
	full := core.Attempt{
		ID: "00000000000000a1", Class: "tiles", Object: "7f3a9c21e0b4d655", Part: 3, CachedTag: "v1", IdempotencyKey: "k1", Body: []byte("body\r\n"),
		Server: 20, Source: 11, Deadline: 2499.8, MaxAge: 20.9, RetainRank: 2,
		Options: policy.Coalesce | policy.CachedOnly | policy.ParentPassThrough | policy.RefreshInBackground, SendBy: 1500, NonIdempotent: true,
	}
	frames := appendFrame(nil, &full, 1000)
	for _, option := range []policy.FillOptions{policy.Coalesce, policy.CachedOnly, policy.ParentPassThrough, policy.RefreshInBackground} {
		a := full
		a.Options = option
		frames = appendFrame(frames, &a, 1000)
	}
	frames = appendFrame(frames, &core.Attempt{ID: "b", Class: "c", Object: "d", Server: 20, Source: 20, Deadline: 900}, 1000)
	frames = resp.AppendFrame(frames, "abort", full.ID)
	golden.Equal(t, "requests.resp", frames)
}

// Answers of cache servers are decoded as in earlier versions.
func TestGoldenAnswerFrames(t *testing.T) {
	const fields = "version=v7,why=pulled,took=12.5,rep=inflight:1.5;queue:2.5;util:0.25;latency_ms:3.5;qps:4.5;eps:5.5;x0:0.5;x1:6.5;x9:1"
	load := policy.LoadReport{
		"inflight": 1.5, "queue": 2.5, "util": 0.25, "latency": 3.5, "served": 4.5, "errors": 5.5, "hits": 0.5, "link": 6.5,
	}
	cases := []struct {
		status, fields, body string
		want                 core.Outcome
	}{
		{"served", fields, "bytes", core.Outcome{Result: policy.OK, Note: policy.NoteFilled, SourceWait: 12.5, Tag: "v7", Body: []byte("bytes"), Load: load}},
		{"still_good", "version=v7", "", core.Outcome{Result: policy.OK, Tag: "v7", NotModified: true}},
		{"not_here", "-", "", core.Outcome{Result: policy.Miss}},
		{"overload", "why=turned_away", "", core.Outcome{Result: policy.Overloaded, Note: policy.NoteSourceRejected}},
		{"crashed", "why=far_fault", "", core.Outcome{Result: policy.Failed, Note: policy.NoteOriginFailed}},
		{"nobody", "-", "", core.Outcome{Result: policy.Skipped}},
		{"green", "-", "", core.Outcome{Result: policy.OK, Body: []byte{}}},
		{"red", "-", "", core.Outcome{Result: policy.Failed}},
		{"later", "-", "", core.Outcome{Result: policy.Unknown}},
		{"overload", "why=local", "", core.Outcome{Result: policy.Overloaded, Note: policy.NoteHit}},
		{"overload", "why=pulled_far", "", core.Outcome{Result: policy.Overloaded, Note: policy.NoteFilledOrigin}},
		{"overload", "why=rode", "", core.Outcome{Result: policy.Overloaded, Note: policy.NoteCoalesced}},
		{"overload", "why=expired", "", core.Outcome{Result: policy.Overloaded, Note: policy.NoteStale}},
		{"overload", "why=cut_off", "", core.Outcome{Result: policy.Overloaded, Note: policy.NoteSourceLost}},
		{"overload", "why=not_there", "", core.Outcome{Result: policy.Overloaded, Note: policy.NoteSourceMiss}},
		{"overload", "why=no_place", "", core.Outcome{Result: policy.Overloaded, Note: policy.NoteNoFillSlot}},
		{"overload", "why=later", "", core.Outcome{Result: policy.Overloaded}},
	}
	var frames []byte
	for _, c := range cases {
		frames = resp.AppendFrame(frames, "r1", c.status, c.fields, c.body)
	}
	golden.Equal(t, "answers.resp", frames)

	rest := golden.Read(t, "answers.resp")
	for _, c := range cases {
		parts, n, err := resp.ParseFrame(rest, resp.MaxResponseSize)
		require.NoError(t, err)
		require.Positive(t, n)
		rest = rest[n:]
		id, end, err := decodeAnswer(parts)
		require.NoError(t, err)
		require.Equal(t, "r1", id)
		require.Equal(t, c.want, end, "%s %s", c.status, c.fields)
	}
	require.Empty(t, rest)
}
