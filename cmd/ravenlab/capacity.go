package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"ravenwheel/internal/lab/capacity"
)

// The directory of the recordings, and the page that is generated from them, relative to the root of the repository.
const (
	capacityDir  = "docs/measurements/capacity"
	capacityPage = "docs/CAPACITY.md"
)

// capacityCommand returns the command that prints, writes or checks the page of internal/lab/capacity.
func capacityCommand() *cobra.Command {
	var write, dir string
	var check bool
	cmd := &cobra.Command{
		Use: "capacity", Short: "Compute what the fleet costs at its size in two years, from recorded slopes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			page, err := capacity.Page(dir)
			switch {
			case err != nil:
				return err
			case check:
				return checkPage(cmd.OutOrStdout(), page)
			case write != "":
				return os.WriteFile(write, page, 0o644)
			}
			_, err = cmd.OutOrStdout().Write(page)
			return err
		},
	}
	cmd.PersistentFlags().StringVar(&dir, "recordings", capacityDir, "directory of the recordings")
	cmd.Flags().StringVar(&write, "write", "", "write the page to this file ("+capacityPage+")")
	cmd.Flags().BoolVar(&check, "check", false, "fail if "+capacityPage+" differs from the page that formulas and recordings give")
	cmd.AddCommand(capacityRecordCommand(&dir), capacityFitCommand())
	return cmd
}

// checkPage returns an error if the page in the repository differs from the given one.
func checkPage(out io.Writer, page []byte) error {
	committed, err := os.ReadFile(capacityPage)
	if err != nil {
		return err
	}
	if line, differs := capacity.FirstDifference(committed, page); differs {
		return fmt.Errorf("%s is not the page that formulas and recordings give, from line %d on: run 'ravenlab capacity --write %s'", capacityPage, line, capacityPage)
	}
	fmt.Fprintln(out, capacityPage, "is the page that formulas and recordings give")
	return nil
}

func capacityRecordCommand(dir *string) *cobra.Command {
	return &cobra.Command{
		Use: "record [NAME...]", Short: "Measure slopes in this process, some seconds each, and store them", Args: cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, names []string) error { return recordCapacity(cmd.OutOrStdout(), *dir, names) },
	}
}

// recordCapacity runs the recorders with the given names, or all if there are no names, and prints what they measured.
func recordCapacity(out io.Writer, dir string, names []string) error {
	for _, name := range names {
		if !slices.ContainsFunc(capacity.Recorders, func(r capacity.Recorder) bool { return r.Name == name }) {
			return fmt.Errorf("recorder %q does not exist", name)
		}
	}
	for _, recorder := range capacity.Recorders {
		if len(names) > 0 && !slices.Contains(names, recorder.Name) {
			continue
		}
		file, err := recorder.Record(dir, capacity.Machine())
		if err != nil {
			return err
		}
		for _, r := range file.Recordings {
			fmt.Fprintf(out, "%s: %v %s, %g + %g x %s (%s), largest residual %.1f %%\n",
				r.Name, r.Points, r.Unit, r.Fixed, r.Slope, r.Driver, r.Model, 100*r.MaxResidual())
		}
	}
	return nil
}

func capacityFitCommand() *cobra.Command {
	return &cobra.Command{
		Use: "fit FILE...", Short: "Fit the points of recordings that other programs made, and store the fits in their files", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			for _, path := range paths {
				file, err := capacity.ReadFile(path)
				if err != nil {
					return err
				}
				if err := capacity.Save(path, file); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
