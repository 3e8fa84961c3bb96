package multiprocess

import (
	"fmt"
	"slices"

	"ravenwheel/internal/lab/fleet"
)

// maxViolations bounds how many violations are listed: one cause may break hundreds of rules.
const maxViolations = 10

// Violations returns, as text, the rules that stand-ins saw broken: new work sent to draining servers, copies served that are
// older than a purge, and writes that ran twice. It also returns the processes that crashed or exited by themselves.
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
			violations = append(violations, fmt.Sprintf("%s ended by itself: %v", p.Name, err))
		}
	}
	if n := len(violations); n > maxViolations {
		violations = append(violations[:maxViolations], fmt.Sprintf("and %d more", n-maxViolations))
	}
	return violations
}
