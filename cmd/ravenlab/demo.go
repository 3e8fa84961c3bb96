package main

import (
	"os"

	"github.com/spf13/cobra"

	"ravenwheel/internal/lab/demo"
)

// demoCommand returns the command that runs the demonstration of internal/lab/demo.
func demoCommand() *cobra.Command {
	o := demo.Options{Out: os.Stdout}
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a proxy with stand-in servers and replace its server list under traffic", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return demo.Run(cmd.Context(), o) },
	}
	cmd.Flags().StringVar(&o.Proxy, "proxy", "bin/ravenwheel", "path of the proxy's binary")
	cmd.Flags().StringVar(&o.Operator, "operator", "deploy/standalone.jsonc", "operator's file of the proxy, with the sections proxy and admin")
	cmd.Flags().Float64Var(&o.Rate, "per-s", 150, "requests per second")
	return cmd
}
