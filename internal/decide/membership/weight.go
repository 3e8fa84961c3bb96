package membership

// nextWeight returns the weight to publish now for a server whose source wants the weight target. While the server is ready,
// its weight changes by at most the factor WeightStep every WeightInterval: a larger change would move many objects at once
// to caches that do not have them.
func (t *Table) nextWeight(s *server, target float64) float64 {
	current := s.current.Weight
	immediate := t.sources[s.merge().factsSource].Immediate
	if s.phase != Ready || immediate || t.settings.WeightStep <= 1 || target == current || current <= 0 {
		return target
	}
	if t.now < s.nextWeightStep {
		return current
	}
	next := min(target, current*t.settings.WeightStep)
	if target < current {
		next = max(target, current/t.settings.WeightStep)
	}
	if next != target {
		s.nextWeightStep = t.now + max(minTimerDelay, t.settings.WeightInterval)
		t.schedule(s.nextWeightStep, s.id)
	}
	return next
}
