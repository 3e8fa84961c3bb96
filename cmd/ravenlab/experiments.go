package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"ravenwheel/internal/lab/crosscheck"
	"ravenwheel/internal/lab/experiment"
	"ravenwheel/internal/lab/report"
	"ravenwheel/internal/lab/sim"
)

func readExperiment(path string) (*experiment.Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e, bad := experiment.Parse(path, text)
	if bad != nil {
		return nil, bad
	}
	if e.Name == "" {
		e.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	return e, nil
}

// pick finds one scenario of an experiment.
func pick(e *experiment.Experiment, variant string) (experiment.Variant, error) {
	for _, v := range e.Variants {
		if variant == "" || v.Name == variant {
			return v, nil
		}
	}
	return experiment.Variant{}, fmt.Errorf("no variant %q", variant)
}

func table(cmd *cobra.Command, runs []experiment.Run) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "variant\tseeds\tworth\tworst 10 s\trecovery s\ttries\tattempts\thits\torigin\tbroken\t")
	broken := 0
	for _, r := range report.Rows(runs) {
		broken += r.Broken
		fmt.Fprintf(w, "%s\t%d\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%d\t\n", r.Name, r.Seeds, r.Worth, r.Worst, r.Recovery, r.Tries, r.Attempts, r.Hits, r.Origin, r.Broken)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if broken > 0 {
		for _, r := range runs {
			for _, text := range r.Result.Rules {
				fmt.Fprintln(cmd.OutOrStdout(), text)
			}
		}
		return fmt.Errorf("%d rules broken", broken)
	}
	return nil
}

func runCommand() *cobra.Command {
	var seed uint64
	var variant, out string
	cmd := &cobra.Command{
		Use: "run FILE", Short: "Play one scenario of an experiment with one seed", Args: cobra.ExactArgs(1), Aliases: []string{"replay"},
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := readExperiment(args[0])
			if err != nil {
				return err
			}
			v, err := pick(e, variant)
			if err != nil {
				return err
			}
			r, err := sim.Run(cmd.Context(), v.Spec, seed)
			if r == nil {
				return err
			}
			if out != "" {
				raw, _ := json.MarshalIndent(r, "", " ")
				if err := os.WriteFile(out, append(raw, '\n'), 0o644); err != nil {
					return err
				}
			}
			return errors.Join(err, table(cmd, []experiment.Run{{Variant: v.Name, Seed: seed, Result: r}}))
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of all that is drawn")
	cmd.Flags().StringVar(&variant, "variant", "", "which (default: the first)")
	cmd.Flags().StringVar(&out, "json", "", "write all of the result to this file")
	return cmd
}

func sweepCommand() *cobra.Command {
	var out, page string
	var workers int
	cmd := &cobra.Command{
		Use: "sweep FILE", Short: "Play all scenarios of an experiment with all their seeds; what --json holds already is not played again",
		Args: cobra.ExactArgs(1), Aliases: []string{"compare"},
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := readExperiment(args[0])
			if err != nil {
				return err
			}
			var done []experiment.Run
			if out != "" {
				if done, err = experiment.Load(out); err != nil {
					return err
				}
			}
			runs := done
			err = e.Do(cmd.Context(), done, workers, func(r experiment.Run, n, of int) {
				runs = append(runs, r)
				if out != "" {
					if err := experiment.Append(out, r); err != nil {
						fmt.Fprintln(os.Stderr, "ravenlab:", err)
					}
				}
				if isatty.IsTerminal(os.Stderr.Fd()) {
					fmt.Fprintf(os.Stderr, "\r%d of %d", n, of)
				}
			})
			if errors.Is(err, context.Canceled) {
				fmt.Fprintf(os.Stderr, "stopped: %d runs are done\n", len(runs))
				err = nil
			}
			if err != nil || len(runs) == 0 {
				return err
			}
			sorted := ordered(e, runs)
			if page != "" {
				if err := writeReport(page, e.Name, sorted); err != nil {
					return err
				}
			}
			return table(cmd, sorted)
		},
	}
	cmd.Flags().StringVar(&out, "json", "", "append each run to this file, and go on from what it holds")
	cmd.Flags().StringVar(&page, "html", "", "write a report to this file")
	cmd.Flags().IntVar(&workers, "workers", 0, "runs at once (default: one a core)")
	return cmd
}

// ordered puts runs in the experiment's order, whatever order they ended in.
func ordered(e *experiment.Experiment, runs []experiment.Run) (out []experiment.Run) {
	for _, v := range e.Variants {
		for seed := range uint64(e.Seeds) {
			for _, r := range runs {
				if r.Variant == v.Name && r.Seed == seed+1 {
					out = append(out, r)
					break
				}
			}
		}
	}
	return out
}

func writeReport(path, title string, runs []experiment.Run) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.Write(f, title, runs), f.Close())
}

func reportCommand() *cobra.Command {
	return &cobra.Command{
		Use: "report RUNS.jsonl OUT.html", Short: "Write a page from runs that were kept", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			runs, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			return writeReport(args[1], filepath.Base(args[0]), runs)
		},
	}
}

func shrinkCommand() *cobra.Command {
	var seed uint64
	var variant string
	cmd := &cobra.Command{
		Use: "shrink FILE", Short: "Make a scenario in which a rule breaks as small as it still does", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := readExperiment(args[0])
			if err != nil {
				return err
			}
			v, err := pick(e, variant)
			if err != nil {
				return err
			}
			tried := 0
			small, err := experiment.Shrink(cmd.Context(), v.Spec, seed, func(sim.Spec, bool) { tried++ })
			if err != nil {
				return err
			}
			raw, _ := json.MarshalIndent(small, "", "  ")
			fmt.Fprintf(cmd.OutOrStdout(), "// seed %d, %d scenarios tried\n%s\n", seed, tried, raw)
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of all that is drawn")
	cmd.Flags().StringVar(&variant, "variant", "", "which (default: the first)")
	return cmd
}

func validateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "validate", Short: "Hold the lab's model against the real proxy on sockets: under a minute, on loopback", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			relations, err := crosscheck.Run(cmd.Context(), func(text string) { fmt.Fprintln(os.Stderr, text) })
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "relation\tsockets\tlab\tdifference")
			for _, r := range relations {
				fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%+.3f\n", r.Name, r.Sockets, r.Lab, r.Off())
			}
			return errors.Join(err, w.Flush())
		},
	}
}
