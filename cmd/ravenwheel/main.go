// Command ravenwheel is a steering proxy: it chooses, for each request, the cache server and the source of
// a fill.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

var version = "0.1.0"

func main() {
	root := &cobra.Command{
		Use: "ravenwheel", Short: "A steering proxy in front of caches", SilenceUsage: true, SilenceErrors: true,
		Args: cobra.NoArgs, RunE: serve, // plain run must serve
	}
	root.PersistentFlags().StringVar(&profile, "cpuprofile", "", "write a CPU profile of the first 20 s to this file")
	root.PersistentFlags().StringVar(&operatorFile, "operator", "", "set up the signed front, the store and SNMP from this file")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve until SIGTERM", Args: cobra.NoArgs, RunE: serve},
		&cobra.Command{Use: "check", Short: "Read the configuration and say whether it can be used", Args: cobra.NoArgs, RunE: check},
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "ravenwheel", version)
		}},
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ravenwheel:", err)
		os.Exit(1)
	}
}
