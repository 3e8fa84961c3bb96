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

// Bounds of a request's fields.
const (
	largestWrite = 48_000
	mostParts    = math.MaxUint16
	mostGroup    = 255
	mostSizeKB   = math.MaxInt32
)

// bare is the form of what is passed on as it came, the tags of copies and the clients' idempotency keys: anything else
// could break the frame to a cache that it is passed on in, and with it the connection that others share.
var bare = regexp.MustCompile(`^[0-9A-Za-z_-]{0,64}$`)

func isTag(b []byte) bool {
	n, err := strconv.ParseUint(string(b), 10, 63)
	return err == nil && n > 0
}

func isHex16(s string) bool {
	if len(s) != 16 {
		return false
	}
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil
}

// call is a request that was read and does not live yet.
type call struct {
	ctx    context.Context
	cancel context.CancelFunc
	tag    string
	q      core.Request
}

// readCall reads class, fields and body of a call that came at now. ok is false if any can't be used: no
// such request may reach the module or a cache.
func readCall(args [][]byte, now float64, d RequestHandler) (q core.Request, ok bool) {
	if len(args) < 2 {
		return q, false
	}
	f, ok := resp.ParseFields(args[1])
	if !ok {
		return q, false
	}
	number := func(name string, least, most, absent float64) float64 {
		s, given := f[name]
		if !given {
			return absent
		}
		v, err := strconv.ParseFloat(s, 64)
		ok = ok && err == nil && v >= least && v <= most && !math.IsNaN(v)
		return v
	}
	class := d.ClassIndex(string(args[0]))
	if class < 0 {
		return q, false
	}
	facts := d.Settings().Classes[class]
	q = core.Request{
		// The module remembers objects for long: as a part of the fields' text, each name would hold all of it.
		ID: f["rid"], Class: class, Object: strings.Clone(f["obj"]), ClientRetry: f["again"] == "1", CachedTag: f["got"], IdempotencyKey: f["token"],
		Part: int(number("nth", 0, mostParts, 0)), Group: int(number("batch", 0, mostGroup, -1)),
		SizeKB: number("mem", 0, mostSizeKB, 0), Deadline: now + number("budget", 1, clock.Ms(facts.Deadline), 0),
	}
	if len(args) > 2 {
		q.Body = bytes.Clone(args[2])
	}
	most := 0
	if facts.Uncached {
		most = largestWrite
	}
	usable := isHex16(q.ID) && isHex16(q.Object) && bare.MatchString(q.CachedTag) && bare.MatchString(q.IdempotencyKey) && len(q.Body) <= most
	return q, ok && usable && q.Deadline > now
}

// appendAnswer adds a final answer, as clients read it, to b.
func appendAnswer(b []byte, tag string, a core.Answer) []byte {
	switch {
	case a.Verdict == core.Rejected && a.RetryAfter >= 1:
		return resp.AppendFrame(b, tag, "full", "backoff="+strconv.Itoa(int(a.RetryAfter)))
	case a.Verdict == core.Rejected:
		return resp.AppendFrame(b, tag, "full")
	case a.Verdict == core.Failed:
		return resp.AppendFrame(b, tag, "fault")
	case a.NotModified:
		return resp.AppendFrame(b, tag, "ok", "ok304=1", "")
	}
	return resp.AppendFrameWithBody(b, a.Body, tag, "ok", "")
}
