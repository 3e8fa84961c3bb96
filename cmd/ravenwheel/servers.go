package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
	"ravenwheel/internal/strictjson"
)

// systemResolver asks the system for names, as the program that serves does.
func systemResolver() resolver.Backend { return net.DefaultResolver }

// errDefects: they have been printed, a line each.
var errDefects = errors.New("defects")

var (
	noResolve bool   // names are compared as they are written
	adminAddr string // of the proxy to ask
)

func serversCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "servers", Short: "Check, compare and show server lists", Args: cobra.NoArgs}
	check := &cobra.Command{
		Use: "check FILE|DIR...", Short: "Say whether lists can be used: a line file:line:col: reason a defect, and exit 1",
		Args: cobra.MinimumNArgs(1), RunE: checkServers,
	}
	diff := &cobra.Command{
		Use: "diff OLD NEW", Short: "Say what taking one list after another does",
		Args: cobra.ExactArgs(2), RunE: diffServers,
	}
	show := &cobra.Command{
		Use: "show", Short: "Show the servers that a running proxy uses", Args: cobra.NoArgs, RunE: showServers,
	}
	for _, c := range []*cobra.Command{check, diff} {
		c.Flags().BoolVar(&noResolve, "no-resolve", false, "do not look names up: compare them as they are written")
	}
	show.Flags().StringVar(&adminAddr, "admin", "", "the proxy's admin address: unix:PATH or HOST:PORT (default: the operator's file's)")
	cmd.AddCommand(check, diff, show)
	cmd.AddCommand(handCommands()...)
	return cmd
}

// listFacts are those of the operator's file where it is given, else what every site shares.
func listFacts() (serverlist.Requirements, error) {
	facts := serverlist.Requirements{ParentKind: "parent", OriginKind: "origin", Writes: true}
	if operatorFile == "" {
		return facts, nil
	}
	o, err := config.LoadOperatorFile(operatorFile)
	if err != nil || o.Proxy == nil {
		return facts, err
	}
	conf, err := config.Read(os.Getenv, o)
	if err != nil {
		return facts, err
	}
	return conf.ListFacts(o.Servers.MaxDroppedFraction), nil
}

// readList reads one list. Its defects are an error that lists them.
func readList(path string, old *serverlist.List, facts serverlist.Requirements) (*serverlist.List, error) {
	files, err := filewatch.ReadFiles(path)
	if err != nil {
		return nil, strictjson.Defects{{File: path, Reason: err.Error()}}
	}
	d, bad := serverlist.Parse(files, facts)
	if bad != nil {
		return nil, bad
	}
	if noResolve {
		return d.Unresolved(), nil
	}
	cache := &resolver.Cache{Backend: systemResolver(), Clock: clock.System(), TTL: 60_000, Timeout: 5000}
	set, bad := d.Resolve(cache.Resolve(d.Hosts()), old)
	return set, bad.Err()
}

func checkServers(cmd *cobra.Command, paths []string) error {
	facts, err := listFacts()
	if err != nil {
		return err
	}
	failed := false
	for _, path := range paths {
		set, err := readList(path, nil, facts)
		if err != nil {
			failed = true
			fmt.Fprintln(cmd.OutOrStdout(), err)
			continue
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: generation %d, %d servers\n", path, set.Generation, len(set.Servers))
	}
	if failed {
		return errDefects
	}
	return nil
}

func diffServers(cmd *cobra.Command, paths []string) error {
	facts, err := listFacts()
	if err != nil {
		return err
	}
	old, err := readList(paths[0], nil, facts)
	var next *serverlist.List
	if err == nil {
		next, err = readList(paths[1], old, facts)
	}
	if err != nil {
		fmt.Fprintln(cmd.OutOrStdout(), err)
		return errDefects
	}
	changes := serverlist.Diff(old, next)
	for _, c := range changes {
		fmt.Fprintf(cmd.OutOrStdout(), "%s %s: %s\n", serverlist.FormatID(c.ID), c.Kind, c.Text)
	}
	if len(changes) == 0 {
		fmt.Fprintln(cmd.OutOrStdout(), "nothing changes")
	}
	return nil
}

func adminAddress() (string, error) {
	if adminAddr != "" {
		return adminAddr, nil
	}
	o, err := config.LoadOperatorFile(operatorFile)
	if err != nil {
		return "", err
	}
	if o.Admin == nil {
		return "", errors.New("name the proxy's admin address with --admin, or its file with --operator")
	}
	return o.Admin.Listen, nil
}

func showServers(cmd *cobra.Command, _ []string) error {
	addr, err := adminAddress()
	if err != nil {
		return err
	}
	var s admin.ServersResponse
	if err := admin.Call(addr, "/v1/servers", nil, &s); err != nil {
		return err
	}
	show(cmd.OutOrStdout(), s)
	return nil
}

func show(w io.Writer, s admin.ServersResponse) {
	if l := s.List; l != nil {
		fmt.Fprintf(w, "list %s: generation %d in use, taken %d times, refused %d times\n", l.Path, l.Generation, l.Accepted, l.Rejected)
		for _, why := range l.Reasons {
			fmt.Fprintln(w, "  not in use:", why)
		}
	}
	fmt.Fprintf(w, "version %d\n", s.Version)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ID\tADDR\tZONE\tKIND\tPHASE\tWEIGHT\tFOR\tWHY")
	for _, x := range s.Servers {
		weight := fmt.Sprintf("%.4g", x.Weight)
		if x.Weight != x.Wanted {
			weight += fmt.Sprintf(" (to %.4g)", x.Wanted)
		}
		since := clock.Duration(s.NowMs - x.Since).Round(time.Second)
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", x.ID, x.Addr, x.Zone, x.Kind, x.Phase, weight, since, x.Why)
	}
	_ = t.Flush()
}

func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check configuration, and change what the store holds of it", Args: cobra.NoArgs}
	cmd.AddCommand(sharedConfig()...)
	cmd.AddCommand(&cobra.Command{
		Use: "check FILE...", Short: "Say whether operators' files can be used: a line file:line:col: reason a defect, and exit 1",
		Args: cobra.MinimumNArgs(1), RunE: checkConfig,
	})
	return cmd
}

func checkConfig(cmd *cobra.Command, paths []string) error {
	failed := false
	for _, path := range paths {
		o, err := config.LoadOperatorFile(path)
		if err != nil {
			failed = true
			fmt.Fprintln(cmd.OutOrStdout(), err)
			continue
		}
		what := "goes with what the platform tells"
		if o.Proxy != nil {
			what = "stands alone"
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: can be used, %s\n", path, what)
	}
	if failed {
		return errDefects
	}
	return nil
}

func purgeCommand() *cobra.Command {
	var object string
	var group int
	cmd := &cobra.Command{
		Use: "purge", Short: "Tell a running proxy that an object or a group was purged at the origin just now", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addr, err := adminAddress()
			if err != nil {
				return err
			}
			p := admin.PurgeRequest{Object: object}
			if cmd.Flags().Changed("group") {
				p.Group = &group
			}
			var out map[string]float64
			if err := admin.Call(addr, "/v1/purge", p, &out); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "purged at %.0f\n", out["purged_ms"])
			return nil
		},
	}
	cmd.Flags().StringVar(&object, "object", "", "the object, 16 hexadecimal digits")
	cmd.Flags().IntVar(&group, "group", -1, "the group, 0 to 255")
	cmd.Flags().StringVar(&adminAddr, "admin", "", "the proxy's admin address: unix:PATH or HOST:PORT (default: the operator's file's)")
	return cmd
}
