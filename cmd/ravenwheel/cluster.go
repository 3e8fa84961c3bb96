package main

import (
	"errors"
	"fmt"
	"os"
	"os/user"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/config"
	"ravenwheel/internal/store"
)

const adminUsage = "the proxy's admin address: unix:PATH or HOST:PORT (default: the operator's file's)"

// asker is who asks a cluster: by the operator's file, or by a directory of keys, a name in it and an address.
type asker struct{ dir, name, at string }

func (a *asker) flags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&a.dir, "identity", "", "directory of ca.crt and NAME.crt, NAME.key (default: the operator's file's)")
	cmd.PersistentFlags().StringVar(&a.name, "as", "", "the name whose key is used")
	cmd.PersistentFlags().StringVar(&a.at, "at", "", "the address of a member")
}

// clusterWait bounds what a cluster is given to answer.
const clusterWait = 20 * time.Second

func (a *asker) ask(call store.Operation, name, addr string) (store.Status, error) {
	if operatorFile != "" {
		o, err := config.LoadOperatorFile(operatorFile)
		if err != nil {
			return store.Status{}, err
		}
		if a.dir == "" {
			a.dir = o.Store.Identity
		}
		if a.name == "" {
			a.name = o.Store.Name
		}
		if a.at == "" {
			a.at = o.Store.Listen
		}
	}
	if a.dir == "" || a.name == "" || a.at == "" {
		return store.Status{}, errors.New("name the operator's file with --operator, or --identity, --as and --at")
	}
	id, err := store.LoadIdentity(a.dir, a.name)
	if err != nil {
		return store.Status{}, err
	}
	return store.Request(id, a.at, call, name, addr, clusterWait)
}

func clusterCommand() *cobra.Command {
	a := &asker{}
	cmd := &cobra.Command{Use: "cluster", Short: "Look after the members of the store", Args: cobra.NoArgs}
	a.flags(cmd)
	say := func(cmd *cobra.Command, call store.Operation, name, addr, done string) error {
		if _, err := a.ask(call, name, addr); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), done)
		return nil
	}
	cmd.AddCommand(
		&cobra.Command{
			Use: "keys DIR CLUSTER MEMBER...", Short: "Issue certificates: the cluster's authority if DIR has none, and one for each member",
			Args: cobra.MinimumNArgs(3), RunE: func(cmd *cobra.Command, args []string) error {
				if _, err := os.Stat(filepath.Join(args[0], "ca.crt")); err != nil {
					if err := store.NewCluster(args[0], args[1]); err != nil {
						return err
					}
				}
				for _, name := range args[2:] {
					if err := store.Issue(args[0], name); err != nil {
						return err
					}
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: a member needs ca.crt and its own .crt and .key; keep ca.key away from all of them\n", args[0])
				return nil
			},
		},
		&cobra.Command{Use: "status", Short: "Show the members", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			st, err := a.ask(store.OpStatus, "", "")
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintf(w, "%s: %s in term %d, leader %s, applied %d of %d, configuration %d, heard of the leader %.0f ms ago\n",
				st.Name, st.State, st.Term, st.Leader, st.AppliedIndex, st.CommitIndex, st.ConfigRevision, st.StaleMs)
			for _, m := range st.Members {
				fmt.Fprintf(w, "%s\t%s\t%s\n", m.Name, m.Addr, map[bool]string{true: "votes", false: "learns"}[m.Voter])
			}
			return w.Flush()
		}},
		&cobra.Command{Use: "join NAME ADDR", Short: "Take a member in that listens there: it learns first, then votes", Args: cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				return say(cmd, store.OpJoin, args[0], args[1], "joined")
			}},
		&cobra.Command{Use: "remove NAME", Short: "Take a member out", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return say(cmd, store.OpRemove, args[0], "", "removed")
			}},
		&cobra.Command{Use: "transfer [NAME]", Short: "Have another member lead", Args: cobra.MaximumNArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return say(cmd, store.OpTransfer, append(args, "")[0], "", "transferred")
			}},
	)
	return cmd
}

// sharedConfig are the commands for the configuration that the store holds.
func sharedConfig() []*cobra.Command {
	get := func(cmd *cobra.Command) (c admin.ConfigResponse, addr string, err error) {
		if addr, err = adminAddress(); err == nil {
			err = admin.Call(addr, "/v1/config", nil, &c)
		}
		return c, addr, err
	}
	put := func(cmd *cobra.Command, addr string, c admin.ConfigRequest) error {
		if u, err := user.Current(); err == nil {
			c.By = u.Username
		}
		var out map[string]uint64
		if err := admin.Call(addr, "/v1/config", c, &out); err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "revision %d\n", out["revision"])
		return nil
	}
	var base int64
	set := &cobra.Command{
		Use: "set FILE", Short: "Put a text in force on all members, if the revision that it changes is still in force", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if _, err := config.ParseLive(args[0], string(raw)); err != nil {
				fmt.Fprintln(cmd.OutOrStdout(), err)
				return errDefects
			}
			c, addr, err := get(cmd)
			if err != nil {
				return err
			}
			if base >= 0 {
				c.InForce = uint64(base)
			}
			return put(cmd, addr, admin.ConfigRequest{Base: c.InForce, Text: string(raw)})
		},
	}
	set.Flags().Int64Var(&base, "base", -1, "the revision that is changed (default: the one in force)")
	var number uint64
	rollback := &cobra.Command{
		Use: "rollback REVISION", Short: "Make the text of an earlier revision that of a new one", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := fmt.Sscan(args[0], &number); err != nil || number == 0 {
				return fmt.Errorf("%q is no revision", args[0])
			}
			addr, err := adminAddress()
			if err != nil {
				return err
			}
			return put(cmd, addr, admin.ConfigRequest{Back: number})
		},
	}
	out := []*cobra.Command{
		{Use: "get", Short: "Show the revision in force", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			c, _, err := get(cmd)
			if err != nil {
				return err
			}
			if len(c.Revisions) == 0 {
				return errors.New("no revision yet: the operators' files alone are in force")
			}
			r := c.Revisions[len(c.Revisions)-1]
			fmt.Fprintf(cmd.OutOrStdout(), "// revision %d\n%s", r.Number, r.Text)
			return nil
		}},
		set, rollback,
		{Use: "history", Short: "Show the revisions that are kept", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			c, _, err := get(cmd)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			for _, r := range c.Revisions {
				of := ""
				if r.RollbackOf > 0 {
					of = fmt.Sprintf("as %d", r.RollbackOf)
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%d bytes\t%s\n", r.Number, time.UnixMilli(int64(r.CreatedAt)).UTC().Format(time.DateTime), r.Author, len(r.Text), of)
			}
			return w.Flush()
		}},
	}
	for _, c := range out {
		c.Flags().StringVar(&adminAddr, "admin", "", adminUsage)
	}
	return out
}

// handCommands are what operators do to servers beside their lists.
func handCommands() []*cobra.Command {
	drain := func(use, short string, on bool) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			addr, err := adminAddress()
			if err != nil {
				return err
			}
			var out admin.DrainRequest
			if err := admin.Call(addr, "/v1/drain", admin.DrainRequest{ID: args[0], On: on}, &out); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), args[0], map[bool]string{true: "drains", false: "is given back"}[on])
			return nil
		}}
	}
	push := &cobra.Command{
		Use: "push FILE", Short: "Give a list to all members of the store", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			addr, err := adminAddress()
			if err != nil {
				return err
			}
			var out map[string]float64
			if err := admin.Call(addr, "/v1/list", admin.PushListRequest{File: args[0], Text: string(raw)}, &out); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "generation %.0f, %.0f servers\n", out["generation"], out["servers"])
			return nil
		},
	}
	out := []*cobra.Command{
		drain("drain ID", "Drain a server by hand, whatever the lists say, until it is given back", true),
		drain("restore ID", "Give a server back that was drained by hand", false), push,
	}
	for _, c := range out {
		c.Flags().StringVar(&adminAddr, "admin", "", adminUsage)
	}
	return out
}
