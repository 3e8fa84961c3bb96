package resp

import (
	"bytes"
	"context"
	"math"
	"regexp"
	"strconv"
	"strings"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
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
	text, ok := resp.ParseFields(args[1])
	if !ok {
		return q, false
	}
	class := h.ClassIndex(string(args[0]))
	if class < 0 {
		return q, false
	}
	settings := h.Settings().Classes[class]
	fields := fieldReader{text: text, valid: true}
	q = core.Request{
		ID:    text["rid"],
		Class: class,
		// Cloned because the policy remembers objects for long: a substring would keep the text of all fields in memory.
		Object:         strings.Clone(text["obj"]),
		ClientRetry:    text["again"] == "1",
		CachedTag:      text["got"],
		IdempotencyKey: text["token"],
		Part:           int(fields.number("nth", 0, maxPart, 0)),
		Group:          int(fields.number("batch", 0, maxGroup, noGroup)),
		SizeKB:         fields.number("mem", 0, maxSizeKB, 0),
		Deadline:       now + fields.number("budget", 1, clock.Ms(settings.Deadline), 0),
	}
	if len(args) > 2 {
		q.Body = bytes.Clone(args[2])
	}
	maxBody := 0
	if settings.Uncached {
		maxBody = maxWriteBytes
	}
	ok = fields.valid && isID(q.ID) && isID(q.Object) && opaqueValue.MatchString(q.CachedTag) && opaqueValue.MatchString(q.IdempotencyKey)
	return q, ok && len(q.Body) <= maxBody && q.Deadline > now
}

// fieldReader parses numbers in fields. valid becomes false if one is malformed or out of range.
type fieldReader struct {
	text  map[string]string
	valid bool
}

// number parses a number within inclusive bounds. If the field is missing it returns absent, which need not be within the bounds.
// Once valid is false, the results have no meaning.
func (r *fieldReader) number(name string, minimum, maximum, absent float64) float64 {
	text, given := r.text[name]
	if !given {
		return absent
	}
	value, err := strconv.ParseFloat(text, 64)
	r.valid = r.valid && err == nil && value >= minimum && value <= maximum && !math.IsNaN(value)
	return value
}

// appendAnswer appends the frame of a final answer to b.
func appendAnswer(b []byte, tag string, a core.Answer) []byte {
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
	return resp.AppendFrameWithBody(b, a.Body, tag, answerOK, "")
}
