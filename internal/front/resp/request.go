package resp

import (
	"context"
	"math"
	"regexp"
	"strconv"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/memory"
	"ravenwheel/internal/resp"
)

// The commands of the protocol. Each is followed by a tag.
const (
	commandCall   = "RPC.CALL"   // opens a request
	commandCancel = "RPC.CANCEL" // cancels an open request; has no answer of its own
	commandHealth = "RPC.HEALTH" // asks whether the proxy is ready
)

// The first words of answers, after the tag.
const (
	answerOK       = "ok"
	answerFull     = "full"  // rejected and not executed
	answerFault    = "fault" // failed, or not a valid request
	answerReady    = "yes"
	answerNotReady = "no"
)

// maxValueBytes is the length of the longest text that a request keeps of a field.
const maxValueBytes = 64

// maxTagDigits is more than the digits of the largest tag.
const maxTagDigits = 20

// idDigits is the number of hexadecimal digits in the id of a request or an object.
const idDigits = 16

// The bounds of a request's fields.
const (
	maxWriteBytes = 48_000 // of the body of a write
	maxPart       = math.MaxUint16
	maxGroup      = 255
	maxSizeKB     = math.MaxInt32
	noGroup       = -1 // the request names no purge group
)

// opaqueValue is the form of values that are forwarded unchanged: the tags of copies and idempotency keys. Any other bytes could
// break the frame to a cache server, and with it a connection that other requests share.
var opaqueValue = regexp.MustCompile(`^[0-9A-Za-z_-]{0,64}$`)

// unstartedRequest is a request that was read and is not yet started.
type unstartedRequest struct {
	ctx     context.Context
	cancel  context.CancelFunc
	tag     string
	request core.Request
	memory  *memory.Reservation
}

// isTag reports whether b is a valid tag: a whole number above 0.
func isTag(b []byte) bool {
	n, err := strconv.ParseUint(string(b), 10, 63)
	return err == nil && n > 0
}

// isID reports whether s is an id of a request or an object: 16 hexadecimal digits.
func isID(s string) bool {
	if len(s) != idDigits {
		return false
	}
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil
}

// parseRequest parses the class, the fields and the body of a call that arrived at now, in ms of the clock. ok is false if one of
// them is invalid, or if the time left is missing: such a request must reach neither the policy nor a cache server.
func parseRequest(args [][]byte, now float64, h RequestHandler) (q core.Request, ok bool) {
	if len(args) < 2 {
		return q, false
	}
	class := h.ClassIndex(string(args[0]))
	if class < 0 {
		return q, false
	}
	settings := h.Settings().Classes[class]
	fields := requestFields{request: &q, now: now, maxBudget: clock.Ms(settings.Deadline)}
	q.Class, q.Group, q.Deadline = class, noGroup, now
	if !fields.parse(args[1]) {
		return q, false
	}
	maxBody := 0
	if settings.Uncached {
		maxBody = maxWriteBytes
	}
	if len(args) > 2 && len(args[2]) > maxBody {
		return q, false
	}
	ok = isID(q.ID) && isID(q.Object) && opaqueValue.MatchString(q.CachedTag) && opaqueValue.MatchString(q.IdempotencyKey) && q.Deadline > now
	if len(args) > 2 {
		q.Body = args[2]
	}
	return q, ok
}

// requestFields parses the fields of a request. What the request keeps of them is copied: a part of the text would keep all of it in
// memory.
type requestFields struct {
	request   *core.Request
	now       float64 // when the request arrived, in ms of the clock
	maxBudget float64 // ms
	invalid   bool    // a number is malformed or out of range
}

// parse parses a list of fields, and reports whether it is valid. Fields with other names are ignored; of several with the same name
// the last one counts.
func (p *requestFields) parse(list []byte) (ok bool) {
	fields := resp.NewFields(list)
	for field, ok := fields.Next(); ok; field, ok = fields.Next() {
		p.set(field)
	}
	return !p.invalid && !fields.Malformed()
}

// set sets the part of the request that a field stands for.
func (p *requestFields) set(field resp.Field) {
	q := p.request
	switch string(field.Name) {
	case "rid":
		q.ID = p.text(field.Value)
	case "obj":
		q.Object = p.text(field.Value)
	case "again":
		q.ClientRetry = string(field.Value) == "1"
	case "got":
		q.CachedTag = p.text(field.Value)
	case "token":
		q.IdempotencyKey = p.text(field.Value)
	case "nth":
		q.Part = int(p.number(field.Value, 0, maxPart))
	case "batch":
		q.Group = int(p.number(field.Value, 0, maxGroup))
	case "mem":
		q.SizeKB = p.number(field.Value, 0, maxSizeKB)
	case "budget":
		q.Deadline = p.now + p.number(field.Value, 1, p.maxBudget)
	}
}

// text returns a copy of a value that the request keeps.
func (p *requestFields) text(value []byte) string {
	if len(value) > maxValueBytes {
		p.invalid = true
		return ""
	}
	return string(value)
}

// number parses a number within inclusive bounds.
func (p *requestFields) number(value []byte, minimum, maximum float64) float64 {
	number, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(number >= minimum && number <= maximum) {
		p.invalid = true
		return 0
	}
	return number
}

// hasBody reports whether an answer brings an object.
func hasBody(a core.Answer) bool { return a.Verdict == core.Served && !a.NotModified }

// appendAnswerHead appends the frame of a final answer to b, up to the body if it has one.
func appendAnswerHead(b []byte, tag string, a core.Answer) []byte {
	const minBackoffMs = 1 // a shorter delay would be written as 0
	switch {
	case a.Verdict == core.Rejected && a.RetryAfter >= minBackoffMs:
		return resp.AppendFrame(b, tag, answerFull, "backoff="+strconv.Itoa(int(a.RetryAfter)))
	case a.Verdict == core.Rejected:
		return resp.AppendFrame(b, tag, answerFull)
	case a.Verdict == core.Failed:
		return resp.AppendFrame(b, tag, answerFault)
	case a.NotModified:
		return resp.AppendFrame(b, tag, answerOK, "ok304=1", "")
	}
	return resp.AppendBodyHead(b, len(a.Body), tag, answerOK, "")
}
