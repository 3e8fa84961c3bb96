package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/control"
	"ravenwheel/internal/logs"
)

// The flags that say what the program is configured with.
var (
	operatorFile string // path of the operator's file; empty: none
	serversPath  string // of the watched server list, in place of the operator's file's; empty: that one
)

// environment is what each part of the program is started with.
type environment struct {
	file  *config.OperatorFile
	conf  *config.Config
	clock *clock.Clock
	log   *logs.Log // nil: nothing is logged
}

// readConfig reads the operator's file and the configuration of the proxy.
func readConfig() (*config.OperatorFile, *config.Config, error) {
	file, err := config.LoadOperatorFile(operatorFile)
	if err != nil {
		return nil, nil, err
	}
	if serversPath != "" {
		if file.Servers == nil {
			return nil, nil, errors.New("--servers: the operator's file sets up no servers")
		}
		file.Servers.Path = serversPath
	}
	conf, err := config.Read(os.Getenv, file)
	return file, conf, err
}

// newEnvironment reads the configuration, and starts the clock and the log.
func newEnvironment() (environment, error) {
	file, conf, err := readConfig()
	if err != nil {
		return environment{}, err
	}
	clk := clock.System()
	log, err := logs.New(os.Stderr, file.LogOptions, clk)
	return environment{file: file, conf: conf, clock: clk, log: log}, err
}

// check reads everything that serve would, and prints what it is.
func check(cmd *cobra.Command, _ []string) error {
	_, conf, err := readConfig()
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s on %s: %d classes, %d events known\n", conf.Name, conf.Listen, len(conf.Classes), len(conf.InitialEvents))
	return nil
}

// defaultSockets is the number of descriptors for connections where the configuration gives none.
const defaultSockets = 1024

// limitRuntime keeps the runtime within the limits of the configuration: its cores, and its memory less what the runtime does
// not count.
func limitRuntime(conf *config.Config) {
	if conf.Sockets <= 0 {
		conf.Sockets = defaultSockets
	}
	runtime.GOMAXPROCS(max(1, int(conf.Cores)))
	control.LimitMemory(conf.MemoryMB, false)
}

const (
	// assumedDeadline bounds the time until SIGKILL. At the earliest it follows SIGTERM after the longest deadline of a class, counted
	// as assumedDeadline at most, and killGraceMs: all is answered before. What is open even then is waited for until the longest
	// deadline, counted as assumedDeadline at least, and killGraceMs are nearly over.
	assumedDeadline = 3 * time.Second
	killGraceMs     = 700
	// answerMarginMs is the time that writing an answer takes, before SIGKILL.
	answerMarginMs = 150
)

// answerWithinMs is how long after SIGTERM, in ms, everything must be answered, as SIGKILL may follow: it comes after the longest
// deadline of a class, of which no more than assumedDeadline is relied on.
func answerWithinMs(conf *config.Config) float64 {
	return clock.Ms(min(longestDeadline(conf), assumedDeadline)) + killGraceMs - answerMarginMs
}

// maxRequestLifetime is how long a request may be open: the longest deadline of a class, assumedDeadline at least. While connections
// are open, the program does not end by itself before.
func maxRequestLifetime(conf *config.Config) time.Duration {
	return max(longestDeadline(conf), assumedDeadline)
}

// longestDeadline is the longest deadline of a class; 0: there are no classes.
func longestDeadline(conf *config.Config) (longest time.Duration) {
	for _, class := range conf.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
