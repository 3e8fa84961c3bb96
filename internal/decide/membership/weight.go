package membership

// nextWeight decides the weight that is published now for a server whose sources want the weight target. A weight that
// changes while the server is ready moves by at most the factor WeightStep every WeightInterval: a jump would move as
// many objects at once to caches that do not hold them.
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
