package resp

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/golden"
)

// Frames are encoded to the same bytes as in earlier versions, and parsing them returns the original parts.
func TestGoldenFrames(t *testing.T) {
	cases := [][]string{{"abort", "00000000000000a1"}, {"fetch", "id", "lane=tiles,name=ab", "body\r\n\x00\xff"}, {""}, {"a", "", ""}}
	var frames []byte
	for _, parts := range cases {
		frames = AppendFrame(frames, parts...)
	}
	frames = AppendFrameWithBody(frames, nil, "fetch", "id", "-")
	golden.Equal(t, "frames.resp", frames)

	buffer, source := Buffer{MaxFrameSize: MaxRequestSize}, bytes.NewReader(golden.Read(t, "frames.resp"))
	var rawFrames []byte
	for _, want := range append(cases, []string{"fetch", "id", "-", ""}) {
		parts, raw, err := buffer.Next(source)
		require.NoError(t, err)
		require.Len(t, parts, len(want))
		for i, part := range parts {
			require.Equal(t, want[i], string(part))
		}
		rawFrames = append(rawFrames, raw...)
	}
	golden.Equal(t, "frames.resp", rawFrames)

	fields, ok := ParseFields([]byte("lane=tiles,name=ab=c,empty="))
	require.True(t, ok)
	require.Equal(t, map[string]string{"lane": "tiles", "name": "ab=c", "empty": ""}, fields)
}
