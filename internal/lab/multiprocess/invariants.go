package multiprocess

import (
	"fmt"
	"slices"

	"ravenwheel/internal/lab/fleet"
)

// Broken is every rule that stand-ins and clients saw broken: new work to what drains, copies older than a purge, writes
// that ran twice, answers that are wrong; and processes that crashed or ended by themselves.
func (f *Field) Broken() (broken []string) {
	f.mu.Lock()
	told := slices.Clone(f.told)
	f.mu.Unlock()
	broken = fleet.Rules{Drain: drainGrace, Purge: purgeGrace, Slack: ruleSlack}.Violations(f.Fleet.Observations(), told)
	for _, id := range f.Fleet.DuplicateWrites() {
		broken = append(broken, "a write ran twice: "+id)
	}
	for _, p := range f.Processes {
		broken = append(broken, p.Crashes()...)
		p.mu.Lock()
		if p.err != nil {
			broken = append(broken, fmt.Sprintf("%s ended by itself: %v", p.Name, p.err))
		}
		p.mu.Unlock()
	}
	if n := len(broken); n > mostBroken {
		broken = append(broken[:mostBroken], fmt.Sprintf("and %d more", n-mostBroken))
	}
	return broken
}

// mostBroken rules are told one by one: a cause that breaks one breaks hundreds.
const mostBroken = 10
