package logs_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/logs"
)

func TestRateLimitIsPerKind(t *testing.T) {
	var out bytes.Buffer
	clk := clock.Manual(1_764_576_000_000)
	l, err := logs.New(&out, logs.Options{}, clk)
	require.NoError(t, err)
	for range 1000 {
		l.Warn("peer").Str("id", "s-00000001").Msg("breaks off")
	}
	l.Error("list").Msg("refused")
	l.Debug("list").Msg("not at this level")
	clk.Advance(1000)
	l.Warn("peer").Msg("breaks off")
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	require.Len(t, lines, 52, "50 lines of the burst, one of the other kind, and one after the burst")
	var last struct {
		Level, Kind, Message, Time string
		Dropped                    int `json:"dropped_before"`
	}
	require.NoError(t, json.Unmarshal(lines[51], &last))
	require.Equal(t, 950, last.Dropped)
	require.Equal(t, "warn peer breaks off", last.Level+" "+last.Kind+" "+last.Message)
}

func TestLevelsAndFormats(t *testing.T) {
	var out bytes.Buffer
	clk := clock.Manual(0)
	l, err := logs.New(&out, logs.Options{Format: "text", Level: "error"}, clk)
	require.NoError(t, err)
	l.Warn("x").Msg("no")
	_, _ = l.Writer("http").Write([]byte("no\n"))
	l.Error("x").Msg("yes")
	require.Contains(t, out.String(), "yes kind=x")
	require.NotContains(t, out.String(), "no")
	var nilLog *logs.Log
	nilLog.Info("x").Msg("dropped by a nil log")
	for _, o := range []logs.Options{{Level: "loud"}, {Format: "xml"}, {Level: "fatal"}} {
		_, err := logs.New(&out, o, clk)
		require.Error(t, err)
	}
}
