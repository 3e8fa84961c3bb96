package membership

import "ravenwheel/policy"

// byHand books a drain by hand. It outlives the server's record: one that comes back is drained still.
func (l *Table) byHand(e ManualDrain) {
	if _, was := l.hand[e.ID]; e.On && !was {
		l.hand[e.ID] = l.now
	} else if !e.On {
		delete(l.hand, e.ID)
	}
	r := l.records[e.ID]
	if r == nil || r.hand == e.On {
		return
	}
	since := r.handAt
	r.handAt, r.hand = l.handed(e.ID)
	// Given back after a drain: most likely restarted meanwhile, as one that its list drained is, unless the list tells
	// of the start.
	if at, _, _ := r.word(); !e.On && at >= 0 && float64(r.claims[at].said.Started)/1e6 < since && !r.claims[at].Warm {
		if l.sources[at].Immediate {
			l.back[e.ID] = l.now
		} else {
			r.claims[at].guessed = true
		}
	}
	l.touched[e.ID] = struct{}{}
}

// handed tells whether a server is drained by hand, and since when.
func (l *Table) handed(id policy.CacheID) (since float64, on bool) {
	since, on = l.hand[id]
	return since, on
}
