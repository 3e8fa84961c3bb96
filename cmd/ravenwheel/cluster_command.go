package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ravenwheel/internal/config"
	"ravenwheel/internal/store"
)

// clusterTimeout is how long a cluster may take to answer a command.
const clusterTimeout = 20 * time.Second

// clusterClient sends operations to a member of the store. Fields that the flags leave empty are set from the operator's file.
type clusterClient struct {
	identityDir string // holds ca.crt, NAME.crt and NAME.key
	name        string // the member whose key is used
	addr        string // the address of the member that operations are sent to
}

func (c *clusterClient) addFlags(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&c.identityDir, "identity", "", "directory of ca.crt, NAME.crt and NAME.key (default: the one in the operator's file)")
	flags.StringVar(&c.name, "as", "", "the member whose key is used")
	flags.StringVar(&c.addr, "at", "", "the address of the member to ask")
}

// request carries out an operation on the cluster. name and addr are those of the member that the operation affects; they are empty
// if it affects none.
func (c *clusterClient) request(operation store.Operation, name, addr string) (store.Status, error) {
	if operatorFile != "" {
		file, err := config.LoadOperatorFile(operatorFile)
		if err != nil {
			return store.Status{}, err
		}
		c.identityDir = cmp.Or(c.identityDir, file.Store.Identity)
		c.name = cmp.Or(c.name, file.Store.Name)
		c.addr = cmp.Or(c.addr, file.Store.Listen)
	}
	if c.identityDir == "" || c.name == "" || c.addr == "" {
		return store.Status{}, errors.New("no member to ask: give the operator's file with --operator, or --identity, --as and --at")
	}
	identity, err := store.LoadIdentity(c.identityDir, c.name)
	if err != nil {
		return store.Status{}, err
	}
	return store.Request(identity, c.addr, operation, name, addr, clusterTimeout)
}

// run carries out an operation and prints the text done.
func (c *clusterClient) run(cmd *cobra.Command, operation store.Operation, name, addr, done string) error {
	if _, err := c.request(operation, name, addr); err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), done)
	return nil
}

func clusterCommand() *cobra.Command {
	client := &clusterClient{}
	cmd := &cobra.Command{Use: "cluster", Short: "Manage the members of the store", Args: cobra.NoArgs}
	client.addFlags(cmd)
	cmd.AddCommand(
		&cobra.Command{
			Use: "keys DIR CLUSTER MEMBER...", Short: "Issue certificates: a certificate authority for the cluster if DIR has none, and one for each member",
			Args: cobra.MinimumNArgs(3), RunE: issueKeys,
		},
		&cobra.Command{
			Use: "status", Short: "Show the members", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return client.showStatus(cmd.OutOrStdout()) },
		},
		&cobra.Command{
			Use: "join NAME ADDR", Short: "Add the member NAME, which listens at ADDR: it first copies the log, then votes", Args: cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				return client.run(cmd, store.OpJoin, args[0], args[1], "joined")
			},
		},
		&cobra.Command{
			Use: "remove NAME", Short: "Remove a member", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return client.run(cmd, store.OpRemove, args[0], "", "removed")
			},
		},
		&cobra.Command{
			Use: "transfer [NAME]", Short: "Transfer the leadership to another member", Args: cobra.MaximumNArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return client.run(cmd, store.OpTransfer, append(args, "")[0], "", "transferred")
			},
		},
	)
	return cmd
}

// issueKeys issues certificates into a directory: args are the directory, the cluster's name and those of the members.
func issueKeys(cmd *cobra.Command, args []string) error {
	dir, cluster, members := args[0], args[1], args[2:]
	if _, err := os.Stat(filepath.Join(dir, "ca.crt")); err != nil {
		if err := store.CreateAuthority(dir, cluster); err != nil {
			return err
		}
	}
	for _, name := range members {
		if err := store.IssueCertificate(dir, name); err != nil {
			return err
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: a member needs ca.crt and its own .crt and .key; do not copy ca.key to any member\n", dir)
	return nil
}

func (c *clusterClient) showStatus(out io.Writer) error {
	status, err := c.request(store.OpStatus, "", "")
	if err != nil {
		return err
	}
	w := newTable(out)
	fmt.Fprintf(w, "%s: %s in term %d, leader %s, applied %d of %d, configuration %d, last contact with the leader %.0f ms ago\n",
		status.Name, status.State, status.Term, status.Leader, status.AppliedIndex, status.CommitIndex, status.ConfigRevision, status.StaleMs)
	for _, member := range status.Members {
		role := "learns"
		if member.Voter {
			role = "votes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", member.Name, member.Addr, role)
	}
	return w.Flush()
}
