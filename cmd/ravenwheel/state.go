package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/journal"
	"ravenwheel/internal/state"
	"ravenwheel/policy"
)

func stateCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "state", Short: "Look at the state that is kept over a restart", Args: cobra.NoArgs}
	var asJSON bool
	show := &cobra.Command{
		Use: "show DIR", Short: "Show what is kept in a directory", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return showState(cmd, args[0], asJSON) },
	}
	show.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	cmd.AddCommand(show,
		&cobra.Command{
			Use: "verify DIR", Short: "Read all of a directory, also of a copy: exit 1 and the offset for damage", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				_, st, err := state.Read(args[0], nil)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: whole to record %d, snapshot %d, %d segments, %d bytes torn off at the end\n",
					args[0], st.Next-1, st.Snapshot, len(st.Segments), st.TornBytes)
				return nil
			},
		},
		&cobra.Command{
			Use: "compact DIR", Short: "Put a snapshot in place of the records; no process may be using the directory", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				k, _, err := state.Open(state.Options{Dir: args[0], Clock: clock.System(), Settings: recovery.Settings{
					// What binds is for the proxy to say: nothing is dropped for its age here.
					PurgePropagation: 1e15, PurgeGrace: 1e15, GoneRetention: 1e15,
				}})
				if err != nil {
					return err
				}
				// The second makes the first the older one, and frees what that covers.
				k.Compact()
				k.Compact()
				return k.Close()
			},
		})
	return cmd
}

func showState(cmd *cobra.Command, dir string, asJSON bool) error {
	s, st, err := state.Read(dir, nil)
	if err != nil {
		return err
	}
	w := cmd.OutOrStdout()
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(struct {
			Journal  journal.Stats     `json:"Journal"`
			Boots    int               `json:"Boots"`
			Revision uint64            `json:"Revision"`
			Purges   []recovery.Purge  `json:"Purges"`
			Members  []recovery.Member `json:"Members"`
			Lists    []recovery.List   `json:"Lists"`
		}{st, s.Boots, s.Revision, s.Purges(), s.Members(), s.Lists()})
	}
	at := func(ms float64) string { return time.UnixMilli(int64(ms)).UTC().Format(time.DateTime) }
	fmt.Fprintf(w, "record %d, snapshot %d, %d starts, last written %s\n", st.Next-1, st.Snapshot, s.Boots, at(s.LatestTime))
	for _, l := range s.Lists() {
		fmt.Fprintf(w, "list %s: generation %d, %d servers\n", l.Source, l.Generation, len(l.Servers))
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, m := range s.Members() {
		fmt.Fprintf(t, "%s\t%s\t%s\tsince %s\n", serverlist.FormatID(policy.CacheID(m.ID)), m.Addr, m.Phase, at(m.Since))
	}
	for _, p := range s.Purges() {
		what := "object " + p.Object
		if p.Object == "" {
			what = fmt.Sprint("group ", p.Group)
		}
		fmt.Fprintf(t, "purge\t%s\tmade %s\ttold %s\n", what, at(p.IssuedAt), at(p.NotifiedAt))
	}
	return t.Flush()
}
