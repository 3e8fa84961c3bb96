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

// scaleMemoryLimit is Go's memory limit for a run, in bytes: near it, garbage is collected more often.
const scaleMemoryLimit = 7 << 30

// The modes in which control traffic is distributed to the processes, as --ways names them.
const (
	modeLevels = string(hollow.ModeLevels) // over levels of relays
	modeDirect = string(hollow.ModeDirect) // to every process directly
)

// scaleOptions are the flags of "ravenlab scale".
type scaleOptions struct {
	seed           uint64
	sizes          []int    // numbers of processes; empty: those in the file
	modes          []string // values of --ways, see hollow.Mode; empty: levels, and also direct if the file says so
	measureHarness bool     // play once more with processes that do nothing, to measure the CPU time of the simulation itself
	dir, pagePath  string   // for results and for the page; empty: not written
}

// scaleCommand returns the command that plays scenarios of internal/lab/hollow.
func scaleCommand() *cobra.Command {
	var o scaleOptions
	cmd := &cobra.Command{
		Use: "scale FILE", Short: "Simulate the control traffic of thousands of processes that serve no requests, with faults, in virtual time", Args: cobra.ExactArgs(1),
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
	cmd.Flags().IntSliceVar(&o.sizes, "sizes", nil, "numbers of processes, in place of those in the file")
	cmd.Flags().StringSliceVar(&o.modes, "ways", nil, "modes in which control traffic is distributed: levels, direct (default: levels, and also direct if the file says so)")
	cmd.Flags().Uint64Var(&o.seed, "seed", 0, "seed in place of that in the file")
	cmd.Flags().BoolVar(&o.measureHarness, "loop", false, "play once more with processes that do nothing, to measure the CPU time of the simulation itself; needs up to 3.4 GB more memory")
	cmd.Flags().StringVar(&o.dir, "dir", "", "write the result of each run to a JSON file in this directory")
	cmd.Flags().StringVar(&o.pagePath, "html", "", "write an HTML page of the runs to this file")
	cmd.AddCommand(scalePageCommand(), scaleRecordingsCommand())
	return cmd
}

// readScale reads a scenario. A scenario without a name gets that of its file.
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

// scale plays a scenario with all numbers of processes and modes, and writes a page of the runs. If a run fails, the page
// shows the runs before it.
func scale(cmd *cobra.Command, s hollow.Scenario, o scaleOptions) error {
	if len(o.sizes) > 0 {
		s.Processes = o.sizes
	}
	if len(o.modes) == 0 {
		o.modes = []string{modeLevels}
		if s.Direct {
			o.modes = append(o.modes, modeDirect)
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

// playScale plays, prints and stores the runs. It returns an error at the end if there were violations.
func playScale(cmd *cobra.Command, s hollow.Scenario, o scaleOptions) (runs []*hollow.Result, err error) {
	violations := 0
	for _, size := range s.Processes {
		for _, mode := range o.modes {
			result, err := hollow.Run(cmd.Context(), s, size, scaleMode(mode), o.measureHarness)
			if err != nil {
				return runs, err
			}
			runs = append(runs, result)
			violations += result.Violations
			if o.dir != "" {
				name := fmt.Sprintf("%s-%s-%d.json", s.Name, mode, size)
				if err := writeIndentedJSON(filepath.Join(o.dir, name), result); err != nil {
					return runs, err
				}
			}
			if err := printScale(cmd.OutOrStdout(), result); err != nil {
				return runs, err
			}
		}
	}
	if violations > 0 {
		return runs, fmt.Errorf("%d violations of rules, seed %d", violations, s.Seed)
	}
	return runs, nil
}

// scaleMode returns the mode for a value of --ways: direct, or levels for all other values.
func scaleMode(name string) hollow.Mode {
	if name == modeDirect {
		return hollow.ModeDirect
	}
	return hollow.ModeLevels
}

func printScale(out io.Writer, r *hollow.Result) error {
	fmt.Fprintf(out, "%s, %d processes, %s: %.0f s virtual in %.0f s, CPU time %.1f s, heap %.0f MB\n", r.Name, r.Processes, r.Mode, r.VirtualSeconds,
		r.WallSeconds, r.CPUSeconds, r.HeapMB)
	if r.HarnessCPUSeconds >= 0 {
		fmt.Fprintf(out, "simulation with processes that do nothing: CPU time %.1f s (measured over the whole run: %v)\n", r.HarnessCPUSeconds, r.HarnessComplete)
	}
	for i, kind := range []string{"purges", "lists, drains, revisions"} {
		all, afterFault := r.Propagation[i], r.AfterFault[i]
		fmt.Fprintf(out, "%s: %d, applied by the last process after p50 %.0f ms, p99 %.0f ms, at most %.0f ms; counted from when a process was connectable again: p99 %.0f ms, at most %.0f ms\n",
			kind, all.Count, all.P50, all.P99, all.Max, afterFault.P99, afterFault.Max)
	}
	for _, recovery := range r.Recoveries {
		fmt.Fprintf(out, "%s at %.0f s: recovered %.1f s after second %.0f\n", recovery.Fault.Kind, recovery.Fault.AtSeconds, recovery.AfterSeconds, recovery.CountedFromSeconds)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "role\tprocesses\tin KB/s\tout KB/s\tmax out KB/s\tmessages in/s\tmessages out/s\tus per call\tcore %\theap MB\treceive-only heap MB\t")
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

// loadScaleRuns reads the results that --dir stored.
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

// storedRunsCommand returns a command that calls write with the stored runs and the file to write.
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
	return storedRunsCommand("page OUT.html RUN.json...", "Write an HTML page of stored runs", func(w io.Writer, runs []*hollow.Result) error {
		return hollow.WritePage(w, "Scale", runs)
	})
}

func scaleRecordingsCommand() *cobra.Command {
	machine := fmt.Sprintf("%d processors", runtime.NumCPU())
	return storedRunsCommand("recordings OUT.json RUN.json...", "Write the figures of runs with several numbers of processes as points for the capacity page",
		func(w io.Writer, runs []*hollow.Result) error { return hollow.WriteRecordings(w, machine, runs) })
}
