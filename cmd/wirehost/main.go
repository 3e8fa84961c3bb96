// Command wirehost runs the instances of policy.Router for the simulator. It reads batches of events, a line of JSON each, from
// standard input, and writes a line with the resulting actions for each batch to standard output. It makes no decisions.
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

// readBufferSize is the size of the input buffer in bytes. Lines may be longer.
const readBufferSize = 1 << 20

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve writes one reply line for each input line until the input ends. It skips empty lines.
func serve(in io.Reader, out io.Writer) error {
	host := newHost()
	lines := bufio.NewReaderSize(in, readBufferSize)
	for number := 1; ; number++ {
		line, err := lines.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading line %d: %w", number, err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			if err := host.answer(line, out); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
		}
		if err != nil {
			return nil
		}
	}
}

// host holds the running instances.
type host struct {
	routers map[int]*policy.Router
	actions []policy.Action // reused for each event
	reply   []byte          // reused for each line
}

func newHost() *host { return &host{routers: map[int]*policy.Router{}} }

// answer decodes one line, passes its events to their instances and writes the reply.
func (h *host) answer(line []byte, out io.Writer) error {
	batch, err := wire.DecodeBatch(line)
	if err != nil {
		return err
	}
	if h.reply, err = wire.EncodeReply(h.reply[:0], h.handle(batch)); err != nil {
		return err
	}
	if _, err := out.Write(h.reply); err != nil {
		return fmt.Errorf("writing the reply: %w", err)
	}
	return nil
}

func (h *host) handle(batch wire.Batch) []wire.InstanceAction {
	var out []wire.InstanceAction
	for _, event := range batch.Events {
		actions, err := h.handleEvent(batch.At, event)
		for _, action := range actions {
			if _, ok := action.(policy.StopTimer); ok {
				continue // the wire has no such action, and the router ignores the timer
			}
			out = append(out, wire.InstanceAction{Instance: event.Instance, Action: action})
		}
		if err != nil {
			delete(h.routers, event.Instance)
			failure := wire.InternalError{Text: err.Error()}
			out = append(out, wire.InstanceAction{Instance: event.Instance, Action: failure})
		}
	}
	return out
}

// handleEvent passes an event to its instance. An error concerns this instance alone; a panic of the instance is returned as an
// error too. The actions are valid until the next call.
func (h *host) handleEvent(at policy.Time, event wire.InstanceEvent) (actions []policy.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			actions, err = nil, fmt.Errorf("panic: %v", p)
		}
	}()
	switch e := event.Event.(type) {
	case wire.Start:
		router, err := policy.New(e.Settings, e.Seed)
		if err != nil {
			return nil, fmt.Errorf("starting: %w", err)
		}
		h.routers[event.Instance] = router
	case wire.Stop:
		delete(h.routers, event.Instance)
	case policy.Event:
		if router := h.routers[event.Instance]; router != nil {
			h.actions = router.Handle(at, e, h.actions[:0])
			return h.actions, nil
		}
	}
	return nil, nil
}
