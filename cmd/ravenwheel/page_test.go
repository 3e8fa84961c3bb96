package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/scenario"
)

// pageScript makes a testscript of a page's examples, which are its blocks of sh: a line that begins with "$ " is a command, and
// the lines below it are the command's output. The function say that an example defines is defined for the examples after it.
func pageScript(page string) string {
	var run, files strings.Builder
	functions, n := "", 0
	for i, block := range strings.Split(page, "```") {
		if i%2 == 0 || !strings.HasPrefix(block, "sh\n") {
			continue
		}
		for _, part := range strings.Split(block, "\n$ ")[1:] {
			command, want, _ := strings.Cut(part, "\n")
			if strings.HasPrefix(command, "say() {") {
				functions = command + "; "
				continue
			}
			command, background := strings.CutSuffix(command, " &")
			fmt.Fprintf(&run, "exec bash -c '%s%s'", functions, strings.ReplaceAll(command, "'", "''"))
			if background {
				run.WriteString(" &\n")
				continue
			}
			n++
			fmt.Fprintf(&run, "\ncmp stdout want%d\n", n)
			fmt.Fprintf(&files, "-- want%d --\n%s\n", n, strings.TrimSuffix(want, "\n"))
		}
	}
	return run.String() + files.String()
}

// The examples of the operators' page on manual operations run as written, with the output that the page shows.
func TestManualOperationsPageExamples(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/hand.md")
	require.NoError(t, err)
	bin, listen, dir := buildProgram(t), freeAddr(t), t.TempDir()
	config := configFile(t, listen, "127.0.0.1:1", scenario.Listen(t).Addr())
	first := startProcess(t, bin, config, dir)
	first.awaitReady(t)
	next := freeAddr(t)
	scripts := t.TempDir()
	text := pageScript(string(page))
	require.Equal(t, 13, strings.Count(text, "exec bash"), "the number of examples on the page")
	require.NoError(t, os.WriteFile(filepath.Join(scripts, "hand.txt"), []byte(text), 0o600))
	testscript.Run(t, testscript.Params{Dir: scripts, Setup: func(e *testscript.Env) error {
		path := filepath.Dir(bin) + string(os.PathListSeparator) + os.Getenv("PATH")
		e.Vars = append(e.Vars, "PATH="+path, "LB_CONFIG="+config, "LB_CONSOLE="+first.console, "NEXT="+next, "TMPDIR="+dir)
		return nil
	}})
}
