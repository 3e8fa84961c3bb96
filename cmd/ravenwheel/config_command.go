package main

import (
	"errors"
	"fmt"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/config"
)

// configPath is the admin path of the shared configuration.
const configPath = "/v1/config"

func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check operators' files, and show or change the configuration in the store", Args: cobra.NoArgs}
	get := &cobra.Command{Use: "get", Short: "Show the revision in force", Args: cobra.NoArgs, RunE: showRevision}
	rollback := &cobra.Command{
		Use: "rollback REVISION", Short: "Create a new revision with the text of an earlier one", Args: cobra.ExactArgs(1), RunE: rollbackConfig,
	}
	history := &cobra.Command{Use: "history", Short: "Show the revisions that the store keeps", Args: cobra.NoArgs, RunE: showRevisions}
	set := setConfigCommand()
	addAdminFlag(get, set, rollback, history)
	cmd.AddCommand(get, set, rollback, history, &cobra.Command{
		Use: "check FILE...", Short: "Validate operators' files; print a line file:line:col: reason for each defect and exit with 1",
		Args: cobra.MinimumNArgs(1), RunE: checkConfig,
	})
	return cmd
}

// checkConfig prints, for each operator's file, that it can be used or its defects.
func checkConfig(cmd *cobra.Command, paths []string) error {
	failed := false
	for _, path := range paths {
		file, err := config.LoadOperatorFile(path)
		if err != nil {
			failed = true
			fmt.Fprintln(cmd.OutOrStdout(), err)
			continue
		}
		use := "adds to the platform's configuration"
		if file.Proxy != nil {
			use = "stands alone"
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: can be used, %s\n", path, use)
	}
	if failed {
		return errDefects
	}
	return nil
}

// loadRevisions asks the proxy for the shared configuration.
func loadRevisions() (response admin.ConfigResponse, err error) {
	err = callAdmin(configPath, nil, &response)
	return response, err
}

func showRevision(cmd *cobra.Command, _ []string) error {
	response, err := loadRevisions()
	if err != nil {
		return err
	}
	if len(response.Revisions) == 0 {
		return errors.New("the store holds no revision yet; only the operators' files are in force")
	}
	newest := response.Revisions[len(response.Revisions)-1]
	fmt.Fprintf(cmd.OutOrStdout(), "// revision %d\n%s", newest.Number, newest.Text)
	return nil
}

func showRevisions(cmd *cobra.Command, _ []string) error {
	response, err := loadRevisions()
	if err != nil {
		return err
	}
	table := newTable(cmd.OutOrStdout())
	for _, r := range response.Revisions {
		rollback := ""
		if r.RollbackOf > 0 {
			rollback = fmt.Sprintf("as %d", r.RollbackOf)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%d bytes\t%s\n", r.Number, formatTime(r.CreatedAt), r.Author, len(r.Text), rollback)
	}
	return table.Flush()
}

func setConfigCommand() *cobra.Command {
	const inForce = -1 // any negative number stands for the revision in force
	var base int64
	cmd := &cobra.Command{
		Use: "set FILE", Short: "Put a text in force on all members, if the revision that it is based on is still in force", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readRevision(cmd, args[0])
			if err != nil {
				return err
			}
			response, err := loadRevisions()
			if err != nil {
				return err
			}
			request := admin.ConfigRequest{Base: response.InForce, Text: text}
			if base >= 0 {
				request.Base = uint64(base)
			}
			return changeConfig(cmd, request)
		},
	}
	cmd.Flags().Int64Var(&base, "base", inForce, "the revision that the text is based on (default: the one in force)")
	return cmd
}

// readRevision reads the text of a revision, and prints its defects.
func readRevision(cmd *cobra.Command, path string) (text string, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if _, err := config.ParseLive(path, string(raw)); err != nil {
		fmt.Fprintln(cmd.OutOrStdout(), err)
		return "", errDefects
	}
	return string(raw), nil
}

func rollbackConfig(cmd *cobra.Command, args []string) error {
	var revision uint64
	if _, err := fmt.Sscan(args[0], &revision); err != nil || revision == 0 {
		return fmt.Errorf("%q is not a revision number of 1 or more", args[0])
	}
	return changeConfig(cmd, admin.ConfigRequest{RollbackTo: revision})
}

// changeConfig proposes a revision with the current user as its author, and prints its number.
func changeConfig(cmd *cobra.Command, request admin.ConfigRequest) error {
	if author, err := user.Current(); err == nil {
		request.Author = author.Username
	}
	var response struct {
		Revision uint64 `json:"revision"`
	}
	if err := callAdmin(configPath, request, &response); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "revision %d\n", response.Revision)
	return nil
}
