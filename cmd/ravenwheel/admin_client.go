package main

import (
	"encoding/json"
	"errors"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/config"
)

// adminAddr is the admin address of the proxy that a command is for; empty: the one in the operator's file.
var adminAddr string

const adminUsage = "the proxy's admin address: unix:PATH or HOST:PORT (default: the one in the operator's file)"

// addAdminFlag adds --admin to commands.
func addAdminFlag(commands ...*cobra.Command) {
	for _, cmd := range commands {
		cmd.Flags().StringVar(&adminAddr, "admin", "", adminUsage)
	}
}

// adminAddress returns the admin address of the flag, or else that of the operator's file.
func adminAddress() (string, error) {
	if adminAddr != "" {
		return adminAddr, nil
	}
	file, err := config.LoadOperatorFile(operatorFile)
	if err != nil {
		return "", err
	}
	if file.Admin == nil {
		return "", errors.New("no admin address: give it with --admin, or with --operator an operator's file that sets one")
	}
	return file.Admin.Listen, nil
}

// callAdmin sends a request to the proxy's admin address, and decodes the answer into response. A nil request is a GET.
func callAdmin(path string, request, response any) error {
	addr, err := adminAddress()
	if err != nil {
		return err
	}
	return admin.Call(addr, path, request, response)
}

// printAnswer calls the admin address and prints the answer as JSON, or as a table that printTable writes.
func printAnswer(out io.Writer, path string, response any, asJSON bool, printTable func(*tabwriter.Writer)) error {
	if err := callAdmin(path, nil, response); err != nil {
		return err
	}
	if asJSON {
		return printJSON(out, response)
	}
	table := newTable(out)
	printTable(table)
	return table.Flush()
}

func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// newTable returns a writer that aligns columns separated by tabs.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0) }

// formatTime formats a time in Unix ms as UTC.
func formatTime(ms float64) string { return time.UnixMilli(int64(ms)).UTC().Format(time.DateTime) }
