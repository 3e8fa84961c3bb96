package membership_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/policy"
)

var update = flag.Bool("update", false, "write what the ledger does into testdata")

// TestText plays testdata/*.txt. A block is a command, a line of dashes, and what the ledger does; a blank line ends
// it, and "new" starts over. Commands are "MS SOURCE GENERATION SERVER..." with SERVER as ID@ADDR[:state][*weight]
// [+startedMs][!] (! is warm), "MS SOURCE heard" "MS hand out|in|was ID" (was: given back, before a restart) and "MS tick". The board's lists are changes.
func TestText(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, path := range files {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		var got strings.Builder
		var l *membership.Table
		for i, block := range strings.Split(strings.TrimSpace(string(raw)), "\n\n") {
			comment := ""
			for strings.HasPrefix(block, "#") {
				line, rest, _ := strings.Cut(block, "\n")
				comment, block = comment+line+"\n", rest
			}
			command, _, _ := strings.Cut(block, "\n")
			if i > 0 {
				got.WriteString("\n")
			}
			fmt.Fprintf(&got, "%s%s\n", comment, command)
			if command == "new" {
				l, err = membership.New(membership.Settings{
					Sources:      []membership.Source{{Name: "file", SilentAfter: 30_000}, {Name: "board", Immediate: true}},
					DrainTimeout: 10_000, GoneRetention: 60_000, WeightStep: 2, WeightInterval: 1000,
				})
				require.NoError(t, err)
				continue
			}
			got.WriteString("----\n")
			for _, a := range play(t, l, strings.Fields(command)) {
				fmt.Fprintln(&got, a)
			}
		}
		if *update {
			require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o600))
		}
		require.Equal(t, string(raw), got.String(), path)
	}
}

func play(t *testing.T, l *membership.Table, words []string) (lines []string) {
	now, err := strconv.ParseFloat(words[0], 64)
	require.NoError(t, err)
	var e membership.Event = membership.Tick{}
	if words[1] == "hand" {
		id, err := strconv.Atoi(words[3])
		require.NoError(t, err)
		if e = (membership.ManualDrain{ID: policy.CacheID(id), On: words[2] == "out"}); words[2] == "was" {
			e = membership.ManualDrainEnded{ID: policy.CacheID(id), At: now - 500}
		}
	} else if words[1] != "tick" {
		at := map[string]int{"file": 0, "board": 1}[words[1]]
		if words[2] == "heard" {
			e = membership.Heartbeat{Source: at}
		} else {
			gen, err := strconv.ParseUint(words[2], 10, 64)
			require.NoError(t, err)
			var entries []membership.Entry
			for _, w := range words[3:] {
				entries = append(entries, server(t, w))
			}
			if e = (membership.Snapshot{Source: at, Generation: gen, Entries: entries}); at == 1 {
				e = membership.Delta{Source: at, Generation: gen, Entries: entries}
			}
		}
	}
	for _, a := range l.Handle(now, e, nil) {
		switch a := a.(type) {
		case membership.Publish:
			line := fmt.Sprintf("publish %d", a.Version)
			for _, m := range a.Members {
				line += fmt.Sprintf(" %d@%s:%s*%v", m.ID, m.Addr, []string{"ready", "draining", "gone"}[m.State], m.Weight)
				if m.Started > 0 {
					line += fmt.Sprintf("+%v", float64(m.Started)/1e6)
				}
			}
			lines = append(lines, line)
		case membership.Wake:
			lines = append(lines, fmt.Sprintf("wake %v", a.At))
		case membership.Transition:
			lines = append(lines, fmt.Sprintf("%d %v -> %v: %s", a.Member.ID, a.From, a.To, a.Reason))
		case membership.Rejected:
			lines = append(lines, fmt.Sprintf("rejected: %s", a.Reason))
		case membership.SilenceChanged:
			lines = append(lines, fmt.Sprintf("source %d silent: %v", a.Source, a.Silent))
		}
	}
	return lines
}

func server(t *testing.T, w string) (e membership.Entry) {
	w, e.Warm = strings.CutSuffix(w, "!")
	w, started, _ := strings.Cut(w, "+")
	w, weight, _ := strings.Cut(w, "*")
	w, state, _ := strings.Cut(w, ":")
	id, addr, ok := strings.Cut(w, "@")
	require.True(t, ok, w)
	n, err := strconv.Atoi(id)
	require.NoError(t, err)
	e.ID, e.Addr, e.Weight = policy.CacheID(n), addr, 4
	e.State = map[string]policy.State{"": policy.Ready, "draining": policy.Draining, "gone": policy.Gone}[state]
	if weight != "" {
		e.Weight, err = strconv.ParseFloat(weight, 64)
		require.NoError(t, err)
	}
	if started != "" {
		ms, err := strconv.Atoi(started)
		require.NoError(t, err)
		e.Started = policy.Time(ms) * 1e6
	}
	return e
}
