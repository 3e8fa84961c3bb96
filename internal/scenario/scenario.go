// Package scenario provides the small script language for tests on real sockets, and the actors in those scripts: clients, fake
// servers, and a core between them under a manual clock. A line names an actor and what it does. A word that is expected may
// contain *, which matches anything. $id stands for the id in the message that the actor expected last. Only tests import the
// package, and they test it.
//
//	c send RPC.CALL 1 asset rid=...,budget=900,...
//	s1 expect fetch * lane=asset,*
//	s1 send $id served why=local,version=v1 BYTES
//	c expect 1 ok * BYTES
//	wait 250        advances the clock by 250 ms
//	c await closed  expects a message while the clock advances
//	c close
package scenario

import (
	"fmt"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
)

// Actor takes part in a scenario: it sends and receives messages when the script says so.
type Actor interface {
	Send(words []string) error
	// Receive returns the next message as words. The message is "closed" alone once no more can arrive.
	Receive() ([]string, error)
	Close() error
}

// Run runs a script. It ends the test at the first line that fails.
func Run(t *testing.T, clk *clock.Clock, actors map[string]Actor, script string) {
	t.Helper()
	lastIDs := map[string]string{} // by actor: the id in the last message that it expected
	for n, line := range strings.Split(script, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		location := fmt.Sprintf("line %d: %s", n+1, strings.TrimSpace(line))
		if words[0] == "wait" {
			var ms float64
			_, err := fmt.Sscan(words[1], &ms)
			require.NoError(t, err, location)
			clk.Advance(ms)
			continue
		}
		name, verb, args := words[0], words[1], words[2:]
		actor := actors[name]
		require.NotNil(t, actor, location)
		for i := range args {
			args[i] = strings.ReplaceAll(args[i], "$id", lastIDs[name])
		}
		switch verb {
		case "send":
			require.NoError(t, actor.Send(args), location)
		case "close":
			require.NoError(t, actor.Close(), location)
		case "expect", "await":
			got, err := receive(actor, clk, verb == "await")
			require.NoError(t, err, location)
			require.True(t, match(args, got), "%s: got %q", location, got)
			if len(got) > 1 {
				lastIDs[name] = got[1]
			}
		default:
			require.Fail(t, "unknown verb", location)
		}
	}
}

// receive returns an actor's next message. If advancing is set, the clock advances while receive waits.
func receive(actor Actor, clk *clock.Clock, advancing bool) ([]string, error) {
	if advancing {
		defer keepAdvancing(clk)()
	}
	return actor.Receive()
}

const (
	// awaitStep is how many ms the clock advances at a time while an actor awaits a message.
	awaitStep = 50
	// awaitInterval is the real time between two steps.
	awaitInterval = time.Millisecond
)

// keepAdvancing advances the clock until stop is called. It advances more than once, because a single step could come before the
// program has set the timer that is waited for.
func keepAdvancing(clk *clock.Clock) (stop func()) {
	stopping, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stopping:
				return
			case <-time.After(awaitInterval):
				clk.Advance(awaitStep)
			}
		}
	}()
	return func() { close(stopping); <-done }
}

// match reports whether a message matches the expected words, word by word.
func match(want, got []string) bool {
	if len(want) != len(got) {
		return false
	}
	for i := range want {
		// path.Match treats slashes as separators, which they are not here.
		ok, err := path.Match(strings.ReplaceAll(want[i], "/", "|"), strings.ReplaceAll(got[i], "/", "|"))
		if err != nil || !ok {
			return false
		}
	}
	return true
}
