package upstream

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"ravenwheel/internal/core"
	"ravenwheel/internal/resp"
	"ravenwheel/policy"
)

// frameCapacity, in bytes, is the initial capacity for the fields of a frame. It is enough for most attempts.
const frameCapacity = 160

// maxVersionBytes bounds the version of a copy.
const maxVersionBytes = 256

// maxNumber bounds the numbers in an answer. For times in ms it is about half an hour.
const maxNumber = 2e6

// fillOptionNames are the values of the field "handle", in the order in which they are written.
var fillOptionNames = []struct {
	option policy.FillOptions
	name   string
}{
	{policy.Coalesce, "coalesce"}, {policy.CachedOnly, "shallow"}, {policy.ParentPassThrough, "transit"},
	{policy.RefreshInBackground, "freshen"},
}

// noteNames are the values of the field "why", in the order of the policy.Note constants, beginning with NoteHit.
var noteNames = []string{
	"local", "pulled", "pulled_far", "rode", "expired", "turned_away", "cut_off", "not_there", "no_place", "far_fault",
}

// notModifiedStatus is the status of an answer which says that the client's copy is current.
const notModifiedStatus = "still_good"

// statusResults maps the status of an answer to its result. "green" and "red" answer a health check. Any other status is
// policy.Unknown.
var statusResults = map[string]policy.Result{
	"served": policy.OK, notModifiedStatus: policy.OK, "not_here": policy.Miss, "overload": policy.Overloaded,
	"crashed": policy.Failed, "nobody": policy.Skipped, "green": policy.OK, "red": policy.Failed,
}

// loadMetrics maps the names in the field "rep" to those of policy.LoadReport.
var loadMetrics = map[string]string{
	"inflight": "inflight", "queue": "queue", "util": "util", "latency_ms": "latency", "qps": "served",
	"eps": "errors", "x0": "hits", "x1": "link",
}

// serverName returns the form of a server's id in a frame.
func serverName(id policy.ServerID) string {
	return "s-" + hex.EncodeToString(binary.BigEndian.AppendUint32(nil, uint32(id)))
}

// appendFrame appends the frame of an attempt to b. now, in ms of the clock, determines the time left in the frame. Times in the
// frame are in whole ms. Fields that do not apply are omitted.
func appendFrame(b []byte, a *core.Attempt, now float64) []byte {
	fields := append(make([]byte, 0, frameCapacity), "lane="...)
	fields = append(fields, a.Class...)
	add := func(name, value string) {
		fields = append(fields, ',')
		fields = append(fields, name...)
		fields = append(fields, '=')
		fields = append(fields, value...)
	}
	add("name", a.Object)
	add("piece", strconv.Itoa(a.Part))
	add("ttl", strconv.Itoa(max(1, int(a.Deadline-now))))
	if a.Source != a.Server {
		add("fetch", serverName(a.Source))
	}
	if a.RetainRank > 0 {
		add("retain", strconv.Itoa(a.RetainRank))
	}
	if a.MaxAge > 0 {
		// Rounded down, since a copy must not be older than MaxAge, but not to 0, which stands for the limit of the class.
		add("newer", strconv.Itoa(max(1, int(a.MaxAge))))
	}
	if options := optionNames(a.Options); len(options) > 0 {
		add("handle", strings.Join(options, "+"))
	}
	if a.CachedTag != "" {
		add("holds", a.CachedTag)
	}
	if a.IdempotencyKey != "" {
		add("dedupe", a.IdempotencyKey)
	}
	return resp.AppendFrameWithBody(b, a.Body, "fetch", a.ID, string(fields))
}

func optionNames(options policy.FillOptions) (names []string) {
	for _, o := range fillOptionNames {
		if options&o.option != 0 {
			names = append(names, o.name)
		}
	}
	return names
}

// decodeAnswer decodes the parts of an answer: id, status, fields and body. Fields and body may be absent. The body is a slice of
// the part. The error is resp.ErrMalformed.
func decodeAnswer(parts [][]byte) (id string, outcome core.Outcome, err error) {
	if len(parts) < 2 {
		return "", outcome, resp.ErrMalformed
	}
	status := string(parts[1])
	outcome.Result, outcome.NotModified = statusResults[status], status == notModifiedStatus
	if len(parts) > 2 && !decodeAnswerFields(parts[2], &outcome) {
		return "", outcome, resp.ErrMalformed
	}
	if len(parts) > 3 && outcome.Result == policy.OK && !outcome.NotModified {
		outcome.Body = parts[3]
	}
	return string(parts[0]), outcome, nil
}

// decodeAnswerFields decodes the fields of an answer. It skips those with other names; of several with the same name the last one
// counts. ok is false if a field is malformed.
func decodeAnswerFields(list []byte, outcome *core.Outcome) (ok bool) {
	fields := resp.NewFields(list)
	for field, ok := fields.Next(); ok; field, ok = fields.Next() {
		switch string(field.Name) {
		case "version":
			if len(field.Value) > maxVersionBytes {
				return false
			}
			outcome.Tag = string(field.Value)
		case "why":
			if i := slices.Index(noteNames, string(field.Value)); i >= 0 {
				outcome.Note = policy.NoteHit + policy.Note(i)
			}
		case "took":
			outcome.SourceWait, _ = parseNumber(string(field.Value))
		case "rep":
			outcome.Load = decodeLoadReport(field.Value)
		}
	}
	return !fields.Malformed()
}

// decodeLoadReport decodes "name:value;name:value". It skips unknown names and invalid numbers, and returns nil if nothing is left.
func decodeLoadReport(list []byte) (report policy.LoadReport) {
	for pair := range bytes.SplitSeq(list, []byte(";")) {
		name, value, _ := bytes.Cut(pair, []byte(":"))
		metric := loadMetrics[string(name)]
		if metric == "" {
			continue
		}
		if number, ok := parseNumber(string(value)); ok {
			if report == nil {
				report = policy.LoadReport{}
			}
			report[metric] = number
		}
	}
	return report
}

// parseNumber parses a number. ok is false unless it is between 0 and maxNumber, since the router calculates with the numbers
// unchecked.
func parseNumber(text string) (number float64, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= 0 && number <= maxNumber) {
		return 0, false
	}
	return number, true
}
