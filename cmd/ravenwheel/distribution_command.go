package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ravenwheel/internal/distribution"
)

func distributionCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "distribution", Short: "Show how a running proxy receives the contents of the store", Args: cobra.NoArgs}
	cmd.AddCommand(
		streamsCommand("show", "Show the source, the position and the number of subscribers of each stream", printStream),
		streamsCommand("lag", "Show the maximum lag of each stream", printLag))
	cmd.PersistentFlags().StringVar(&adminAddr, "admin", "", adminUsage)
	return cmd
}

// streamsCommand returns a command that prints the status of each stream of a running proxy.
func streamsCommand(use, short string, print func(*tabwriter.Writer, distribution.Status)) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		var streams []distribution.Status
		return printAnswer(cmd.OutOrStdout(), "/v1/distribution", &streams, asJSON, func(table *tabwriter.Writer) {
			for _, stream := range streams {
				print(table, stream)
			}
		})
	}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func printStream(table *tabwriter.Writer, s distribution.Status) {
	fmt.Fprintf(table, "%s\t%s\tepoch %d, sequence %d\t%d subscribers\t%d entries\t%d bytes waiting\n", s.Stream, describeSource(s), s.Epoch, s.Sequence,
		s.Subscribers, s.Entries, s.QueuedBytes)
}

func printLag(table *tabwriter.Writer, s distribution.Status) {
	fmt.Fprintf(table, "%s\t%s\n", s.Stream, describeLag(s))
}

// describeSource returns a description of a stream's source.
func describeSource(s distribution.Status) string {
	switch {
	case s.Root:
		return "from the store"
	case s.Parent == "":
		return "not subscribed"
	default:
		return "from " + s.Parent
	}
}

// describeLag returns a description of a stream's lag.
func describeLag(s distribution.Status) string {
	if s.LagMs < 0 {
		return "not complete yet"
	}
	text := fmt.Sprintf("%.0f ms behind at most", s.LagMs)
	if s.Restricted {
		text += ", past its bound"
	}
	return text
}
