package upstream

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"ravenwheel/internal/core"
	"ravenwheel/internal/resp"
	"ravenwheel/policy"
)

// Name is a cache server's id as text.
func serverName(id policy.CacheID) string {
	return "s-" + hex.EncodeToString(binary.BigEndian.AppendUint32(nil, uint32(id)))
}

var hows = []struct {
	bit  policy.FillOptions
	word string
}{
	{policy.Coalesce, "coalesce"}, {policy.CachedOnly, "shallow"}, {policy.ParentPassThrough, "transit"}, {policy.RefreshInBackground, "freshen"},
}

// notes are the words of why, in the order of policy.Note from NoteHit on.
var notes = []string{
	"local", "pulled", "pulled_far", "rode", "expired", "turned_away", "cut_off", "not_there", "no_place", "far_fault",
}

var results = map[string]policy.Result{
	"served": policy.OK, "still_good": policy.OK, "not_here": policy.Miss, "overload": policy.Overloaded,
	"crashed": policy.Failed, "nobody": policy.Skipped, "green": policy.OK, "red": policy.Failed,
}

// loads maps the names in a report to those of the module.
var loads = map[string]string{
	"inflight": "inflight", "queue": "queue", "util": "util", "latency_ms": "latency", "qps": "served",
	"eps": "errors", "x0": "hits", "x1": "link",
}

// appendFrame adds an attempt to b as the cache servers read it, with the time that is left now.
func appendFrame(b []byte, a *core.Attempt, now float64) []byte {
	f := append(make([]byte, 0, 160), "lane="...)
	f = append(f, a.Class...)
	add := func(name, value string) {
		f = append(f, ',')
		f = append(f, name...)
		f = append(f, '=')
		f = append(f, value...)
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
		// Rounded down, as an older copy would not do; 0 would mean the class's own time.
		add("newer", strconv.Itoa(max(1, int(a.MaxAge))))
	}
	var words []string
	for _, h := range hows {
		if a.Options&h.bit != 0 {
			words = append(words, h.word)
		}
	}
	if len(words) > 0 {
		add("handle", strings.Join(words, "+"))
	}
	if a.CachedTag != "" {
		add("holds", a.CachedTag)
	}
	if a.IdempotencyKey != "" {
		add("dedupe", a.IdempotencyKey)
	}
	return resp.AppendFrameWithBody(b, a.Body, "fetch", a.ID, string(f))
}

// mostNumber bounds what an answer may tell in numbers: in ms it is half an hour.
const mostNumber = 2e6

// number reads a figure of an answer. One that is none, or below 0 or beyond all measure, counts as not told: the module
// reckons with it as it comes.
func number(s string) (v float64, ok bool) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v <= mostNumber) {
		return 0, false
	}
	return v, true
}

// readAnswer reads one answer: id, word, fields, body. An unknown word is an end that may have run.
func readAnswer(parts [][]byte) (id string, e core.Outcome, err error) {
	if len(parts) < 2 {
		return "", e, resp.ErrMalformed
	}
	word := string(parts[1])
	fields := map[string]string{}
	if len(parts) > 2 {
		var ok bool
		if fields, ok = resp.ParseFields(parts[2]); !ok {
			return "", e, resp.ErrMalformed
		}
	}
	e.Result, e.NotModified, e.Tag = results[word], word == "still_good", fields["version"]
	for i, w := range notes {
		if fields["why"] == w {
			e.Note = policy.NoteHit + policy.Note(i)
		}
	}
	e.SourceWait, _ = number(fields["took"])
	if len(parts) > 3 && e.Result == policy.OK && !e.NotModified {
		e.Body = bytes.Clone(parts[3])
	}
	for _, pair := range strings.Split(fields["rep"], ";") {
		name, value, _ := strings.Cut(pair, ":")
		if v, ok := number(value); ok && loads[name] != "" {
			if e.Load == nil {
				e.Load = policy.LoadReport{}
			}
			e.Load[loads[name]] = v
		}
	}
	return string(parts[0]), e, nil
}
