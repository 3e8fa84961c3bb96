// Package check states the rules that the distribution must keep. The model of internal/decide/distribution, the tests over sockets of
// internal/distribution and the tests of scale share it. A History holds what the store has committed; a Process observes the actions
// that one process carries out, and relies on nothing else of that process. The package takes part in no decision, and only tests and
// the lab import it.
package check

import (
	"fmt"

	"ravenwheel/internal/decide/distribution"
)

// Rule names a rule that must hold.
type Rule string

// The rules.
const (
	RuleOrder     Rule = "entries are applied in order, each once"
	RuleEpochs    Rule = "a sequence starts again only with a higher epoch and a snapshot"
	RuleCommitted Rule = "only committed entries are in effect"
	RuleComplete  Rule = "no committed purge, revision, list or drain is missing"
	RuleStrict    Rule = "past MaxLag strict classes are served no copy older than the watermark"
	RuleBounded   Rule = "bytes in flight and backlogs are within their bounds"
)

// Violation is the error for a rule that does not hold.
type Violation struct {
	Rule   Rule
	Detail string
}

// Error implements error.
func (v *Violation) Error() string { return string(v.Rule) + ": " + v.Detail }

func violated(r Rule, format string, values ...any) error {
	return &Violation{Rule: r, Detail: fmt.Sprintf(format, values...)}
}

// CheckServed checks whether a process may have decided v on a request of a class, with a copy made at madeAt. now and madeAt are true
// times, Unix ms by the store's clock; w is the watermark that the process has.
func CheckServed(
	s distribution.Settings, w distribution.Watermark, now float64, class string, madeAt float64, v distribution.Verdict,
) error {
	served := v == distribution.VerdictServe || v == distribution.VerdictServeStale
	if s.Classes[class] != distribution.PolicyStrict || !served {
		return nil
	}
	if w == (distribution.Watermark{}) || now-float64(w.At) > s.MaxLag && madeAt < float64(w.At) {
		return violated(RuleStrict, "class %q served a copy made at %.0f at time %.0f, watermark %d", class, madeAt, now, w.At)
	}
	return nil
}

// CheckCredit checks that no more bytes of batches and chunks are in flight to one subscriber than its credit allows. A single frame
// that is larger than the credit may be in flight alone.
func CheckCredit(credit, frames, bytes int) error {
	if bytes > credit && frames > 1 {
		return violated(RuleBounded, "%d bytes in %d frames in flight, credit %d", bytes, frames, credit)
	}
	return nil
}

// CheckBacklog checks that a distributor's backlog is within its bounds.
func CheckBacklog(s distribution.Settings, d *distribution.Distributor) error {
	sizes := d.Sizes()
	if sizes.BacklogEntries > s.MaxBacklogEntries || sizes.BacklogBytes > s.MaxBacklogBytes {
		return violated(RuleBounded, "backlog of %d entries, %d bytes", sizes.BacklogEntries, sizes.BacklogBytes)
	}
	return nil
}
