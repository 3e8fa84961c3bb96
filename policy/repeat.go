// When a further attempt, or a refusal, can do no harm.

package policy

// history is what the attempts made so far leave open: none may have run; or the first that may have.
func (q *request) history() *attempt {
	for _, a := range q.attempts {
		if a.open || a.ran {
			return a
		}
	}
	return nil
}

// maySend tells whether a further attempt at t can have no second effect.
func (q *request) maySend(now Time, t *target) bool {
	first := q.history()
	if first == nil || q.class.Effect == Safe {
		return true
	} else if q.class.Effect == Unsafe || now-first.sent >= q.class.Window {
		return false
	}
	switch q.class.Group {
	case GroupZone:
		return t.Zone == first.to.Zone
	case GroupCell:
		return t.Cell == first.to.Cell
	}
	return true
}

// mayRefuse tells whether the client may be told that a retry is harmless.
func (q *request) mayRefuse() bool {
	c := q.class
	return c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll || q.history() == nil
}
