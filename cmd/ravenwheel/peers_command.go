package main

import (
	"fmt"
	"net/url"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/peers"
)

// peersPath is the admin path for the other processes.
const peersPath = "/v1/peers"

// dropReasons are the reasons for dropping a datagram, in the order in which they are shown.
var dropReasons = []string{"malformed", "unknown", "forged", "replayed", "old", "misdirected", "flood", "refused"}

func peersCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "peers", Short: "Show and manage the other processes that a running proxy knows", Args: cobra.NoArgs}
	var asJSON bool
	show := &cobra.Command{
		Use: "show", Short: "Show the members with their states, and the datagrams that were dropped", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status peers.Status
			return printAnswer(cmd.OutOrStdout(), peersPath, &status, asJSON, func(table *tabwriter.Writer) { printPeers(table, status) })
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	ping := &cobra.Command{
		Use: "ping NAME", Short: "Probe a member and show how long its answer took", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			tookMs, err := callPeer("ping", args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s answered after %.1f ms\n", args[0], tookMs)
			}
			return err
		},
	}
	forget := &cobra.Command{
		Use: "forget NAME", Short: "Forget a member that has failed or left, and its reports", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := callPeer("forget", args[0])
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), args[0], "is forgotten")
			}
			return err
		},
	}
	cmd.AddCommand(show, ping, forget)
	cmd.PersistentFlags().StringVar(&adminAddr, "admin", "", adminUsage)
	return cmd
}

// callPeer has the proxy carry out an action on a member, and returns how long that took, in ms.
func callPeer(action, name string) (tookMs float64, err error) {
	var response struct {
		TookMs float64 `json:"took_ms"`
	}
	err = callAdmin(peersPath, admin.PeerRequest{Action: action, Name: name}, &response)
	return response.TookMs, err
}

func printPeers(table *tabwriter.Writer, status peers.Status) {
	for _, m := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\tsince %.0f\n", m.Name, m.Addr, m.Zone, m.State, m.Since)
	}
	fmt.Fprintf(table, "%d alive, %d heard from in the last 10 s; sent %d bytes, received %d\n", status.Alive, status.RecentSenders, status.SentBytes, status.ReceivedBytes)
	for _, reason := range dropReasons {
		if count := status.Dropped[reason]; count > 0 {
			fmt.Fprintf(table, "dropped as %s: %d\n", reason, count)
		}
	}
}

func viewCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "view", Short: "Show the view of the servers that all processes share", Args: cobra.NoArgs}
	var asJSON bool
	show := &cobra.Command{
		Use: "show [SERVER]", Short: "Show the view of all servers, or the reports of all processes on one server with their ages", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/v1/view"
			if len(args) > 0 {
				path += "?server=" + url.QueryEscape(args[0])
			}
			var response admin.ViewResponse
			return printAnswer(cmd.OutOrStdout(), path, &response, asJSON, func(table *tabwriter.Writer) { printView(table, response) })
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	cmd.AddCommand(show)
	cmd.PersistentFlags().StringVar(&adminAddr, "admin", "", adminUsage)
	return cmd
}

func printView(table *tabwriter.Writer, response admin.ViewResponse) {
	const msPerSecond = 1000
	fmt.Fprintln(table, "server\tsaid by\tattempts/s\tfrom\tto\tfailing\tfrom\tto\toverdue\tp50 ms\tp90 ms\town part")
	for _, s := range response.Servers {
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\n", s.ID, s.Reporters, s.Load.Value, s.Load.Low, s.Load.High,
			s.Failing.Value, s.Failing.Low, s.Failing.High, s.Overdue.Value, s.P50, s.P90, s.OwnWeight)
		for _, r := range s.Reports {
			fmt.Fprintf(table, "  %s\t%s\t%.1f\t\t\t%.2f\t\t\t\t%.0f\t%.0f\t%.1f s old\n", r.Name, r.Zone, r.Attempts, r.Failing, r.Latency.Quantile(0.5),
				r.Latency.Quantile(0.9), r.Age/msPerSecond)
		}
	}
	for _, h := range response.HeavyHitters {
		fmt.Fprintf(table, "object %016x\t%d\t%.1f\t%.1f\t%.1f\n", h.Object, h.Reporters, h.Rate.Value, h.Rate.Low, h.Rate.High)
	}
}
