package main

import (
	"os"

	"github.com/spf13/cobra"

	"ravenwheel/internal/lab/demo"
)

// demoCommand plays the demonstration of internal/lab/demo.
func demoCommand() *cobra.Command {
	o := demo.Options{Out: os.Stdout}
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a proxy on stand-ins and switch its server list under traffic", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return demo.Run(cmd.Context(), o) },
	}
	cmd.Flags().StringVar(&o.Proxy, "proxy", "bin/ravenwheel", "the program")
	cmd.Flags().StringVar(&o.Operator, "operator", "deploy/standalone.jsonc", "its file, which stands alone")
	cmd.Flags().Float64Var(&o.Rate, "per-s", 150, "requests a second")
	return cmd
}
