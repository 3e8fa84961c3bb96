// Command ravenwheel is a steering proxy: it chooses, for each request, the cache server and the source of a fill.
//
// This package reads the flags and the configuration, starts the parts of the proxy in their order and connects them, and holds the
// operators' commands. It decides nothing about requests or servers.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ravenwheel/internal/strictjson"
)

// version is the version that the version command prints.
var version = "0.2.0"

func main() {
	root := &cobra.Command{
		Use: "ravenwheel", Short: "A steering proxy in front of caches", SilenceUsage: true, SilenceErrors: true,
		Args: cobra.NoArgs, RunE: serve, // the platform runs the program without a command
	}
	flags := root.PersistentFlags()
	flags.StringVar(&profilePath, "cpuprofile", "", "write a CPU profile of the first 20 s to this file")
	flags.StringVar(&operatorFile, "operator", "", "the operator's file: it adds to the platform's configuration, or is the whole configuration of a standalone proxy")
	flags.StringVar(&serversPath, "servers", "", "the server list to watch instead of the one that the operator's file names")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve until SIGTERM", Args: cobra.NoArgs, RunE: serve},
		&cobra.Command{Use: "check", Short: "Read the configuration that serve would use, and report whether it is valid", Args: cobra.NoArgs, RunE: check},
		serversCommand(), configCommand(), purgeCommand(), stateCommand(), clusterCommand(), peersCommand(), viewCommand(), distributionCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "ravenwheel", version)
		}},
	)
	if err := root.Execute(); err != nil {
		fail(err)
	}
}

// fail ends the program with exit code 1 and one line on stderr, or none if the defects have been printed.
func fail(err error) {
	var defects strictjson.Defects
	switch {
	case errors.Is(err, errDefects):
	case errors.As(err, &defects) && len(defects) > 1:
		fmt.Fprintf(os.Stderr, "ravenwheel: %v (and %d more; 'servers check' and 'config check' show all)\n", defects[0], len(defects)-1)
	default:
		fmt.Fprintln(os.Stderr, "ravenwheel:", err)
	}
	os.Exit(1)
}
