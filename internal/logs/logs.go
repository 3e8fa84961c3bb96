// Package logs is the program's one log: structured lines on rs/zerolog, as text on a terminal and as JSON else. Every
// line has a kind, and each kind has a rate of its own, so that a storm of one never drowns the others nor costs the
// proxy its core. No line is written per request.
package logs

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"ravenwheel/internal/clock"
)

// The rate of one kind: lines a second when it goes on, and as many at once.
const (
	perSecond = 2
	burst     = 50
)

// Log is where lines go. A nil Log takes lines and drops them.
type Log struct {
	z     zerolog.Logger
	clock *clock.Clock
	level atomic.Int32

	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	limit   *rate.Limiter
	dropped int
}

// Options set up a log. The zero value is what a program without settings wants.
type Options struct {
	Level  string // debug, info (or empty), warn, error
	Format string // auto (or empty), text, json
}

// New returns a log on w.
func New(w io.Writer, o Options, c *clock.Clock) (*Log, error) {
	level := zerolog.InfoLevel
	if o.Level != "" {
		var err error
		if level, err = zerolog.ParseLevel(o.Level); err != nil || level < zerolog.DebugLevel || level > zerolog.ErrorLevel {
			return nil, fmt.Errorf("log level %q is none of debug, info, warn, error", o.Level)
		}
	}
	switch o.Format {
	case "", "auto":
		if f, ok := w.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
			w = text(w)
		}
	case "text":
		w = text(w)
	case "json":
	default:
		return nil, fmt.Errorf("log format %q is none of auto, text, json", o.Format)
	}
	l := &Log{z: zerolog.New(w), clock: c, kinds: map[string]*kind{}}
	l.level.Store(int32(level))
	return l, nil
}

// SetLevel changes how loud the log is, to one of the levels that New takes.
func (l *Log) SetLevel(level string) {
	if x, err := zerolog.ParseLevel(level); l != nil && err == nil {
		l.level.Store(int32(x))
	}
}

func text(w io.Writer) io.Writer {
	return zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly, NoColor: true}
}

// Debug, Info, Warn and Error begin a line of a kind. It is nil, which takes all and writes nothing, if the level or
// the kind's rate does not let it through; the next that passes tells how many did not.
func (l *Log) Debug(kind string) *zerolog.Event { return l.begin(zerolog.DebugLevel, kind) }

// Info begins a line.
func (l *Log) Info(kind string) *zerolog.Event { return l.begin(zerolog.InfoLevel, kind) }

// Warn begins a line.
func (l *Log) Warn(kind string) *zerolog.Event { return l.begin(zerolog.WarnLevel, kind) }

// Error begins a line.
func (l *Log) Error(kind string) *zerolog.Event { return l.begin(zerolog.ErrorLevel, kind) }

func (l *Log) begin(level zerolog.Level, name string) *zerolog.Event {
	if l == nil || int32(level) < l.level.Load() {
		return nil
	}
	now := time.UnixMicro(int64(l.clock.Wall() * 1e3))
	l.mu.Lock()
	k := l.kinds[name]
	if k == nil {
		k = &kind{limit: rate.NewLimiter(perSecond, burst)}
		l.kinds[name] = k
	}
	ok, dropped := k.limit.AllowN(now, 1), k.dropped
	if k.dropped = 0; !ok {
		k.dropped = dropped + 1
	}
	l.mu.Unlock()
	if !ok {
		return nil
	}
	e := l.z.WithLevel(level).Time(zerolog.TimestampFieldName, now).Str("kind", name)
	if dropped > 0 {
		e = e.Int("dropped_before", dropped)
	}
	return e
}

// Lines is a writer that logs each line it is given, for libraries that write to one.
func (l *Log) Lines(kind string) io.Writer { return lines{l, kind} }

type lines struct {
	l    *Log
	kind string
}

// Write implements io.Writer.
func (w lines) Write(p []byte) (int, error) {
	if s := strings.TrimSpace(string(p)); s != "" {
		w.l.Warn(w.kind).Msg(s)
	}
	return len(p), nil
}
