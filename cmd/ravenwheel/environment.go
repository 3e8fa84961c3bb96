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
	"ravenwheel/internal/memory"
)

// The flags that say what the program is configured with.
var (
	operatorFile string // path of the operator's file; empty: there is none
	serversPath  string // path of the watched server list; empty: the one in the operator's file
)

// environment is what each part of the program is started with.
type environment struct {
	file  *config.OperatorFile
	conf  *config.Config
	clock *clock.Clock
	log   *logs.Log // nil: nothing is logged
	// memory is what clients, servers and operators can make the process hold; nil: not limited.
	memory *memory.Account
}

// readConfig reads the operator's file and the configuration of the proxy.
func readConfig() (*config.OperatorFile, *config.Config, error) {
	file, err := config.LoadOperatorFile(operatorFile)
	if err != nil {
		return nil, nil, err
	}
	if serversPath != "" {
		if file.Servers == nil {
			return nil, nil, errors.New("--servers: the operator's file has no servers section in which to replace the list")
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
	return environment{file: file, conf: conf, clock: clk, log: log, memory: memoryLimits(conf).NewAccount()}, err
}

// check reads the configuration that serve would use, and prints a summary of it.
func check(cmd *cobra.Command, _ []string) error {
	_, conf, err := readConfig()
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s on %s: %d classes, %d initial events of discovery\n", conf.Name, conf.Listen, len(conf.Classes), len(conf.InitialEvents))
	return nil
}

// memoryLimits returns how much memory the process may use.
func memoryLimits(conf *config.Config) control.Limits {
	return control.Limits{MemoryMB: conf.MemoryMB, Handover: conf.HandoverDir != ""}
}

// defaultSockets is the number of descriptors for connections if the configuration gives none.
const defaultSockets = 1024

// limitRuntime limits the Go runtime to the configured cores, and to the configured memory less what the runtime does not account
// for.
func limitRuntime(env environment) {
	conf := env.conf
	if conf.Sockets <= 0 {
		conf.Sockets = defaultSockets
	}
	runtime.GOMAXPROCS(max(1, int(conf.Cores)))
	memoryLimits(conf).Apply(false, env.memory)
}

const (
	// assumedDeadline bounds the assumed time of SIGKILL. The earliest SIGKILL follows SIGTERM after the longest deadline of a
	// class, counted as at most assumedDeadline, plus killGraceMs: all requests are answered before it. The latest SIGKILL follows
	// after the longest deadline, counted as at least assumedDeadline, plus killGraceMs: the process waits for what is still open
	// until shortly before it.
	assumedDeadline = 3 * time.Second
	killGraceMs     = 700
	// answerMarginMs is the time before SIGKILL that is left for writing an answer.
	answerMarginMs = 150
)

// answerWithinMs returns how long after SIGTERM, in ms, every request must be answered, because SIGKILL may follow. SIGKILL comes
// after the longest deadline of a class, of which no more than assumedDeadline is relied on.
func answerWithinMs(conf *config.Config) float64 {
	return clock.Ms(min(longestDeadline(conf), assumedDeadline)) + killGraceMs - answerMarginMs
}

// maxRequestLifetime returns how long a request may be open: the longest deadline of a class, but at least assumedDeadline. While
// connections are open, the program does not end by itself earlier than that.
func maxRequestLifetime(conf *config.Config) time.Duration {
	return max(longestDeadline(conf), assumedDeadline)
}

// longestDeadline returns the longest deadline of a class, or 0 if there are no classes.
func longestDeadline(conf *config.Config) (longest time.Duration) {
	for _, class := range conf.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
