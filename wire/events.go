package wire

import (
	"encoding/json"
	"fmt"

	"ravenwheel/policy"
)

// The bits of the value StateBits of a request.
const (
	clientRetryBit = 2
	writeBit       = 4
)

// loadMetrics maps the names in a load report on the wire to the names in policy.LoadReport.
var loadMetrics = map[string]string{
	"busy_reqs": "inflight", "pending": "queue", "cpu_share": "util", "svc_ms": "latency",
	"served_ps": "served", "failed_ps": "errors", "x0": "hits", "x1": "link",
}

// results maps the texts of the value Rc to results. Any other text is policy.Unknown.
var results = map[string]policy.Result{
	"done": policy.OK, "err": policy.Failed, "busy": policy.Overloaded, "etimedout": policy.TimedOut,
	"econnrefused": policy.ConnectFailed, "econnreset": policy.Reset, "ecanceled": policy.Cancelled,
	"skipped": policy.Skipped, "enoent": policy.Miss,
}

var listKinds = map[string]policy.ListKind{
	"diff": policy.ListChanges, "snapshot": policy.ListFull, "disk": policy.ListCached, "error": policy.ListFailed,
}

// memberStates maps the letters of the value Condition to states. An unknown letter, which a later version of the protocol may
// have, counts as draining, since it is not known whether attempts may be sent to such a server.
var memberStates = map[string]policy.State{"U": policy.Ready, "L": policy.Draining, "D": policy.Gone}

// decoders has the decoder of each event by the name of the event. A decoder reads the values in their order on the wire.
var decoders = map[string]func(*values) any{
	"Boot":         decodeStart,
	"Detach":       func(*values) any { return Stop{} },
	"Targets":      decodeMembers,
	"Req":          decodeRequest,
	"UnderWay":     decodeStreamStarted,
	"Done":         decodeOutcome,
	"ClientLeft":   func(v *values) any { return policy.ClientLeft{ID: v.text("Txn", true)} },
	"TimeoutFired": decodeTimer,
	"Purged":       decodePurged,
}

func decodeEvent(message []json.RawMessage) (event InstanceEvent, known bool, err error) {
	v := &values{event: "without a name", list: message}
	v.event = v.text("name", true)
	if v.err != nil {
		return InstanceEvent{}, false, v.err
	}
	decode, known := decoders[v.event]
	if !known {
		return InstanceEvent{}, false, nil
	}
	instance := int(v.integer("Who", true))
	e := decode(v)
	return InstanceEvent{Instance: instance, Event: e}, true, v.err
}

func decodeStart(v *values) any {
	var start Start
	v.decode(&start.Seed, true, "Entropy")
	var raw json.RawMessage
	v.decode(&raw, true, "Env")
	if v.err != nil {
		return nil
	}
	settings, err := DecodeSettings(raw)
	if err != nil {
		v.err = &EventError{Event: v.event, Value: "Env", Err: err}
	}
	start.Settings = settings
	return start
}

func decodeMembers(v *values) any {
	kind := v.text("How", true)
	members := policy.Members{Kind: listKinds[kind], Version: v.integer("Rev", false)}
	if _, known := listKinds[kind]; !known && v.err == nil {
		v.err = &EventError{Event: v.event, Value: "How", Err: fmt.Errorf("unknown kind of list %q, want diff, snapshot, disk or error", kind)}
	}
	var hosts [][]json.RawMessage
	v.decode(&hosts, false, "Hosts")
	for _, host := range hosts {
		members.Entries = append(members.Entries, decodeMember(v, host))
	}
	return members
}

func decodeMember(parent *values, list []json.RawMessage) policy.Member {
	v := &values{event: parent.event, list: list}
	member := policy.Member{ID: v.cache(), Zone: int(v.integer("Hall", true)), Kind: int(v.integer("FamilyType", true))}
	member.Cell = int(v.integer("Pod", false))
	state, known := memberStates[v.text("Condition", true)]
	if !known {
		state = policy.Draining
	}
	member.State = state
	member.Weight = v.float("Share")
	member.Started = microseconds(v.integer("OnlineSinceUs", false))
	if parent.err == nil {
		parent.err = v.err
	}
	return member
}

func decodeRequest(v *values) any {
	request := policy.Request{ID: v.text("Txn", true), TimeLeft: microseconds(v.integer("RemainingUs", true))}
	bits := v.integer("StateBits", false)
	request.ClientRetry, request.Write = bits&clientRetryBit != 0, bits&writeBit != 0
	request.Part = int(v.float("Piece"))
	request.Tenant = int(v.integer("Customer", false))
	request.SizeKB = v.float("Kbytes")
	group := -1.0
	v.decode(&group, false, "SetNo")
	request.Group = int(group)
	request.Object = v.text("File", false)
	request.Class = int(v.integer("Class", true))
	request.KeyIssuer = policy.ClientKey // the simulator's events have no keys; all its clients send one where the class needs one
	return request
}

func decodeStreamStarted(v *values) any {
	started := policy.StreamStarted{ID: v.text("Txn", true), Attempt: int(v.integer("SendNo", true))}
	started.Latency = microseconds(v.integer("LagUs", false))
	started.Server = v.cache()
	return started
}

func decodeOutcome(v *values) any {
	outcome := policy.Outcome{ID: v.text("Txn", true)}
	v.decode(&outcome.Final, true, "Last")
	outcome.Latency = microseconds(v.integer("LagUs", false))
	outcome.Attempt = int(v.integer("SendNo", true))
	outcome.Server = v.cache()
	outcome.Note = policy.Note(v.integer("Note", false))
	outcome.Result = results[v.text("Rc", true)]
	outcome.SourceWait = microseconds(v.integer("WaitedUs", false))
	outcome.Load = decodeLoadReport(v)
	return outcome
}

// decodeLoadReport decodes the known metrics whose values are numbers and skips all others. It returns nil for an empty report.
func decodeLoadReport(v *values) policy.LoadReport {
	var raw map[string]json.RawMessage
	v.decode(&raw, false, "Stats")
	if len(raw) == 0 {
		return nil
	}
	report := policy.LoadReport{}
	for wireName, name := range loadMetrics {
		var number float64
		if value, ok := raw[wireName]; ok && json.Unmarshal(value, &number) == nil {
			report[name] = number
		}
	}
	return report
}

func decodeTimer(v *values) any {
	var timer policy.Timer
	v.decode(&timer.Token, true, "Mark")
	return timer
}

func decodePurged(v *values) any {
	group := int64(-1)
	v.decode(&group, false, "SetNo")
	purged := policy.Purged{Group: int(group), Object: v.text("File", false)}
	purged.Age = microseconds(v.integer("OldnessUs", true))
	return purged
}
