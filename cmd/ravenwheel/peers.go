package main

import (
	"encoding/json"
	"fmt"
	"net/url"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/peers"
	"ravenwheel/internal/store"
)

// startPeers joins the other processes, where the operator's file sets them up; else it is nil, and nothing is counted.
func startPeers(o *config.OperatorFile, conf *config.Config, clk *clock.Clock, log *logs.Log, c *core.Core) (*peers.Peers, error) {
	p := o.Peers
	if p == nil {
		return nil, nil
	}
	name, zone := p.Name, p.Zone
	if name == "" {
		name = conf.Name
	}
	if z := conf.Settings.Zone; zone == "" && z >= 0 && z < len(conf.Names.Zones) {
		zone = conf.Names.Zones[z]
	}
	id, err := store.LoadIdentity(p.Identity, name)
	if err != nil {
		return nil, err
	}
	c.LoadCounter = core.NewLoadCounter()
	return peers.Start(peers.Options{
		Name: name, Listen: p.Listen, Advertise: p.Advertise, Seeds: p.Seeds, Seen: p.AddressesByName, Zone: zone, Region: p.Region, Every: p.DigestIntervalMs,
		Dir: p.Dir, Identity: id, Clock: clk, Log: log, Totals: c.LoadCounter.Totals, Objects: c.LoadCounter.Objects,
	})
}

// asked calls a proxy's admin address and shows the answer as JSON, or as show has it.
func asked(cmd *cobra.Command, path string, body, out any, asJSON bool, show func(*tabwriter.Writer)) error {
	addr, err := adminAddress()
	if err != nil {
		return err
	}
	if err := admin.Call(addr, path, body, out); err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(out)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	show(w)
	return w.Flush()
}

func peersCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "peers", Short: "The other processes, as a running proxy knows them", Args: cobra.NoArgs}
	var asJSON bool
	show := &cobra.Command{
		Use: "show", Short: "Show who is there, who is gone and what was dropped", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s peers.Status
			return asked(cmd, "/v1/peers", nil, &s, asJSON, func(w *tabwriter.Writer) {
				for _, m := range s.Members {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\tsince %.0f\n", m.Name, m.Addr, m.Zone, m.State, m.Since)
				}
				fmt.Fprintf(w, "%d alive, %d heard from in the last 10 s; sent %d bytes, received %d\n", s.Alive, s.Hears, s.Sent, s.Received)
				for _, why := range []string{"malformed", "unknown", "forged", "replayed", "old", "misdirected", "flood", "refused"} {
					if n := s.Dropped[why]; n > 0 {
						fmt.Fprintf(w, "dropped as %s: %d\n", why, n)
					}
				}
			})
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	do := func(what, short string, tell func(name string, took float64) string) *cobra.Command {
		return &cobra.Command{
			Use: what + " NAME", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				var out map[string]float64
				return asked(cmd, "/v1/peers", admin.PeerRequest{Do: what, Name: args[0]}, &out, false, func(w *tabwriter.Writer) {
					fmt.Fprintln(w, tell(args[0], out["took_ms"]))
				})
			},
		}
	}
	cmd.AddCommand(show,
		do("ping", "Ask a member whether it is there", func(name string, took float64) string { return fmt.Sprintf("%s answered after %.1f ms", name, took) }),
		do("forget", "Drop a member that is gone, and its word", func(name string, _ float64) string { return name + " is forgotten" }))
	cmd.PersistentFlags().StringVar(&adminAddr, "admin", "", adminUsage)
	return cmd
}

func viewCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "view", Short: "What all processes know together of the servers", Args: cobra.NoArgs}
	var asJSON bool
	show := &cobra.Command{
		Use: "show [SERVER]", Short: "Show the view, or who says what of one server and how old that is", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/v1/view"
			if len(args) > 0 {
				path += "?server=" + url.QueryEscape(args[0])
			}
			var v admin.ViewResponse
			return asked(cmd, path, nil, &v, asJSON, func(w *tabwriter.Writer) {
				fmt.Fprintln(w, "server\tsaid by\tattempts/s\tfrom\tto\tfailing\tfrom\tto\toverdue\tp50 ms\tp90 ms\town part")
				for _, s := range v.Servers {
					fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\n", s.ID, s.Reporters, s.Load.Value, s.Load.Low, s.Load.High,
						s.Failing.Value, s.Failing.Low, s.Failing.High, s.Overdue.Value, s.P50, s.P90, s.OwnWeight)
					for _, r := range s.Said {
						fmt.Fprintf(w, "  %s\t%s\t%.1f\t\t\t%.2f\t\t\t\t%.0f\t%.0f\t%.1f s old\n", r.Name, r.Zone, r.Attempts, r.Failing, r.Latency.Quantile(0.5),
							r.Latency.Quantile(0.9), r.Age/1000)
					}
				}
				for _, h := range v.Heavy {
					fmt.Fprintf(w, "object %016x\t%d\t%.1f\t%.1f\t%.1f\n", h.Object, h.Reporters, h.Rate.Value, h.Rate.Low, h.Rate.High)
				}
			})
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	cmd.AddCommand(show)
	cmd.PersistentFlags().StringVar(&adminAddr, "admin", "", adminUsage)
	return cmd
}
