// Package check states what must hold of distribution, once, for the model, the tests of the shell and the tests of scale. A History is
// what the store has committed; a Process watches what one process puts into force, and trusts nothing else of it. The
// package decides nothing and is imported by tests and the lab alone.
package check

import (
	"fmt"

	"ravenwheel/internal/decide/distribution"
)

// Rule names what must hold.
type Rule string

// The rules.
const (
	RuleOrder     Rule = "entries in order, each once in effect"
	RuleEpochs    Rule = "a sequence begins anew only with a higher epoch and a snapshot"
	RuleCommitted Rule = "nothing in effect that was not committed"
	RuleComplete  Rule = "no committed purge, revision, list or drain missed"
	RuleStrict    Rule = "past the bound no strict class from a copy older than the watermark"
	RuleBounded   Rule = "bytes bounded"
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

// CheckServed checks whether a request of a class may have been decided as it was. now and madeAt, of the copy, are true times, Unix ms
// by the store's clock; w is the watermark that the process has.
func CheckServed(
	s distribution.Settings, w distribution.Watermark, now float64, class string, madeAt float64, v distribution.Verdict,
) error {
	served := v == distribution.VerdictServe || v == distribution.VerdictServeStale
	if s.Classes[class] != distribution.PolicyStrict || !served {
		return nil
	}
	if w == (distribution.Watermark{}) || now-float64(w.At) > s.MaxLag && madeAt < float64(w.At) {
		return violated(RuleStrict, "class %q from a copy of %.0f at %.0f, watermark %d", class, madeAt, now, w.At)
	}
	return nil
}

// CheckCredit checks that no more bytes of batches and chunks are in flight to one subscriber than its credit allows. One frame that is
// larger than the credit may be in flight alone.
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
		return violated(RuleBounded, "a backlog of %d entries, %d bytes", sizes.BacklogEntries, sizes.BacklogBytes)
	}
	return nil
}
