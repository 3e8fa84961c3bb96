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

var update = flag.Bool("update", false, "write the actions of the table into testdata")

// TestTranscripts plays testdata/*.txt. A block is a command, a line of dashes, and the actions that the table returns; a
// blank line ends it, and "new" starts with an empty table. The commands are
//
//	MS SOURCE GENERATION SERVER...   a snapshot of source file, or a delta of source discovery
//	MS SOURCE heartbeat
//	MS manual-drain on|off|ended ID  ended: half a second ago, before a restart
//	MS tick
//
// with SERVER as ID@ADDR[:state][*weight][+startedMs][!], where ! is warm.
func TestTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, path := range files {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		var got strings.Builder
		var table *membership.Table
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
				table, err = membership.New(membership.Settings{
					Sources:      []membership.Source{{Name: "file", SilentAfter: 30_000}, {Name: "discovery", Immediate: true}},
					DrainTimeout: 10_000, GoneRetention: 60_000, WeightStep: 2, WeightInterval: 1000,
				})
				require.NoError(t, err)
				continue
			}
			got.WriteString("----\n")
			for _, a := range play(t, table, strings.Fields(command)) {
				fmt.Fprintln(&got, a)
			}
		}
		if *update {
			require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o600))
		}
		require.Equal(t, string(raw), got.String(), path)
	}
}

func play(t *testing.T, table *membership.Table, words []string) (lines []string) {
	now, err := strconv.ParseFloat(words[0], 64)
	require.NoError(t, err)
	var e membership.Event = membership.Tick{}
	if words[1] == "manual-drain" {
		id, err := strconv.Atoi(words[3])
		require.NoError(t, err)
		if e = (membership.ManualDrain{ID: policy.CacheID(id), On: words[2] == "on"}); words[2] == "ended" {
			e = membership.ManualDrainEnded{ID: policy.CacheID(id), At: now - 500}
		}
	} else if words[1] != "tick" {
		at := map[string]int{"file": 0, "discovery": 1}[words[1]]
		if words[2] == "heartbeat" {
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
	for _, a := range table.Handle(now, e, nil) {
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
			lines = append(lines, fmt.Sprintf("rejected: %s", a.Err))
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
