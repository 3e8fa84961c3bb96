// Command wirehost hosts one policy.Router for each instance and speaks JSON lines on standard input and
// output. It holds no decision.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"ravenwheel/policy"
	"ravenwheel/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve answers each line with one reply until the input ends.
func serve(in io.Reader, out io.Writer) error {
	host := host{routers: map[int]*policy.Router{}}
	lines := bufio.NewReaderSize(in, 1<<20)
	var reply []byte
	for n := 1; ; n++ {
		line, err := lines.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading line %d: %w", n, err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			batch, err := wire.DecodeBatch(line)
			if err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
			if reply, err = wire.EncodeReply(reply[:0], host.handle(batch)); err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
			if _, err := out.Write(reply); err != nil {
				return fmt.Errorf("writing the reply to line %d: %w", n, err)
			}
		}
		if err != nil {
			return nil
		}
	}
}

type host struct {
	routers map[int]*policy.Router
	acts    []policy.Action
}

func (h *host) handle(b wire.Batch) []wire.Acted {
	var out []wire.Acted
	for _, e := range b.Events {
		acts, err := h.one(b.At, e)
		for _, a := range acts {
			out = append(out, wire.Acted{Who: e.Who, Action: a})
		}
		if err != nil {
			delete(h.routers, e.Who)
			out = append(out, wire.Acted{Who: e.Who, Action: wire.Fault{Text: err.Error()}})
		}
	}
	return out
}

// one hands an event to its instance. A panic there is that instance's fault and nobody else's.
func (h *host) one(at policy.Time, e wire.Envelope) (acts []policy.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			acts, err = nil, fmt.Errorf("panic: %v", p)
		}
	}()
	switch x := e.Event.(type) {
	case wire.Boot:
		r, err := policy.New(x.Settings, x.Seed)
		if err != nil {
			return nil, fmt.Errorf("starting: %w", err)
		}
		h.routers[e.Who] = r
	case wire.Detach:
		delete(h.routers, e.Who)
	case policy.Event:
		if r := h.routers[e.Who]; r != nil {
			h.acts = r.Handle(at, x, h.acts[:0])
			return h.acts, nil
		}
	}
	return nil, nil
}
