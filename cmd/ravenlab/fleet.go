package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
)

// Kinds of servers in the lists that "ravenlab fleet" reads. All others are caches.
const (
	parentKind = "parent"
	originKind = "origin"
)

// fleetCommand returns the command that runs the stand-in servers of internal/lab/fleet.
func fleetCommand() *cobra.Command {
	o := fleet.Options{Clock: clock.System()}
	cmd := &cobra.Command{
		Use: "fleet LIST", Short: "Run stand-ins for the servers of a list, at their addresses, until SIGTERM", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return runFleet(cmd, args[0], o) },
	}
	cmd.Flags().Float64Var(&o.TransferTime, "serve-ms", 4, "time of a transfer, in ms")
	cmd.Flags().Float64Var(&o.FillTime, "fill-ms", 25, "additional time of a transfer that needs a fill, in ms")
	cmd.Flags().Float64Var(&o.PurgeDelay, "purge-takes-ms", 6000, "time after which purged copies are dropped, in ms")
	cmd.Flags().IntVar(&o.MaxCopies, "held", 4096, "maximum number of copies that a cache or parent holds")
	return cmd
}

// runFleet runs the servers of the list at a path until the command is cancelled.
func runFleet(cmd *cobra.Command, path string, o fleet.Options) error {
	requirements := serverlist.Requirements{ParentKind: parentKind, OriginKind: originKind}
	list, err := filewatch.Load(path, requirements, &resolver.Cache{Clock: o.Clock}, nil)
	if err != nil {
		return err
	}
	servers := fleet.New(o)
	defer servers.Close()
	if err := servers.StartList(list, parentKind, originKind); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d stand-in servers are listening\n", len(list.Servers))
	<-cmd.Context().Done()
	return nil
}
