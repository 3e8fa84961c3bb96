package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/core"
	"ravenwheel/policy"
)

// Values that are not numbers, are negative or are too large are ignored.
func TestDecodeAnswerIgnoresInvalidFigures(t *testing.T) {
	for text, want := range map[string]core.Outcome{
		"why=far_fault,took=12.5,rep=util:0.61;inflight:7;x0:0.4;x1:1.2": {
			Note: policy.NoteOriginFailed, SourceWait: 12.5, Load: policy.LoadReport{"util": 0.61, "inflight": 7, "hits": 0.4, "link": 1.2},
		},
		"why=rode,took=nan,rep=util:NaN;x0:-1;x1:+Inf": {Note: policy.NoteCoalesced},
		"took=-1,rep=x9:1;inflight":                    {},
		"took=1e300":                                   {},
	} {
		id, e, err := decodeAnswer([][]byte{[]byte("r1"), []byte("overload"), []byte(text)})
		require.NoError(t, err)
		require.Equal(t, "r1", id)
		want.Result = policy.Overloaded
		require.Equal(t, want, e, text)
	}
}

// Fields that do not apply are absent from the frame: source, rank, maximum age, options, tag and key.
func TestFrameOmitsAbsentFields(t *testing.T) {
	a := core.Attempt{ID: "00000000000000a1", Class: "tiles", Object: "7f3a9c21e0b4d655", Part: 3, Server: 20, Source: 20, Deadline: 2499.8}
	frame := func(a core.Attempt) []byte { return appendFrame(nil, &a, 1000) }
	require.Equal(t, "*4\r\n$5\r\nfetch\r\n$16\r\n00000000000000a1\r\n$49\r\nlane=tiles,name=7f3a9c21e0b4d655,piece=3,ttl=1499\r\n$0\r\n\r\n", string(frame(a)))
	a.Source, a.RetainRank, a.MaxAge, a.CachedTag, a.IdempotencyKey = 11, 2, 20.9, "v1", "k1"
	a.Options = policy.Coalesce | policy.ParentPassThrough
	require.Contains(t, string(frame(a)),
		"lane=tiles,name=7f3a9c21e0b4d655,piece=3,ttl=1499,fetch=s-0000000b,retain=2,newer=20,handle=coalesce+transit,holds=v1,dedupe=k1\r\n")
}
