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
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ravenwheel/internal/lab/hollow"
)

// scaleMemory bounds the heap of a run: beyond, collections come more often. The machine has three times as much.
const scaleMemory = 7 << 30

func readScale(path string) (hollow.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return hollow.Scenario{}, err
	}
	s, bad := hollow.Parse(path, text)
	if s.Name == "" {
		s.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	return s, bad.Err()
}

func scaleCommand() *cobra.Command {
	var dir, page string
	var sizes []int
	var ways []string
	var seed uint64
	var loop bool
	cmd := &cobra.Command{
		Use: "scale FILE", Short: "Play the control traffic of thousands of hollow processes, with faults, in virtual time", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := readScale(args[0])
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				s.Seed = seed
			}
			if len(sizes) > 0 {
				s.Processes = sizes
			}
			if len(ways) == 0 {
				ways = []string{"levels"}
				if s.Direct {
					ways = append(ways, "direct")
				}
			}
			if bad := s.Valid(); bad != nil {
				return bad
			}
			debug.SetMemoryLimit(scaleMemory)
			runs, err := playScale(cmd, s, ways, loop, dir)
			if page != "" && len(runs) > 0 {
				f, failed := os.Create(page)
				if failed != nil {
					return errors.Join(err, failed)
				}
				err = errors.Join(err, hollow.WritePage(f, s.Name, runs), f.Close())
			}
			return err
		},
	}
	cmd.Flags().IntSliceVar(&sizes, "sizes", nil, "processes, in place of the file's")
	cmd.Flags().StringSliceVar(&ways, "ways", nil, "levels, direct (default: levels, and direct where the file says so)")
	cmd.Flags().Uint64Var(&seed, "seed", 0, "in place of the file's")
	cmd.Flags().BoolVar(&loop, "loop", false, "play the loop once more with empty machines, to tell its own share; up to 3.4 GB more")
	cmd.Flags().StringVar(&dir, "dir", "", "write a JSON file of each run into this directory")
	cmd.Flags().StringVar(&page, "html", "", "write a page to this file")
	cmd.AddCommand(scalePage(), scaleRecordings())
	return cmd
}

func playScale(cmd *cobra.Command, s hollow.Scenario, ways []string, loop bool, dir string) (runs []*hollow.Result, err error) {
	broken := 0
	for _, n := range s.Processes {
		for _, way := range ways {
			r, failed := hollow.Run(cmd.Context(), s, n, way == "direct", loop)
			if failed != nil {
				return runs, failed
			}
			runs = append(runs, r)
			if broken += r.Violations; dir != "" {
				raw, _ := json.MarshalIndent(r, "", " ") // of plain values
				if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%s-%s-%d.json", s.Name, way, n)), append(raw, '\n'), 0o644); err != nil {
					return runs, err
				}
			}
			if err := printScale(cmd.OutOrStdout(), r); err != nil {
				return runs, err
			}
		}
	}
	if broken > 0 {
		return runs, fmt.Errorf("%d rules broken, seed %d", broken, s.Seed)
	}
	return runs, nil
}

func printScale(out io.Writer, r *hollow.Result) error {
	fmt.Fprintf(out, "%s, %d processes, %s: %.0f s virtual in %.0f s, processor %.1f s, heap %.0f MB\n", r.Name, r.Processes, r.Mode, r.VirtualSeconds, r.WallSeconds,
		r.CPUSeconds, r.HeapMB)
	if r.HarnessCPUSeconds >= 0 {
		fmt.Fprintf(out, "the loop with empty machines: processor %.1f s (whole: %v)\n", r.HarnessCPUSeconds, r.HarnessComplete)
	}
	for i, what := range []string{"purges", "lists, drains, revisions"} {
		e, f := r.Propagation[i], r.AfterFault[i]
		fmt.Fprintf(out, "%s: %d, at the last process after p50 %.0f, p99 %.0f, at most %.0f ms; counted from a process's return p99 %.0f, at most %.0f\n",
			what, e.Count, e.P50, e.P99, e.Max, f.P99, f.Max)
	}
	for _, h := range r.Recoveries {
		fmt.Fprintf(out, "%s at %.0f s: healed %.1f s after %.0f s\n", h.Fault.Kind, h.Fault.AtSeconds, h.AfterSeconds, h.CountedFromSeconds)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "role\tprocesses\tin KB/s\tout KB/s\tmost out\tin /s\tout /s\tus a call\tcore %\theap MB\tlight MB\t")
	for _, c := range r.RoleCosts {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.2f\t%.3f\t\n", c.Role, c.Processes, c.InKBPerS, c.OutKBPerS, c.MaxOutKBPerS, c.MessagesInPerS,
			c.MessagesOutPerS, c.MicrosPerCall, c.CPUPercent, c.HeapMB, c.LightHeapMB)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, text := range append(r.ViolationTexts, r.ExceededLimits...) {
		fmt.Fprintln(out, text)
	}
	return nil
}

// keptRuns reads runs that were kept.
func keptRuns(paths []string) (runs []*hollow.Result, err error) {
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		r := &hollow.Result{}
		if err := json.Unmarshal(raw, r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		runs = append(runs, r)
	}
	return runs, nil
}

func fromRuns(use, short string, write func(io.Writer, []*hollow.Result) error) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			runs, err := keptRuns(args[1:])
			if err != nil {
				return err
			}
			f, err := os.Create(args[0])
			if err != nil {
				return err
			}
			return errors.Join(write(f, runs), f.Close())
		},
	}
}

func scalePage() *cobra.Command {
	return fromRuns("page OUT.html RUN.json...", "Write a page from runs that were kept", func(w io.Writer, runs []*hollow.Result) error {
		return hollow.WritePage(w, "Scale", runs)
	})
}

func scaleRecordings() *cobra.Command {
	machine := fmt.Sprintf("%d processors", runtime.NumCPU())
	return fromRuns("recordings OUT.json RUN.json...", "Write what runs at several sizes measured as points for the capacity page",
		func(w io.Writer, runs []*hollow.Result) error { return hollow.WriteRecordings(w, machine, runs) })
}
