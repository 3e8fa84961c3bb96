// Command ravenlab is the workbench beside the proxy: stand-in servers, clients and demonstrations, all on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/demo"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/load"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{Use: "ravenlab", Short: "Stand-ins, load and experiments for ravenwheel", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(fleetCommand(), loadCommand(), demoCommand(), runCommand(), sweepCommand(), reportCommand(), shrinkCommand(), validateCommand(), fieldCommand(),
		capacityCommand(), scaleCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "ravenlab:", err)
		os.Exit(1)
	}
}

func fleetCommand() *cobra.Command {
	o := fleet.Options{Clock: clock.System()}
	cmd := &cobra.Command{
		Use: "fleet LIST", Short: "Stand in for the servers of a list, at its addresses, until SIGTERM", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := filewatch.Load(args[0], serverlist.Requirements{ParentKind: "parent", OriginKind: "origin"}, &resolver.Cache{Clock: o.Clock}, nil)
			if err != nil {
				return err
			}
			f := fleet.New(o)
			defer f.Close()
			if err := f.StartList(set, "parent", "origin"); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d servers listen\n", len(set.Servers))
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().Float64Var(&o.TransferTime, "serve-ms", 4, "time of a transfer")
	cmd.Flags().Float64Var(&o.FillTime, "fill-ms", 25, "how much longer one takes that must be fetched")
	cmd.Flags().Float64Var(&o.PurgeDelay, "purge-takes-ms", 6000, "time after which copies that were purged are dropped")
	cmd.Flags().IntVar(&o.MaxCopies, "held", 4096, "copies that a cache or parent holds")
	return cmd
}

// standardClasses are those of deploy/standalone.jsonc.
var standardClasses = []load.Class{
	{Name: "replay", Fraction: 0.53, DeadlineMs: 5000, PartsPerObject: 12}, {Name: "asset", Fraction: 0.44, DeadlineMs: 2500, PartsPerObject: 1},
	{Name: "seat-claim", Fraction: 0.03, DeadlineMs: 3000, Write: true, PartsPerObject: 1},
}

func loadCommand() *cobra.Command {
	o := load.Options{Clock: clock.System(), Classes: standardClasses}
	var perS, seconds float64
	var course, crowd string
	cmd := &cobra.Command{
		Use: "load", Short: "Send traffic to a proxy for a while and say what became of it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			phases := []load.Phase{{Seconds: seconds, From: perS, To: perS}}
			var err error
			if course != "" {
				if phases, err = load.ParsePhases(course); err != nil {
					return err
				}
			}
			if crowd != "" {
				habits, err := load.ParseMisbehaving(crowd)
				if err != nil {
					return err
				}
				bad := load.StartMisbehaving(o.Addr, habits)
				defer func() {
					bad.Stop()
					fmt.Fprintf(cmd.OutOrStdout(), "misbehaved on %d connections, of which the proxy ended %d\n", bad.Opened.Load(), bad.Ended.Load())
				}()
			}
			c := load.New(o)
			defer c.Close()
			c.FollowSchedule(cmd.Context(), phases)
			c.WaitIdle()
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "class\tasked\tserved\trefused\tfailed\tlost\tp50 ms\tp99 ms\t")
			sums := c.Results()
			for _, k := range o.Classes {
				s := sums[k.Name]
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k.Name, s.Requested, s.Served, s.Rejected, s.Failed, s.Lost,
					float64(s.Latency.ValueAtQuantile(50))/1000, float64(s.Latency.ValueAtQuantile(99))/1000)
			}
			_ = w.Flush()
			for _, x := range c.Violations() {
				fmt.Fprintln(cmd.OutOrStdout(), "wrong:", x)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&o.Addr, "addr", "127.0.20.100:4100", "the proxy's address")
	cmd.Flags().Float64Var(&perS, "per-s", 150, "requests a second")
	cmd.Flags().Float64Var(&seconds, "seconds", 10, "for how long")
	cmd.Flags().StringVar(&course, "phases", "", "a course of rates in place of these: 10:50-200,5:400")
	cmd.Flags().StringVar(&crowd, "misbehave", "", "clients that misbehave beside it: idle=100,half=20,noise=5,claim=5,leave=20")
	cmd.Flags().IntVar(&o.Conns, "conns", 8, "connections")
	cmd.Flags().IntVar(&o.Objects, "objects", 400, "objects to draw from")
	cmd.Flags().IntVar(&o.Retries, "retries", 3, "of a request that was refused")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 7, "of what is drawn")
	return cmd
}

func demoCommand() *cobra.Command {
	o := demo.Options{Out: os.Stdout}
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a proxy on stand-ins and switch its server list under traffic", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return demo.Run(cmd.Context(), o) },
	}
	cmd.Flags().StringVar(&o.Proxy, "proxy", "bin/ravenwheel", "the program")
	cmd.Flags().StringVar(&o.Operator, "operator", "deploy/standalone.jsonc", "its file, which stands alone")
	cmd.Flags().Float64Var(&o.PerS, "per-s", 150, "requests a second")
	return cmd
}

// baseName returns the name of a file without directory and extension.
func baseName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}
