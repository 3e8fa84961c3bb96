package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/journal"
	"ravenwheel/internal/state"
	"ravenwheel/policy"
)

func stateCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "state", Short: "Show, verify and compact the state that survives a restart", Args: cobra.NoArgs}
	var asJSON bool
	show := &cobra.Command{
		Use: "show DIR", Short: "Show the contents of a state directory", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return showState(cmd.OutOrStdout(), args[0], asJSON) },
	}
	show.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	verify := &cobra.Command{
		Use: "verify DIR", Short: "Read a whole state directory or a copy of one; for damage, print its offset and exit with 1", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return verifyState(cmd.OutOrStdout(), args[0]) },
	}
	compact := &cobra.Command{
		Use: "compact DIR", Short: "Replace the records by a snapshot; no process may be using the directory", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return compactState(args[0]) },
	}
	cmd.AddCommand(show, verify, compact)
	return cmd
}

// stateJSON is the JSON form of a state directory.
type stateJSON struct {
	Journal  journal.Stats     `json:"Journal"`
	Boots    int               `json:"Boots"`
	Revision uint64            `json:"Revision"`
	Purges   []recovery.Purge  `json:"Purges"`
	Members  []recovery.Member `json:"Members"`
	Lists    []recovery.List   `json:"Lists"`
}

func showState(out io.Writer, dir string, asJSON bool) error {
	s, stats, err := state.Read(dir, nil)
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(out, stateJSON{stats, s.Boots, s.Revision, s.Purges(), s.Members(), s.Lists()})
	}
	fmt.Fprintf(out, "record %d, snapshot %d, %d starts, last written %s\n", stats.Next-1, stats.Snapshot, s.Boots, formatTime(s.LatestTime))
	for _, list := range s.Lists() {
		fmt.Fprintf(out, "list %s: generation %d, %d servers\n", list.Source, list.Generation, len(list.Servers))
	}
	table := newTable(out)
	for _, m := range s.Members() {
		fmt.Fprintf(table, "%s\t%s\t%s\tsince %s\n", serverlist.FormatID(policy.ServerID(m.ID)), m.Addr, m.Phase, formatTime(m.Since))
	}
	for _, p := range s.Purges() {
		target := "object " + p.Object
		if p.Object == "" {
			target = fmt.Sprint("group ", p.Group)
		}
		fmt.Fprintf(table, "purge\t%s\tmade %s\ttold %s\n", target, formatTime(p.IssuedAt), formatTime(p.NotifiedAt))
	}
	return table.Flush()
}

func verifyState(out io.Writer, dir string) error {
	_, stats, err := state.Read(dir, nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: whole to record %d, snapshot %d, %d segments, %d bytes torn off at the end\n",
		dir, stats.Next-1, stats.Snapshot, len(stats.Segments), stats.TornBytes)
	return nil
}

// compactState replaces the records of a directory by a snapshot.
func compactState(dir string) error {
	const never = 1e15 // ms; only the proxy decides what is too old, so nothing is dropped here
	recorder, _, err := state.Open(state.Options{Dir: dir, Clock: clock.System(), Settings: recovery.Settings{
		PurgePropagation: never, PurgeGrace: never, GoneRetention: never,
	}})
	if err != nil {
		return err
	}
	// The second snapshot makes the first one the older of the two, which frees the records that the first one covers.
	recorder.Compact()
	recorder.Compact()
	return recorder.Close()
}
