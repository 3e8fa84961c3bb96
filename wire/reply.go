package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"ravenwheel/policy"
)

// InternalError is an action of the host, not of a router: it reports that an instance has failed and is stopped.
type InternalError struct{ Text string }

// InstanceAction is an action of one instance. Action is a policy.Action or an InternalError.
type InstanceAction struct {
	Instance int
	Action   any
}

// EncodeReply appends a reply line with the actions, in order, to b. It fails if an Action has another type than InstanceAction
// allows.
func EncodeReply(b []byte, actions []InstanceAction) ([]byte, error) {
	b = append(b, `{"outbox":[`...)
	for i, action := range actions {
		if i > 0 {
			b = append(b, ',')
		}
		message := encodeAction(action)
		if message == nil {
			return nil, fmt.Errorf("wire: no encoding for an action of type %T", action.Action)
		}
		encoded, err := json.Marshal(message)
		if err != nil {
			return nil, fmt.Errorf("wire: encoding an action of type %T: %w", action.Action, err)
		}
		b = append(b, encoded...)
	}
	return append(b, "]}\n"...), nil
}

// encodeAction returns the values of an action in their order on the wire, or nil if the action has no encoding.
func encodeAction(action InstanceAction) []any {
	instance := action.Instance
	switch a := action.Action.(type) {
	case policy.Lookup:
		return []any{"Route", instance, a.ID, a.Server, wholeMicroseconds(a.Timeout)}
	case policy.Fetch:
		return []any{
			"PullVia", instance, a.ID, wholeMicroseconds(a.MaxAge), a.Server, a.RetainRank, wholeMicroseconds(a.Timeout),
			int(a.Options), a.Source,
		}
	case policy.Cancel:
		return []any{"Withdraw", instance, a.ID, a.Attempt}
	case policy.Reject:
		return []any{"Deny", instance, a.ID, wholeMicroseconds(a.RetryAfter)}
	case policy.Fail:
		return []any{"Fail", instance, a.ID}
	case policy.SetTimer:
		// Rounded up, so that a timer never fires early.
		return []any{"After", instance, a.Token, wholeMicroseconds(a.After + time.Microsecond - 1)}
	case policy.Watch:
		return []any{"Tail", instance, a.On}
	case policy.Log:
		return []any{"Print", instance, a.Text}
	case InternalError:
		return []any{"InternalError", instance, a.Text}
	}
	return nil
}

// wholeMicroseconds returns a duration in microseconds, rounded down.
func wholeMicroseconds(d time.Duration) int64 { return int64(d / time.Microsecond) }
