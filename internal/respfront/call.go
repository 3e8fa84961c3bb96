package respfront

import (
	"bytes"
	"math"
	"strconv"

	"ravenwheel/internal/core"
	"ravenwheel/internal/resp"
)

// Bounds of a request's fields.
const (
	longestBudget = 600_000 // ms
	largestWrite  = 48_000
)

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

// readCall reads class, fields and body of a call that came at now. ok is false if any can't be used.
func readCall(args [][]byte, now float64, classOf func(string) int) (q core.Request, ok bool) {
	if len(args) < 2 {
		return q, false
	}
	f, ok := resp.Fields(args[1])
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
	q = core.Request{
		ID: f["rid"], Class: classOf(string(args[0])), Object: f["obj"], Repeat: f["again"] == "1", Holds: f["got"],
		Part: int(number("nth", 0, math.MaxInt32, 0)), Group: int(number("batch", 0, math.MaxUint16, -1)),
		SizeKB: number("mem", 0, math.MaxInt32, 0), Deadline: now + number("budget", 0, longestBudget, -1),
	}
	if len(args) > 2 {
		q.Body = bytes.Clone(args[2])
	}
	usable := q.Class >= 0 && isHex16(q.ID) && isHex16(q.Object) && q.Deadline >= now && len(q.Body) <= largestWrite
	return q, ok && usable
}

// appendAnswer adds a final answer, as clients read it, to b.
func appendAnswer(b []byte, tag string, a core.Answer) []byte {
	switch {
	case a.Verdict == core.Refused && a.Backoff >= 1:
		return resp.Append(b, tag, "full", "backoff="+strconv.Itoa(int(a.Backoff)))
	case a.Verdict == core.Refused:
		return resp.Append(b, tag, "full")
	case a.Verdict == core.Failed:
		return resp.Append(b, tag, "fault")
	case a.Same:
		return resp.Append(b, tag, "ok", "ok304=1", "")
	}
	return resp.AppendBody(b, a.Body, tag, "ok", "")
}
