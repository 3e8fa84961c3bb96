package logs_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/golden"
	"ravenwheel/internal/logs"
)

// A line of each level, a line of a library, and the first line after dropped ones have the form in the golden files, as JSON and
// as text.
func TestGoldenLines(t *testing.T) {
	local := time.Local
	time.Local = time.UTC
	t.Cleanup(func() { time.Local = local })
	for _, format := range []string{"json", "text"} {
		var out bytes.Buffer
		clk := clock.Manual(1_764_576_000_123)
		log, err := logs.New(&out, logs.Options{Level: "debug", Format: format}, clk)
		require.NoError(t, err)
		log.Debug("state").Int("boots", 3).Msg("a line of level debug")
		log.Info("state").Uint64("revision", 7).Str("by", "operator").Float64("took_ms", 1.5).Msg("a line of level info")
		log.Warn("list").Strs("names", []string{"a", "b"}).Bool("on", true).Msg("a line of level warn")
		log.Error("list").Err(errors.New("connection refused")).Msg("a line of level error")
		_, _ = log.Writer("signed").Write([]byte("a line of a library\n"))
		for range 60 { // more than the 50 lines of a kind that may be written in a burst
			log.Info("storm").Msg("one of many")
		}
		out.Truncate(bytes.Index(out.Bytes(), []byte("one of many")))
		out.WriteByte('\n')
		clk.Advance(1000)
		log.Info("storm").Msg("the first one after a storm")
		golden.Equal(t, "lines-"+format+".txt", out.Bytes())
	}
}
