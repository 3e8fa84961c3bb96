package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"ravenwheel/internal/lab/crosscheck"
	"ravenwheel/internal/lab/experiment"
	"ravenwheel/internal/lab/report"
	"ravenwheel/internal/lab/sim"
)

// readExperiment reads an experiment. An experiment without a name gets that of its file.
func readExperiment(path string) (*experiment.Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e, defects := experiment.Parse(path, text)
	if defects != nil {
		return nil, defects
	}
	if e.Name == "" {
		e.Name = baseName(path)
	}
	return e, nil
}

// variantFlags are the flags that select one variant and one seed of an experiment.
type variantFlags struct {
	variant string // empty: the first
	seed    uint64
}

func (f *variantFlags) register(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the random numbers")
	cmd.Flags().StringVar(&f.variant, "variant", "", "name of the variant (default: the first variant)")
}

// read returns the variant that the flags select from the experiment at a path.
func (f *variantFlags) read(path string) (experiment.Variant, error) {
	e, err := readExperiment(path)
	if err != nil {
		return experiment.Variant{}, err
	}
	for _, v := range e.Variants {
		if f.variant == "" || v.Name == f.variant {
			return v, nil
		}
	}
	return experiment.Variant{}, fmt.Errorf("the experiment has no variant %q", f.variant)
}

// printRuns prints a row for each variant. If there are violations, it prints them and returns an error.
func printRuns(out io.Writer, runs []experiment.Run) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "variant\tseeds\tserved value\tworst 10 s\trecovery s\tclient attempts\tupstream attempts\thits\torigin fills\tviolations\t")
	violations := 0
	for _, r := range report.Rows(runs) {
		violations += r.Violations
		fmt.Fprintf(w, "%s\t%d\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%d\t\n",
			r.Name, r.Seeds, r.ServedValue, r.WorstServedValue, r.RecoverySeconds, r.ClientAttempts, r.UpstreamAttempts, r.HitRatio,
			r.OriginFills, r.Violations)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if violations == 0 {
		return nil
	}
	for _, run := range runs {
		for _, violation := range run.Result.ViolationTexts {
			fmt.Fprintln(out, violation)
		}
	}
	return fmt.Errorf("%d violations of rules", violations)
}

// runCommand returns the command that plays one variant of an experiment with one seed.
func runCommand() *cobra.Command {
	var flags variantFlags
	var jsonPath string
	cmd := &cobra.Command{
		Use: "run FILE", Short: "Play one variant of an experiment with one seed", Args: cobra.ExactArgs(1), Aliases: []string{"replay"},
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := flags.read(args[0])
			if err != nil {
				return err
			}
			result, err := sim.Run(cmd.Context(), v.Scenario, flags.seed)
			if result == nil {
				return err
			}
			if jsonPath != "" {
				if err := writeIndentedJSON(jsonPath, result); err != nil {
					return err
				}
			}
			return errors.Join(err, printRuns(cmd.OutOrStdout(), []experiment.Run{{Variant: v.Name, Seed: flags.seed, Result: result}}))
		},
	}
	flags.register(cmd)
	cmd.Flags().StringVar(&jsonPath, "json", "", "write the whole result to this file, as JSON")
	return cmd
}

// sweepOptions are the flags of "ravenlab sweep".
type sweepOptions struct {
	runsPath string // JSON lines; empty: runs are not stored
	pagePath string // empty: no page
	workers  int    // concurrent runs; 0: one for each core
}

// sweepCommand returns the command that plays all variants of an experiment.
func sweepCommand() *cobra.Command {
	var o sweepOptions
	cmd := &cobra.Command{
		Use: "sweep FILE", Short: "Play all variants of an experiment with all its seeds, except the runs that the file of --json holds",
		Args: cobra.ExactArgs(1), Aliases: []string{"compare"},
		RunE: func(cmd *cobra.Command, args []string) error { return sweep(cmd, args[0], o) },
	}
	cmd.Flags().StringVar(&o.runsPath, "json", "", "append each run to this file, and do not play the runs that it holds again")
	cmd.Flags().StringVar(&o.pagePath, "html", "", "write a report to this file")
	cmd.Flags().IntVar(&o.workers, "workers", 0, "concurrent runs (default: one for each core)")
	return cmd
}

// sweep plays the runs of an experiment that are not stored yet, and reports all runs. If it is cancelled, it reports the runs
// that have ended.
func sweep(cmd *cobra.Command, path string, o sweepOptions) error {
	e, err := readExperiment(path)
	if err != nil {
		return err
	}
	var runs []experiment.Run
	if o.runsPath != "" {
		if runs, err = experiment.Load(o.runsPath); err != nil {
			return err
		}
	}
	err = e.RunRemaining(cmd.Context(), runs, o.workers, func(r experiment.Run, done, total int) {
		runs = append(runs, r)
		if o.runsPath != "" {
			if err := experiment.Append(o.runsPath, r); err != nil {
				fmt.Fprintln(os.Stderr, "ravenlab:", err)
			}
		}
		if isatty.IsTerminal(os.Stderr.Fd()) {
			fmt.Fprintf(os.Stderr, "\r%d of %d", done, total)
		}
	})
	if errors.Is(err, context.Canceled) {
		fmt.Fprintf(os.Stderr, "cancelled: reporting the %d runs that have ended\n", len(runs))
		err = nil
	}
	if err != nil || len(runs) == 0 {
		return err
	}
	sorted := inOrder(e, runs)
	if o.pagePath != "" {
		if err := writeReport(o.pagePath, e.Name, sorted); err != nil {
			return err
		}
	}
	return printRuns(cmd.OutOrStdout(), sorted)
}

// inOrder returns the experiment's runs ordered by variant and seed. It leaves out runs that have not been played.
func inOrder(e *experiment.Experiment, runs []experiment.Run) (sorted []experiment.Run) {
	for _, v := range e.Variants {
		for seed := uint64(1); seed <= uint64(e.Seeds); seed++ {
			for _, r := range runs {
				if r.Variant == v.Name && r.Seed == seed {
					sorted = append(sorted, r)
					break
				}
			}
		}
	}
	return sorted
}

func writeReport(path, title string, runs []experiment.Run) error {
	return createFile(path, func(w io.Writer) error { return report.Write(w, title, runs) })
}

// reportCommand returns the command that writes the page of stored runs.
func reportCommand() *cobra.Command {
	return &cobra.Command{
		Use: "report RUNS.jsonl OUT.html", Short: "Write an HTML page of stored runs", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			runs, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			return writeReport(args[1], filepath.Base(args[0]), runs)
		},
	}
}

// shrinkCommand returns the command that reduces a scenario that breaks a rule.
func shrinkCommand() *cobra.Command {
	var flags variantFlags
	cmd := &cobra.Command{
		Use: "shrink FILE", Short: "Reduce a scenario that breaks a rule as far as it still breaks one", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := flags.read(args[0])
			if err != nil {
				return err
			}
			played := 0
			smallest, err := experiment.Shrink(cmd.Context(), v.Scenario, flags.seed, func(sim.Scenario, bool) { played++ })
			if err != nil {
				return err
			}
			encoded, err := json.MarshalIndent(smallest, "", "  ")
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "// seed %d, %d scenarios tried\n%s\n", flags.seed, played, encoded)
			return nil
		},
	}
	flags.register(cmd)
	return cmd
}

// validateCommand returns the command that compares the simulator with the real proxy.
func validateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "validate", Short: "Compare the simulator with the real proxy on loopback sockets; takes less than a minute", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			relations, err := crosscheck.Run(cmd.Context(), func(text string) { fmt.Fprintln(os.Stderr, text) })
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "relation\tproxy\tsimulator\tdifference")
			for _, r := range relations {
				fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%+.3f\n", r.Name, r.Sockets, r.Model, r.Difference())
			}
			return errors.Join(err, w.Flush())
		},
	}
}
