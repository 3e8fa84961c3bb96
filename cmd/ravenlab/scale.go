package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ravenwheel/internal/lab/hollow"
)

// scaleMemoryLimit bounds the heap of a run, in bytes: near it, garbage is collected more often.
const scaleMemoryLimit = 7 << 30

// The ways in which control traffic is distributed, as --ways names them.
const (
	distributionLevels = string(hollow.ModeLevels) // over levels of relays
	distributionDirect = string(hollow.ModeDirect) // to every process directly
)

// scaleOptions are the flags of "ravenlab scale".
type scaleOptions struct {
	seed           uint64
	sizes          []int    // numbers of processes; empty: those of the file
	distributions  []string // empty: levels, and direct where the file says so
	measureHarness bool     // play once more with empty processes, to measure the event loop
	dir, pagePath  string   // empty: nothing is written there
}

// scaleCommand plays scenarios of internal/lab/hollow.
func scaleCommand() *cobra.Command {
	var o scaleOptions
	cmd := &cobra.Command{
		Use: "scale FILE", Short: "Play the control traffic of thousands of hollow processes, with faults, in virtual time", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := readScale(args[0])
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				s.Seed = o.seed
			}
			return scale(cmd, s, o)
		},
	}
	cmd.Flags().IntSliceVar(&o.sizes, "sizes", nil, "processes, in place of the file's")
	cmd.Flags().StringSliceVar(&o.distributions, "ways", nil, "levels, direct (default: levels, and direct where the file says so)")
	cmd.Flags().Uint64Var(&o.seed, "seed", 0, "in place of the file's")
	cmd.Flags().BoolVar(&o.measureHarness, "loop", false, "play the loop once more with empty machines, to tell its own share; up to 3.4 GB more")
	cmd.Flags().StringVar(&o.dir, "dir", "", "write a JSON file of each run into this directory")
	cmd.Flags().StringVar(&o.pagePath, "html", "", "write a page to this file")
	cmd.AddCommand(scalePageCommand(), scaleRecordingsCommand())
	return cmd
}

// readScale reads a scenario. One without a name is named after its file.
func readScale(path string) (hollow.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return hollow.Scenario{}, err
	}
	s, defects := hollow.Parse(path, text)
	if s.Name == "" {
		s.Name = baseName(path)
	}
	return s, defects.Err()
}

// scale plays a scenario in all sizes and ways, and writes a page of the runs, also of those before one that failed.
func scale(cmd *cobra.Command, s hollow.Scenario, o scaleOptions) error {
	if len(o.sizes) > 0 {
		s.Processes = o.sizes
	}
	if len(o.distributions) == 0 {
		o.distributions = []string{distributionLevels}
		if s.Direct {
			o.distributions = append(o.distributions, distributionDirect)
		}
	}
	if err := s.Valid(); err != nil {
		return err
	}
	debug.SetMemoryLimit(scaleMemoryLimit)
	runs, err := playScale(cmd, s, o)
	if o.pagePath != "" && len(runs) > 0 {
		err = errors.Join(err, createFile(o.pagePath, func(w io.Writer) error { return hollow.WritePage(w, s.Name, runs) }))
	}
	return err
}

// playScale plays, prints and stores the runs. It returns an error at the end if rules were broken.
func playScale(cmd *cobra.Command, s hollow.Scenario, o scaleOptions) (runs []*hollow.Result, err error) {
	broken := 0
	for _, size := range s.Processes {
		for _, distribution := range o.distributions {
			result, err := hollow.Run(cmd.Context(), s, size, scaleMode(distribution), o.measureHarness)
			if err != nil {
				return runs, err
			}
			runs = append(runs, result)
			broken += result.Violations
			if o.dir != "" {
				name := fmt.Sprintf("%s-%s-%d.json", s.Name, distribution, size)
				if err := writeIndentedJSON(filepath.Join(o.dir, name), result); err != nil {
					return runs, err
				}
			}
			if err := printScale(cmd.OutOrStdout(), result); err != nil {
				return runs, err
			}
		}
	}
	if broken > 0 {
		return runs, fmt.Errorf("%d rules broken, seed %d", broken, s.Seed)
	}
	return runs, nil
}

// scaleMode is the mode that --ways names. Any other name than direct stands for levels.
func scaleMode(distribution string) hollow.Mode {
	if distribution == distributionDirect {
		return hollow.ModeDirect
	}
	return hollow.ModeLevels
}

func printScale(out io.Writer, r *hollow.Result) error {
	fmt.Fprintf(out, "%s, %d processes, %s: %.0f s virtual in %.0f s, processor %.1f s, heap %.0f MB\n", r.Name, r.Processes, r.Mode, r.VirtualSeconds,
		r.WallSeconds, r.CPUSeconds, r.HeapMB)
	if r.HarnessCPUSeconds >= 0 {
		fmt.Fprintf(out, "the loop with empty machines: processor %.1f s (whole: %v)\n", r.HarnessCPUSeconds, r.HarnessComplete)
	}
	for i, kind := range []string{"purges", "lists, drains, revisions"} {
		all, afterFault := r.Propagation[i], r.AfterFault[i]
		fmt.Fprintf(out, "%s: %d, at the last process after p50 %.0f, p99 %.0f, at most %.0f ms; counted from a process's return p99 %.0f, at most %.0f\n",
			kind, all.Count, all.P50, all.P99, all.Max, afterFault.P99, afterFault.Max)
	}
	for _, recovery := range r.Recoveries {
		fmt.Fprintf(out, "%s at %.0f s: healed %.1f s after %.0f s\n", recovery.Fault.Kind, recovery.Fault.AtSeconds, recovery.AfterSeconds, recovery.CountedFromSeconds)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "role\tprocesses\tin KB/s\tout KB/s\tmost out\tin /s\tout /s\tus a call\tcore %\theap MB\tlight MB\t")
	for _, cost := range r.RoleCosts {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.2f\t%.3f\t\n", cost.Role, cost.Processes, cost.InKBPerS, cost.OutKBPerS,
			cost.MaxOutKBPerS, cost.MessagesInPerS, cost.MessagesOutPerS, cost.MicrosPerCall, cost.CPUPercent, cost.HeapMB, cost.LightHeapMB)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, text := range append(r.ViolationTexts, r.ExceededLimits...) {
		fmt.Fprintln(out, text)
	}
	return nil
}

// loadScaleRuns reads runs that --dir stored.
func loadScaleRuns(paths []string) (runs []*hollow.Result, err error) {
	for _, path := range paths {
		encoded, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		result := &hollow.Result{}
		if err := json.Unmarshal(encoded, result); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		runs = append(runs, result)
	}
	return runs, nil
}

// storedRunsCommand returns a command that writes a file from stored runs.
func storedRunsCommand(use, short string, write func(io.Writer, []*hollow.Result) error) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			runs, err := loadScaleRuns(args[1:])
			if err != nil {
				return err
			}
			return createFile(args[0], func(w io.Writer) error { return write(w, runs) })
		},
	}
}

func scalePageCommand() *cobra.Command {
	return storedRunsCommand("page OUT.html RUN.json...", "Write a page from runs that were kept", func(w io.Writer, runs []*hollow.Result) error {
		return hollow.WritePage(w, "Scale", runs)
	})
}

func scaleRecordingsCommand() *cobra.Command {
	machine := fmt.Sprintf("%d processors", runtime.NumCPU())
	return storedRunsCommand("recordings OUT.json RUN.json...", "Write what runs at several sizes measured as points for the capacity page",
		func(w io.Writer, runs []*hollow.Result) error { return hollow.WriteRecordings(w, machine, runs) })
}
