package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
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

// systemResolver returns the system's resolver, which the proxy uses too.
func systemResolver() resolver.Backend { return net.DefaultResolver }

// errDefects is returned after the defects have been printed, one a line.
var errDefects = errors.New("defects")

// noResolve turns off the resolution of host names in lists: they are compared as they are written.
var noResolve bool

func serversCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "servers", Short: "Check, compare and show server lists", Args: cobra.NoArgs}
	check := &cobra.Command{
		Use: "check FILE|DIR...", Short: "Validate server lists; print a line file:line:col: reason for each defect and exit with 1",
		Args: cobra.MinimumNArgs(1), RunE: checkServers,
	}
	diff := &cobra.Command{
		Use: "diff OLD NEW", Short: "Show what changes when one list replaces another",
		Args: cobra.ExactArgs(2), RunE: diffServers,
	}
	for _, c := range []*cobra.Command{check, diff} {
		c.Flags().BoolVar(&noResolve, "no-resolve", false, "do not resolve host names; compare them as they are written")
	}
	show := &cobra.Command{
		Use: "show", Short: "Show the servers that a running proxy uses", Args: cobra.NoArgs, RunE: showServers,
	}
	drain := &cobra.Command{
		Use: "drain ID", Short: "Drain a server manually, whatever the lists say, until it is restored", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return drainServer(cmd, args[0], true, "drains") },
	}
	restore := &cobra.Command{
		Use: "restore ID", Short: "End the manual drain of a server", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return drainServer(cmd, args[0], false, "is given back")
		},
	}
	push := &cobra.Command{
		Use: "push FILE", Short: "Push a list to all members of the store", Args: cobra.ExactArgs(1), RunE: pushServers,
	}
	addAdminFlag(show, drain, restore, push)
	cmd.AddCommand(check, diff, show, drain, restore, push)
	return cmd
}

// listRequirements returns the requirements that lists are validated against: those of the operator's file if a standalone one is
// given, or else those that every site shares.
func listRequirements() (serverlist.Requirements, error) {
	requirements := serverlist.Requirements{ParentKind: "parent", OriginKind: "origin", OriginRequired: true}
	if operatorFile == "" {
		return requirements, nil
	}
	file, err := config.LoadOperatorFile(operatorFile)
	if err != nil || file.Proxy == nil {
		return requirements, err
	}
	conf, err := config.Read(os.Getenv, file)
	if err != nil {
		return requirements, err
	}
	return conf.ListRequirements(file.Servers.MaxDroppedFraction), nil
}

const (
	// checkResolveTTL and checkResolveTimeout, in ms, are for the host names in lists that are checked.
	checkResolveTTL     = 60_000
	checkResolveTimeout = 5000
)

// readList reads a list as the successor of previous (nil: none). The error holds the defects of the list.
func readList(path string, previous *serverlist.List, requirements serverlist.Requirements) (*serverlist.List, error) {
	files, err := filewatch.ReadFiles(path)
	if err != nil {
		return nil, strictjson.Defects{{File: path, Reason: err.Error()}}
	}
	parsed, defects := serverlist.Parse(files, requirements)
	if defects != nil {
		return nil, defects
	}
	if noResolve {
		return parsed.Unresolved(), nil
	}
	cache := &resolver.Cache{Backend: systemResolver(), Clock: clock.System(), TTL: checkResolveTTL, Timeout: checkResolveTimeout}
	list, defects := parsed.Resolve(cache.Resolve(parsed.Hosts()), previous)
	return list, defects.Err()
}

func checkServers(cmd *cobra.Command, paths []string) error {
	requirements, err := listRequirements()
	if err != nil {
		return err
	}
	failed := false
	for _, path := range paths {
		list, err := readList(path, nil, requirements)
		if err != nil {
			failed = true
			fmt.Fprintln(cmd.OutOrStdout(), err)
			continue
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: generation %d, %d servers\n", path, list.Generation, len(list.Servers))
	}
	if failed {
		return errDefects
	}
	return nil
}

func diffServers(cmd *cobra.Command, paths []string) error {
	requirements, err := listRequirements()
	if err != nil {
		return err
	}
	old, err := readList(paths[0], nil, requirements)
	var next *serverlist.List
	if err == nil {
		next, err = readList(paths[1], old, requirements)
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

func showServers(cmd *cobra.Command, _ []string) error {
	var response admin.ServersResponse
	if err := callAdmin("/v1/servers", nil, &response); err != nil {
		return err
	}
	printServers(cmd.OutOrStdout(), response)
	return nil
}

func printServers(out io.Writer, response admin.ServersResponse) {
	if list := response.List; list != nil {
		fmt.Fprintf(out, "list %s: generation %d in use, taken %d times, refused %d times\n", list.Path, list.Generation, list.Accepted, list.Rejected)
		for _, reason := range list.Reasons {
			fmt.Fprintln(out, "  not in use:", reason)
		}
	}
	fmt.Fprintf(out, "version %d\n", response.Version)
	table := newTable(out)
	fmt.Fprintln(table, "ID\tADDR\tZONE\tKIND\tPHASE\tWEIGHT\tFOR\tWHY")
	for _, s := range response.Servers {
		weight := fmt.Sprintf("%.4g", s.Weight)
		if s.Weight != s.TargetWeight {
			weight += fmt.Sprintf(" (to %.4g)", s.TargetWeight)
		}
		since := clock.Duration(response.NowMs - s.SinceMs).Round(time.Second)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.ID, s.Addr, s.Zone, s.Kind, s.Phase, weight, since, s.Reason)
	}
	_ = table.Flush()
}

// drainServer starts or ends the manual drain of a server, and prints the text done.
func drainServer(cmd *cobra.Command, id string, on bool, done string) error {
	var response admin.DrainRequest
	if err := callAdmin("/v1/drain", admin.DrainRequest{ID: id, On: on}, &response); err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), id, done)
	return nil
}

// pushServers puts a list into the store, and prints its generation.
func pushServers(cmd *cobra.Command, args []string) error {
	raw, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	var response struct {
		Generation float64 `json:"generation"`
		Servers    float64 `json:"servers"`
	}
	if err := callAdmin("/v1/list", admin.PushListRequest{File: args[0], Text: string(raw)}, &response); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "generation %.0f, %.0f servers\n", response.Generation, response.Servers)
	return nil
}

func purgeCommand() *cobra.Command {
	var object string
	var group int
	cmd := &cobra.Command{
		Use: "purge", Short: "Notify a running proxy that an object or a group has just been purged at the origin", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			request := admin.PurgeRequest{Object: object}
			if cmd.Flags().Changed("group") {
				request.Group = &group
			}
			var response struct {
				PurgedMs float64 `json:"purged_ms"`
			}
			if err := callAdmin("/v1/purge", request, &response); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "purged at %.0f\n", response.PurgedMs)
			return nil
		},
	}
	cmd.Flags().StringVar(&object, "object", "", "the object, 16 hexadecimal digits")
	cmd.Flags().IntVar(&group, "group", noGroup, "the group, 0 to 255")
	addAdminFlag(cmd)
	return cmd
}
