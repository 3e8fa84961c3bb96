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

var update = flag.Bool("update", false, "write the actions of the table to testdata")

// TestTranscripts runs the commands in testdata/*.txt and compares the table's actions with the recorded ones. A block is a
// command, a line of dashes, and the actions that the table returns; a blank line ends it. The command "new" creates an
// empty table. The other commands are
//
//	MS SOURCE GENERATION SERVER...   a snapshot of source file, or a delta of source discovery
//	MS SOURCE heartbeat
//	MS manual-drain on|off|ended ID  ended: 500 ms ago, before a restart
//	MS tick
//
// with SERVER as ID@ADDR[:state][*weight][+startedMs][!], where ! means that the server is warm.
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
			for _, a := range handleCommand(t, table, strings.Fields(command)) {
				fmt.Fprintln(&got, a)
			}
		}
		if *update {
			require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o600))
		}
		require.Equal(t, string(raw), got.String(), path)
	}
}

// handleCommand passes the event of a command to the table, and returns the resulting actions as lines.
func handleCommand(t *testing.T, table *membership.Table, words []string) (lines []string) {
	now, err := strconv.ParseFloat(words[0], 64)
	require.NoError(t, err)
	for _, a := range table.Handle(now, parseEvent(t, now, words[1:]), nil) {
		lines = append(lines, format(a))
	}
	return lines
}

// parseEvent returns the event of a command, given as its words after the time.
func parseEvent(t *testing.T, now float64, words []string) membership.Event {
	switch {
	case words[0] == "tick":
		return membership.Tick{}
	case words[0] == "manual-drain":
		id, err := strconv.Atoi(words[2])
		require.NoError(t, err)
		if words[1] == "ended" {
			return membership.ManualDrainEnded{ID: policy.ServerID(id), At: now - 500}
		}
		return membership.ManualDrain{ID: policy.ServerID(id), On: words[1] == "on"}
	case words[1] == "heartbeat":
		return membership.Heartbeat{Source: sourceIndex[words[0]]}
	}
	generation, err := strconv.ParseUint(words[1], 10, 64)
	require.NoError(t, err)
	var entries []membership.Entry
	for _, w := range words[2:] {
		entries = append(entries, parseServer(t, w))
	}
	source := sourceIndex[words[0]]
	if words[0] == "discovery" {
		return membership.Delta{Source: source, Generation: generation, Entries: entries}
	}
	return membership.Snapshot{Source: source, Generation: generation, Entries: entries}
}

// sourceIndex has the index of each source in Settings.Sources.
var sourceIndex = map[string]int{"file": 0, "discovery": 1}

// format returns an action as a line of a transcript.
func format(a membership.Action) string {
	switch a := a.(type) {
	case membership.Publish:
		line := fmt.Sprintf("publish %d", a.Version)
		for _, m := range a.Members {
			line += fmt.Sprintf(" %d@%s:%s*%v", m.ID, m.Addr, []string{"ready", "draining", "gone"}[m.State], m.Weight)
			if m.Started > 0 {
				line += fmt.Sprintf("+%v", float64(m.Started)/1e6)
			}
		}
		return line
	case membership.Wake:
		return fmt.Sprintf("wake %v", a.At)
	case membership.Transition:
		return fmt.Sprintf("%d %v -> %v: %s", a.Member.ID, a.From, a.To, a.Reason)
	case membership.Rejected:
		return fmt.Sprintf("rejected: %s", a.Err)
	case membership.SilenceChanged:
		return fmt.Sprintf("source %d silent: %v", a.Source, a.Silent)
	}
	return fmt.Sprintf("unknown action %T", a)
}

// parseServer returns the entry of a command's SERVER.
func parseServer(t *testing.T, w string) (e membership.Entry) {
	w, e.Warm = strings.CutSuffix(w, "!")
	w, started, _ := strings.Cut(w, "+")
	w, weight, _ := strings.Cut(w, "*")
	w, state, _ := strings.Cut(w, ":")
	id, addr, ok := strings.Cut(w, "@")
	require.True(t, ok, w)
	n, err := strconv.Atoi(id)
	require.NoError(t, err)
	e.ID, e.Addr, e.Weight = policy.ServerID(n), addr, 4
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
