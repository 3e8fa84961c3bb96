package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ravenwheel/internal/distribution"
)

func distributionCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "distribution", Short: "How a running proxy gets what the store holds", Args: cobra.NoArgs}
	cmd.AddCommand(
		streamsCommand("show", "Show where each stream comes from, how far it is and who subscribes here", printStream),
		streamsCommand("lag", "Show how far each stream is behind, at most", printLag))
	cmd.PersistentFlags().StringVar(&adminAddr, "admin", "", adminUsage)
	return cmd
}

// streamsCommand returns a command that prints each stream of a running proxy.
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

// describeSource says where a stream comes from.
func describeSource(s distribution.Status) string {
	switch {
	case s.Root:
		return "from the store"
	case s.Parent == "":
		return "subscribed nowhere"
	default:
		return "from " + s.Parent
	}
}

// describeLag says how far a stream is behind.
func describeLag(s distribution.Status) string {
	if s.LagMs < 0 {
		return "nothing whole yet"
	}
	text := fmt.Sprintf("%.0f ms behind at most", s.LagMs)
	if s.Restricted {
		text += ", past its bound"
	}
	return text
}
