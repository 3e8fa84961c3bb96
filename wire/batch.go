// Package wire translates between lines of JSON and the types of package policy. It is the only package that maps the protocol's
// field names to the module's terms. It makes no decisions. golden_test.go checks the encoding.
package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"ravenwheel/policy"
)

// Start is the event that starts an instance of a router.
type Start struct {
	Seed     uint64
	Settings policy.Settings
}

// Stop is the event that stops an instance. The state of the instance is lost.
type Stop struct{}

// InstanceEvent is an event for one instance. Event is a Start, a Stop or a policy.Event.
type InstanceEvent struct {
	Instance int
	Event    any
}

// Batch is one input line: the events that occur at the same time.
type Batch struct {
	At     policy.Time
	Events []InstanceEvent
}

// EventError reports an event with a missing or invalid value.
type EventError struct {
	Event string // name of the event on the wire, or "without a name"
	Value string // name of the value
	Err   error  // why the value is invalid; nil: the value is missing
}

// Error implements error.
func (e *EventError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("event %s: %s is missing", e.Event, e.Value)
	}
	return fmt.Sprintf("event %s: %s: %v", e.Event, e.Value, e.Err)
}

// Unwrap returns the cause.
func (e *EventError) Unwrap() error { return e.Err }

// DecodeBatch decodes one line. Events with unknown names are skipped. If a value in an event is missing or invalid, the error is
// an *EventError.
func DecodeBatch(line []byte) (Batch, error) {
	var raw struct {
		At     *int64               `json:"AtTimeUs"`
		Events *[][]json.RawMessage `json:"events"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("invalid batch: %w", err)
	}
	if raw.At == nil || raw.Events == nil {
		return Batch{}, fmt.Errorf("invalid batch: AtTimeUs or events is missing")
	}
	batch := Batch{At: microseconds(*raw.At), Events: make([]InstanceEvent, 0, len(*raw.Events))}
	for _, message := range *raw.Events {
		event, known, err := decodeEvent(message)
		if err != nil {
			return Batch{}, err
		}
		if known {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// values decodes the values of one message in order. After the first error, which it stores, it decodes no further values.
type values struct {
	event string
	list  []json.RawMessage
	next  int
	err   error
}

// decode decodes the next value into the variable to which into points. If the value is absent or null, the variable does not
// change.
func (v *values) decode(into any, required bool, name string) {
	i := v.next
	v.next++
	if v.err != nil {
		return
	}
	if i >= len(v.list) || string(v.list[i]) == "null" {
		if required {
			v.err = &EventError{Event: v.event, Value: name}
		}
		return
	}
	if err := json.Unmarshal(v.list[i], into); err != nil {
		v.err = &EventError{Event: v.event, Value: name, Err: err}
	}
}

func (v *values) integer(name string, required bool) int64 {
	var n int64
	v.decode(&n, required, name)
	return n
}

func (v *values) float(name string) float64 {
	var f float64
	v.decode(&f, false, name)
	return f
}

func (v *values) text(name string, required bool) string {
	var s string
	v.decode(&s, required, name)
	return s
}

func (v *values) cache() policy.ServerID {
	var id uint64
	v.decode(&id, true, "Cache")
	return policy.ServerID(id)
}
