package membership

// step is the weight that is published now on the way to the wanted one.
func (l *Table) step(r *record, from Phase, want float64) float64 {
	at, _, _ := r.word()
	if from != Ready || l.sources[at].Immediate || l.set.WeightStep <= 1 || want == r.facts.Weight || r.facts.Weight <= 0 {
		return want
	}
	now := r.facts.Weight
	if l.now < r.step {
		return now
	}
	next := min(want, now*l.set.WeightStep)
	if want < now {
		next = max(want, now/l.set.WeightStep)
	}
	if next != want {
		r.step = l.now + max(1, l.set.WeightInterval)
		l.later(r.step, r.id)
	}
	return next
}
