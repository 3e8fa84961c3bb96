package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/lab/load"
)

// standardClasses are the classes of requests in deploy/standalone.jsonc.
var standardClasses = []load.Class{
	{Name: "replay", Fraction: 0.53, DeadlineMs: 5000, PartsPerObject: 12}, {Name: "asset", Fraction: 0.44, DeadlineMs: 2500, PartsPerObject: 1},
	{Name: "seat-claim", Fraction: 0.03, DeadlineMs: 3000, Write: true, PartsPerObject: 1},
}

// loadOptions are the flags of "ravenlab load".
type loadOptions struct {
	client      load.Options
	rate        float64 // requests per second
	seconds     float64
	schedule    string // phases that replace rate and seconds; empty: none
	misbehaving string // number of misbehaving clients by kind of misbehaviour; empty: none
}

// loadCommand returns the command that runs the clients of internal/lab/load.
func loadCommand() *cobra.Command {
	o := loadOptions{client: load.Options{Clock: clock.System(), Classes: standardClasses}}
	cmd := &cobra.Command{
		Use: "load", Short: "Send traffic to a proxy and print the outcomes of the requests", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, o) },
	}
	cmd.Flags().StringVar(&o.client.Addr, "addr", "127.0.20.100:4100", "the proxy's address")
	cmd.Flags().Float64Var(&o.rate, "per-s", 150, "requests per second")
	cmd.Flags().Float64Var(&o.seconds, "seconds", 10, "duration of the traffic, in seconds")
	cmd.Flags().StringVar(&o.schedule, "phases", "", "phases in place of --per-s and --seconds, each SECONDS:RATE or SECONDS:FROM-TO, such as 10:50-200,5:400")
	cmd.Flags().StringVar(&o.misbehaving, "misbehave", "", "number of additional, misbehaving clients by kind, such as idle=100,half=20,noise=5,claim=5,leave=20")
	cmd.Flags().IntVar(&o.client.Conns, "conns", 8, "connections")
	cmd.Flags().IntVar(&o.client.Objects, "objects", 400, "number of objects that requests are drawn from")
	cmd.Flags().IntVar(&o.client.Retries, "retries", 3, "maximum number of retries of a rejected request, or of a failed one that does not write")
	cmd.Flags().Uint64Var(&o.client.Seed, "seed", 7, "seed of the random numbers")
	return cmd
}

// runLoad sends traffic to a proxy and prints the outcomes.
func runLoad(cmd *cobra.Command, o loadOptions) error {
	phases := []load.Phase{{Seconds: o.seconds, FromRate: o.rate, ToRate: o.rate}}
	var err error
	if o.schedule != "" {
		if phases, err = load.ParsePhases(o.schedule); err != nil {
			return err
		}
	}
	out := cmd.OutOrStdout()
	if o.misbehaving != "" {
		counts, err := load.ParseMisbehaving(o.misbehaving)
		if err != nil {
			return err
		}
		misbehaving := load.StartMisbehaving(o.client.Addr, counts)
		defer func() {
			misbehaving.Stop()
			fmt.Fprintf(out, "misbehaving clients: opened %d connections, of which the proxy closed %d\n", misbehaving.Opened.Load(), misbehaving.Ended.Load())
		}()
	}
	client := load.New(o.client)
	defer client.Close()
	client.FollowSchedule(cmd.Context(), phases)
	client.WaitIdle()
	printLoad(out, client, o.client.Classes)
	return nil
}

// printLoad prints the outcomes by class, and the violations that the client observed.
func printLoad(out io.Writer, client *load.Client, classes []load.Class) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\trequested\tserved\trejected\tfailed\tlost\tp50 ms\tp99 ms\t")
	results := client.Results()
	for _, class := range classes {
		result := results[class.Name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n",
			class.Name, result.Requested, result.Served, result.Rejected, result.Failed, result.Lost,
			float64(result.Latency.ValueAtQuantile(50))/1000, float64(result.Latency.ValueAtQuantile(99))/1000)
	}
	_ = w.Flush()
	for _, violation := range client.Violations() {
		fmt.Fprintln(out, "wrong:", violation)
	}
}
