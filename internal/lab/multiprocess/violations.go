package multiprocess

import (
	"fmt"
	"slices"

	"ravenwheel/internal/lab/fleet"
)

// maxViolations bounds the number of violations listed, since one cause may break rules hundreds of times.
const maxViolations = 10

// Violations returns, as text, the violations of rules that the stand-ins observed: new requests sent to draining servers, copies
// served that are older than a purge, and writes that ran twice. It also returns the processes that crashed, reported a data race
// or exited unexpectedly.
func (c *Cluster) Violations() (violations []string) {
	c.mu.Lock()
	notifications := slices.Clone(c.notifications)
	c.mu.Unlock()
	rules := fleet.Rules{Drain: drainGrace, Purge: purgeGrace, Slack: ruleSlack}
	violations = rules.Violations(c.Fleet.Observations(), notifications)
	for _, id := range c.Fleet.DuplicateWrites() {
		violations = append(violations, "a write ran twice: "+id)
	}
	for _, p := range c.Processes {
		violations = append(violations, p.crashLines()...)
		if err := p.exitError(); err != nil {
			violations = append(violations, fmt.Sprintf("%s exited unexpectedly: %v", p.Name, err))
		}
	}
	if n := len(violations); n > maxViolations {
		violations = append(violations[:maxViolations], fmt.Sprintf("and %d more violations", n-maxViolations))
	}
	return violations
}
