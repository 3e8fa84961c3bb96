package experiment

import (
	"context"
	"errors"
	"slices"

	"ravenwheel/internal/lab/sim"
)

// ErrNoViolation is returned by Shrink if the scenario breaks no rule.
var ErrNoViolation = errors.New("the scenario breaks no rule with this seed")

// Shrink reduces a scenario that breaks a rule as long as the reduced one still breaks a rule: it takes fewer faults, a smaller
// fleet, less time and less traffic. It returns the smallest scenario found. It calls tried for each scenario that it runs, with
// whether a rule was broken.
func Shrink(ctx context.Context, s sim.Scenario, seed uint64, tried func(s sim.Scenario, violates bool)) (sim.Scenario, error) {
	violates := func(candidate sim.Scenario) bool {
		result, err := sim.Run(ctx, candidate, seed)
		violated := err == nil && result.Violations > 0
		tried(candidate, violated)
		return violated
	}
	if !violates(s) {
		return s, ErrNoViolation
	}
	for ctx.Err() == nil {
		candidates := reductions(s)
		smaller := slices.IndexFunc(candidates, violates)
		if smaller < 0 {
			break
		}
		s = candidates[smaller]
	}
	return s, ctx.Err()
}

// reductions returns all scenarios that are one step smaller: each lacks one of the faults or has one of the sizes halved.
func reductions(s sim.Scenario) (smaller []sim.Scenario) {
	for i := range s.Faults {
		candidate := s
		candidate.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
		smaller = append(smaller, candidate)
	}
	for _, size := range []*int{&s.Fleet.Branches, &s.Fleet.CachesPerBranch, &s.Fleet.ProxiesPerBranch, &s.Fleet.Hubs, &s.Traffic.Objects} {
		if original := *size; original > 1 {
			*size = original / 2
			smaller = append(smaller, s)
			*size = original
		}
	}
	for _, size := range []*float64{&s.Seconds, &s.Traffic.Rate} {
		if original := *size; original > 1 {
			*size = original / 2
			candidate := s
			candidate.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f sim.Fault) bool { return f.At > candidate.Seconds })
			smaller = append(smaller, candidate)
			*size = original
		}
	}
	return smaller
}
