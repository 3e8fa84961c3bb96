package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"ravenwheel/internal/lab/multiprocess"
)

// fieldOptions are the flags of "ravenlab field" and "ravenlab field replay".
type fieldOptions struct {
	program string // path of the proxy's binary
	dir     string // directory for scenario, result and logs; empty: a temporary one
	page    string // path of the HTML page; empty: none
}

// fieldCommand returns the command that plays scenarios of internal/lab/multiprocess.
func fieldCommand() *cobra.Command {
	var o fieldOptions
	var seed uint64
	cmd := &cobra.Command{
		Use: "field FILE", Short: "Play a scenario with many real proxy processes and faults, on loopback", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := readFieldScenario(args[0])
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				s.Seed = seed
			}
			return playField(cmd, s, o)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 0, "seed in place of that in the file")
	cmd.PersistentFlags().StringVar(&o.program, "proxy", "bin/ravenwheel", "path of the proxy's binary")
	cmd.PersistentFlags().StringVar(&o.dir, "dir", "", "keep scenario, result and logs in this directory (default: a temporary one, kept only if there were violations)")
	cmd.PersistentFlags().StringVar(&o.page, "html", "", "write an HTML page of the result to this file")
	cmd.AddCommand(fieldReplayCommand(&o))
	return cmd
}

func fieldReplayCommand(o *fieldOptions) *cobra.Command {
	return &cobra.Command{
		Use: "replay DIR", Short: "Play the scenario in the directory of an earlier run again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := readFieldScenario(filepath.Join(args[0], multiprocess.ScenarioFile))
			if err != nil {
				return err
			}
			return playField(cmd, s, *o)
		},
	}
}

func readFieldScenario(path string) (multiprocess.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return multiprocess.Scenario{}, err
	}
	s, defects := multiprocess.ParseScenario(path, text)
	if s.Name == "" {
		s.Name = baseName(path)
	}
	return s, defects.Err()
}

// playField plays a scenario and prints its result. If there are violations, it keeps the directory and returns an error.
func playField(cmd *cobra.Command, s multiprocess.Scenario, o fieldOptions) (err error) {
	dir := o.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "ravenwheel-field-"); err != nil {
			return err
		}
	}
	out := cmd.OutOrStdout()
	result, err := multiprocess.Play(cmd.Context(), s, o.program, dir, func(line string) { fmt.Fprintln(out, line) })
	if result == nil {
		return err
	}
	if o.page != "" {
		err = errors.Join(err, createFile(o.page, func(w io.Writer) error { return multiprocess.WritePage(w, result) }))
	}
	printField(out, result)
	if count := len(result.Violations); count > 0 {
		return errors.Join(err, fmt.Errorf("%d violations of rules, seed %d; scenario, result and logs are in %s, play it again with 'ravenlab field replay %s'",
			count, s.Seed, dir, dir))
	}
	if o.dir == "" {
		err = errors.Join(err, os.RemoveAll(dir))
	}
	return err
}

func printField(out io.Writer, r *multiprocess.Result) {
	totals := r.Totals()
	fmt.Fprintf(out, "requested %d, served %d; p50 %.1f ms, p99 %.1f ms; highest load relative to the mean, over 5 s: median %.2f, 95th percentile %.2f\n",
		totals.Requested, totals.Served, r.P50, r.P99, r.Spread[1].Median, r.Spread[1].P95)
	for i, window := range []string{"1 s", "5 s"} {
		spread := r.SpreadBeforeFaults[i]
		fmt.Fprintf(out, "before the first fault, load relative to the mean, over %s: highest %.2f (median) and %.2f (95th percentile), lowest %.2f (median)\n",
			window, spread.Median, spread.P95, spread.Least)
	}
	for _, reaction := range r.Reactions {
		fmt.Fprintf(out, "%s at %s: abandoned after %.1f s, restored %.1f s after the end of the fault, surge %.1f\n", r.Timeline[reaction.Fault].Kind, reaction.Cache,
			reaction.TimeToAbandon, reaction.TimeToRestore, reaction.SurgeMultiplier)
	}
	for _, text := range append(r.NotPlayed, r.Violations...) {
		fmt.Fprintln(out, text)
	}
}
