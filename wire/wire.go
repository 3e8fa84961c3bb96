// Package wire translates between lines of JSON and the types of package policy. It decides nothing.
package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"ravenwheel/policy"
)

// Boot starts an instance.
type Boot struct {
	Seed     uint64
	Settings policy.Settings
}

// Detach ends an instance: everything it knew is void.
type Detach struct{}

// Envelope is one event and the instance it is for. Event is a Boot, a Detach or a policy.Event.
type Envelope struct {
	Who   int
	Event any
}

// Batch is one line in: the clock and the events that take place at that time.
type Batch struct {
	At     policy.Time
	Events []Envelope
}

// DecodeBatch reads one line. Events of unknown name are skipped; a missing or mistyped value is an
// error that names its event.
func DecodeBatch(line []byte) (Batch, error) {
	var raw struct {
		AtTimeUs *int64
		Events   *[][]json.RawMessage `json:"events"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("not a batch: %w", err)
	}
	if raw.AtTimeUs == nil || raw.Events == nil {
		return Batch{}, fmt.Errorf("not a batch: AtTimeUs or events is missing")
	}
	b := Batch{At: us(*raw.AtTimeUs), Events: make([]Envelope, 0, len(*raw.Events))}
	for _, m := range *raw.Events {
		e, known, err := decodeEvent(m)
		if err != nil {
			return Batch{}, err
		}
		if known {
			b.Events = append(b.Events, e)
		}
	}
	return b, nil
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// values reads the values of one message in order and keeps the first error.
type values struct {
	name string
	list []json.RawMessage
	at   int
	err  error
}

func (v *values) next(into any, required bool, what string) {
	i := v.at
	v.at++
	if v.err != nil {
		return
	}
	if i >= len(v.list) || string(v.list[i]) == "null" {
		if required {
			v.err = fmt.Errorf("event %s: %s is missing", v.name, what)
		}
		return
	}
	if err := json.Unmarshal(v.list[i], into); err != nil {
		v.err = fmt.Errorf("event %s: %s: %w", v.name, what, err)
	}
}

func (v *values) num(what string, required bool) int64 {
	var n int64
	v.next(&n, required, what)
	return n
}

func (v *values) float(what string) float64 {
	var f float64
	v.next(&f, false, what)
	return f
}

func (v *values) text(what string, required bool) string {
	var s string
	v.next(&s, required, what)
	return s
}

func (v *values) cache() policy.CacheID {
	var id uint64
	v.next(&id, true, "Cache")
	return policy.CacheID(id)
}

func (v *values) load() policy.LoadReport {
	var raw map[string]json.RawMessage
	v.next(&raw, false, "Stats")
	if len(raw) == 0 {
		return nil
	}
	l := policy.LoadReport{}
	for wireName, name := range loadNames {
		var f float64
		if m, ok := raw[wireName]; ok && json.Unmarshal(m, &f) == nil {
			l[name] = f
		}
	}
	return l
}

var loadNames = map[string]string{
	"busy_reqs": "inflight", "pending": "queue", "cpu_share": "util", "svc_ms": "latency",
	"served_ps": "served", "failed_ps": "errors", "x0": "hits", "x1": "link",
}

var results = map[string]policy.Result{
	"done": policy.OK, "err": policy.Failed, "busy": policy.Overloaded, "etimedout": policy.TimedOut,
	"econnrefused": policy.ConnectFailed, "econnreset": policy.Reset, "ecanceled": policy.Cancelled,
	"skipped": policy.Skipped, "enoent": policy.Miss,
}

var listKinds = map[string]policy.ListKind{
	"diff": policy.ListChanges, "snapshot": policy.ListFull, "disk": policy.ListCached, "error": policy.ListFailed,
}

func decodeEvent(m []json.RawMessage) (Envelope, bool, error) {
	v := &values{name: "without a name", list: m}
	v.name = v.text("name", true)
	if v.err != nil {
		return Envelope{}, false, v.err
	}
	decode, known := decoders[v.name]
	if !known {
		return Envelope{}, false, nil
	}
	who := int(v.num("Who", true))
	e := decode(v)
	return Envelope{Who: who, Event: e}, true, v.err
}

// The order of the calls in each decoder is the order of the values on the wire.
var decoders = map[string]func(*values) any{
	"Boot": func(v *values) any {
		var seed uint64
		v.next(&seed, true, "Entropy")
		var env json.RawMessage
		v.next(&env, true, "Env")
		if v.err != nil {
			return nil
		}
		s, err := DecodeSettings(env)
		if err != nil {
			v.err = fmt.Errorf("event Boot: Env: %w", err)
		}
		return Boot{Seed: seed, Settings: s}
	},
	"Detach": func(*values) any { return Detach{} },
	"Targets": func(v *values) any {
		how := v.text("How", true)
		e := policy.Members{Kind: listKinds[how], Version: v.num("Rev", false)}
		if _, ok := listKinds[how]; !ok && v.err == nil {
			v.err = fmt.Errorf("event Targets: How: unknown kind of list %q", how)
		}
		var hosts [][]json.RawMessage
		v.next(&hosts, false, "Hosts")
		for _, h := range hosts {
			e.Entries = append(e.Entries, decodeMember(v, h))
		}
		return e
	},
	"Req": func(v *values) any {
		e := policy.Request{ID: v.text("Txn", true), TimeLeft: us(v.num("RemainingUs", true))}
		bits := v.num("StateBits", false)
		e.ClientRetry, e.Write = bits&2 != 0, bits&4 != 0
		e.Part = int(v.float("Piece"))
		e.Tenant = int(v.num("Customer", false))
		e.SizeKB = v.float("Kbytes")
		group := -1.0
		v.next(&group, false, "SetNo")
		e.Group = int(group)
		e.Object = v.text("File", false)
		e.Class = int(v.num("Class", true))
		return e
	},
	"UnderWay": func(v *values) any {
		e := policy.StreamStarted{ID: v.text("Txn", true), Attempt: int(v.num("SendNo", true))}
		e.Latency = us(v.num("LagUs", false))
		e.Cache = v.cache()
		return e
	},
	"Done": func(v *values) any {
		e := policy.Outcome{ID: v.text("Txn", true)}
		v.next(&e.Final, true, "Last")
		e.Latency = us(v.num("LagUs", false))
		e.Attempt = int(v.num("SendNo", true))
		e.Cache = v.cache()
		e.Note = policy.Note(v.num("Note", false))
		e.Result = results[v.text("Rc", true)]
		e.SourceWait = us(v.num("WaitedUs", false))
		e.Load = v.load()
		return e
	},
	"ClientLeft":   func(v *values) any { return policy.ClientLeft{ID: v.text("Txn", true)} },
	"TimeoutFired": func(v *values) any { t := policy.Timer{}; v.next(&t.Token, true, "Mark"); return t },
	"Purged": func(v *values) any {
		group := int64(-1)
		v.next(&group, false, "SetNo")
		e := policy.Purged{Group: int(group), Object: v.text("File", false)}
		e.Age = us(v.num("OldnessUs", true))
		return e
	},
}

func decodeMember(v *values, list []json.RawMessage) policy.Member {
	h := &values{name: v.name, list: list}
	m := policy.Member{ID: h.cache(), Zone: int(h.num("Hall", true)), Kind: int(h.num("FamilyType", true))}
	m.Cell = int(h.num("Pod", false))
	switch c := h.text("Condition", true); c {
	case "U":
		m.State = policy.Ready
	case "L":
		m.State = policy.Draining
	case "D":
		m.State = policy.Gone
	default: // a state of a later version: nothing is known to be safe, so it counts as draining
		m.State = policy.Draining
	}
	m.Weight = h.float("Share")
	m.Started = us(h.num("OnlineSinceUs", false))
	if v.err == nil {
		v.err = h.err
	}
	return m
}

// EncodeReply appends the reply line to b: the actions of each instance in order.
func EncodeReply(b []byte, acts []Acted) ([]byte, error) {
	b = append(b, `{"outbox":[`...)
	for i, a := range acts {
		if i > 0 {
			b = append(b, ',')
		}
		row := encodeAction(a)
		if row == nil {
			return nil, fmt.Errorf("wire: action %T has no form on the wire", a.Action)
		}
		j, err := json.Marshal(row)
		if err != nil {
			return nil, fmt.Errorf("wire: action %T: %w", a.Action, err)
		}
		b = append(b, j...)
	}
	return append(b, "]}\n"...), nil
}

// Fault is the adapter's own action: the decision code of an instance has failed.
type Fault struct{ Text string }

// Acted is one action and the instance it comes from. Action is a policy.Action or a Fault.
type Acted struct {
	Who    int
	Action any
}

// timeout is an attempt's time-out on the wire, where 0 would mean that there is none.
func timeout(d time.Duration) int64 { return int64(d / time.Microsecond) }

func encodeAction(a Acted) []any {
	switch x := a.Action.(type) {
	case policy.Lookup:
		return []any{"Route", a.Who, x.ID, x.Cache, timeout(x.Timeout)}
	case policy.Fetch:
		return []any{"PullVia", a.Who, x.ID, timeout(x.MaxAge), x.Cache, x.RetainRank, timeout(x.Timeout), int(x.Options), x.Source}
	case policy.Cancel:
		return []any{"Withdraw", a.Who, x.ID, x.Attempt}
	case policy.Reject:
		return []any{"Deny", a.Who, x.ID, timeout(x.RetryAfter)}
	case policy.Fail:
		return []any{"Fail", a.Who, x.ID}
	case policy.SetTimer:
		// Rounded up: a timer never comes before its time.
		return []any{"After", a.Who, x.Token, int64((x.After + time.Microsecond - 1) / time.Microsecond)}
	case policy.Watch:
		return []any{"Tail", a.Who, x.On}
	case policy.Log:
		return []any{"Print", a.Who, x.Text}
	case Fault:
		return []any{"InternalError", a.Who, x.Text}
	}
	return nil
}
