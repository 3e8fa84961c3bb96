package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"ravenwheel/internal/lab/multiprocess"
)

func fieldCommand() *cobra.Command {
	var bin, dir, page string
	var seed uint64
	play := func(cmd *cobra.Command, s multiprocess.Scenario) (err error) {
		keep := dir
		if keep == "" {
			if keep, err = os.MkdirTemp("", "ravenwheel-field-"); err != nil {
				return err
			}
		}
		out := cmd.OutOrStdout()
		r, err := multiprocess.Play(cmd.Context(), s, bin, keep, func(line string) { fmt.Fprintln(out, line) })
		if r == nil {
			return err
		}
		if page != "" {
			f, failed := os.Create(page)
			if failed != nil {
				return failed
			}
			err = errors.Join(err, multiprocess.WritePage(f, r), f.Close())
		}
		asked, served := 0, 0
		for _, w := range r.Windows {
			asked, served = asked+w.Asked, served+w.Served
		}
		fmt.Fprintf(out, "asked %d, served %d; p50 %.1f ms, p99 %.1f ms; highest to mean load over 5 s %.2f, 95th percentile %.2f\n", asked, served,
			r.P50, r.P99, r.Spread[1].Median, r.Spread[1].P95)
		for i, span := range []string{"1 s", "5 s"} {
			fmt.Fprintf(out, "before the first fault, over %s: highest to mean load %.2f, 95th percentile %.2f, lowest %.2f\n", span, r.Calm[i].Median, r.Calm[i].P95, r.Calm[i].Least)
		}
		for _, x := range r.Reactions {
			fmt.Fprintf(out, "%s at %s: left after %.1f s, back %.1f s after its end, surge %.1f\n", r.Timeline[x.Fault].Kind, x.Cache, x.Left, x.Back, x.Surge)
		}
		for _, text := range append(r.Missed, r.Broken...) {
			fmt.Fprintln(out, text)
		}
		if len(r.Broken) > 0 {
			return errors.Join(err, fmt.Errorf("%d rules broken: seed %d; scenario, result and logs are in %s, play it again with 'ravenlab field replay %s'",
				len(r.Broken), s.Seed, keep, keep))
		}
		if dir == "" {
			err = errors.Join(err, os.RemoveAll(keep))
		}
		return err
	}
	read := func(path string) (multiprocess.Scenario, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return multiprocess.Scenario{}, err
		}
		s, bad := multiprocess.ParseScenario(path, text)
		if s.Name == "" {
			s.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		}
		return s, bad.Err()
	}
	cmd := &cobra.Command{
		Use: "field FILE", Short: "Play many real processes with faults between them, on loopback", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := read(args[0])
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				s.Seed = seed
			}
			return play(cmd, s)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 0, "in place of the file's")
	cmd.PersistentFlags().StringVar(&bin, "proxy", "bin/ravenwheel", "the program")
	cmd.PersistentFlags().StringVar(&dir, "dir", "", "keep scenario, result and logs here (default: only where a rule broke)")
	cmd.PersistentFlags().StringVar(&page, "html", "", "write a report to this file")
	cmd.AddCommand(&cobra.Command{
		Use: "replay DIR", Short: "Play again what a directory of an earlier field holds", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := read(filepath.Join(args[0], "scenario.json"))
			if err != nil {
				return err
			}
			return play(cmd, s)
		},
	})
	return cmd
}
