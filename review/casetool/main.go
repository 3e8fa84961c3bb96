// Command casetool runs one case of the review: it starts the stand-ins and the steering proxies, makes the disruption unless
// TROUBLE is 0, and checks the rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is how long a case may run.
const limit = 110 * time.Second

var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casetool CASE FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	program, err := os.Executable() // review/bin/casetool
	if err != nil {
		rec.say("the case couldn't run: %v", err)
		return 2
	}
	w, err := newWorld(filepath.Join(filepath.Dir(program), "../.."), rec)
	if err != nil {
		rec.say("the case couldn't run: %v", err)
		return 2
	}
	defer w.close()
	// A reader of the output that leaves early must not end the program before it has cleaned up. (An ignored signal would be
	// inherited by the proxies.)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](w, trouble)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(limit):
		r.err = fmt.Errorf("not done after %s", limit)
	case <-stop:
		r.err = fmt.Errorf("ended by a signal")
	}
	switch {
	case r.broken:
		rec.say("the rule was broken")
		return 1
	case r.err != nil:
		rec.say("the case couldn't run: %v", r.err)
		return 2
	}
	rec.say("the rule held")
	return 0
}
