// Package logs is the program's log. It writes structured lines with rs/zerolog, as text on a terminal and as JSON elsewhere. It
// owns the format of a line and the rate at which lines are written: every line has a kind, and each kind has its own rate limit,
// so that a burst of one kind neither hides other kinds nor uses up the processor. The program never logs a line for a single
// request.
//
// The format and the rate limit are tested here.
package logs

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"ravenwheel/internal/clock"
)

// The rate limit of each kind.
const (
	linesPerSecond = 2
	burstLines     = 50
)

// The level and the format of Options that leave them empty.
const (
	defaultLevel  = "info"
	defaultFormat = "auto"
)

// levels are the names that Options.Level and SetLevel accept. Zerolog has further levels, which the program does not use.
var levels = []string{"debug", "info", "warn", "error"}

// Options configure a log. The zero value logs from level info on, in the format that suits the output.
type Options struct {
	Level  string // debug, info (or empty), warn, error
	Format string // auto (or empty), text, json
}

// Log writes lines. A nil Log drops them.
type Log struct {
	logger zerolog.Logger
	clock  *clock.Clock
	level  atomic.Int32 // a zerolog.Level

	mu     sync.Mutex
	limits map[string]*kindLimit
}

// kindLimit is the rate limit of one kind.
type kindLimit struct {
	limiter *rate.Limiter
	dropped int // lines dropped since the last one that was written
}

// New returns a log that writes to w. It fails if the options have an unknown level or format.
func New(w io.Writer, o Options, c *clock.Clock) (*Log, error) {
	level, ok := parseLevel(o.Level)
	if !ok {
		return nil, fmt.Errorf("log level %q is not one of debug, info, warn, error", o.Level)
	}
	w, err := formatWriter(w, o.Format)
	if err != nil {
		return nil, err
	}
	l := &Log{logger: zerolog.New(w), clock: c, limits: map[string]*kindLimit{}}
	l.level.Store(int32(level))
	return l, nil
}

func parseLevel(name string) (level zerolog.Level, ok bool) {
	if name == "" {
		name = defaultLevel
	}
	if !slices.Contains(levels, name) {
		return 0, false
	}
	level, err := zerolog.ParseLevel(name)
	return level, err == nil
}

// formatWriter returns a writer that takes JSON lines and writes them to w in a format.
func formatWriter(w io.Writer, format string) (io.Writer, error) {
	switch format {
	case "", defaultFormat:
		if f, ok := w.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
			return textWriter(w), nil
		}
		return w, nil
	case "text":
		return textWriter(w), nil
	case "json":
		return w, nil
	}
	return nil, fmt.Errorf("log format %q is not one of auto, text, json", format)
}

func textWriter(w io.Writer) io.Writer {
	return zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly, NoColor: true}
}

// SetLevel changes the lowest level that is logged. The name of an unknown level has no effect.
func (l *Log) SetLevel(name string) {
	if level, ok := parseLevel(name); l != nil && ok {
		l.level.Store(int32(level))
	}
}

// Debug begins a line of a kind. It returns nil if the log level or the rate limit of the kind drops the line; fields and a message
// may be set on nil, too. The next line of the kind that is written has the number of lines that the rate limit dropped before it.
func (l *Log) Debug(kind string) *zerolog.Event { return l.begin(zerolog.DebugLevel, kind) }

// Info begins a line as Debug does.
func (l *Log) Info(kind string) *zerolog.Event { return l.begin(zerolog.InfoLevel, kind) }

// Warn begins a line as Debug does.
func (l *Log) Warn(kind string) *zerolog.Event { return l.begin(zerolog.WarnLevel, kind) }

// Error begins a line as Debug does.
func (l *Log) Error(kind string) *zerolog.Event { return l.begin(zerolog.ErrorLevel, kind) }

func (l *Log) begin(level zerolog.Level, kind string) *zerolog.Event {
	if l == nil || int32(level) < l.level.Load() {
		return nil
	}
	const microsecondsPerMs = 1e3
	now := time.UnixMicro(int64(l.clock.Wall() * microsecondsPerMs))
	allowed, dropped := l.allow(kind, now)
	if !allowed {
		return nil
	}
	event := l.logger.WithLevel(level).Time(zerolog.TimestampFieldName, now).Str("kind", kind)
	if dropped > 0 {
		event = event.Int("dropped_before", dropped)
	}
	return event
}

// allow reports whether the rate limit of a kind allows a line at the time now, and how many lines it dropped since the last line
// that it allowed.
func (l *Log) allow(kind string, now time.Time) (allowed bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[kind]
	if limit == nil {
		limit = &kindLimit{limiter: rate.NewLimiter(linesPerSecond, burstLines)}
		l.limits[kind] = limit
	}
	if !limit.limiter.AllowN(now, 1) {
		limit.dropped++
		return false, 0
	}
	dropped = limit.dropped
	limit.dropped = 0
	return true, dropped
}

// Writer returns a writer that logs each write as a line of level warn. It is for libraries that log to an io.Writer.
func (l *Log) Writer(kind string) io.Writer { return lineWriter{l, kind} }

type lineWriter struct {
	log  *Log
	kind string
}

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	if line := strings.TrimSpace(string(p)); line != "" {
		w.log.Warn(w.kind).Msg(line)
	}
	return len(p), nil
}
