// Command ravenlab tests and measures the proxy: it runs stand-in servers, clients and demonstrations on loopback, plays
// experiments in a simulator, and writes the capacity page. Commands only read flags and print results; the packages of
// internal/lab do the work.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{Use: "ravenlab", Short: "Stand-in servers, load and experiments for ravenwheel", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(
		fleetCommand(), loadCommand(), demoCommand(),
		runCommand(), sweepCommand(), reportCommand(), shrinkCommand(), validateCommand(),
		fieldCommand(), capacityCommand(), scaleCommand(),
	)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "ravenlab:", err)
		os.Exit(1)
	}
}

// baseName returns the name of a file without directory and extension.
func baseName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}

// createFile creates a file and calls write with it. It returns the errors of creating, writing and closing.
func createFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

// writeIndentedJSON writes a value as indented JSON with a final newline.
func writeIndentedJSON(path string, value any) error {
	encoded, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(encoded, '\n'), 0o644)
}
