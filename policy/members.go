// What discovery tells of caches, parents and the origin.

package policy

func (r *Router) members(e Members) {
	if r.set.AskDiscovery && !r.watched {
		r.watched = true
		r.do(Watch{On: true})
	}
	if e.Kind == ListFailed {
		if r.set.AskDiscovery {
			r.after(watchPause, timer{kind: atWatch})
		}
		return
	}
	if e.Kind != ListChanges {
		for _, t := range r.known {
			t.listed = false
		}
	}
	for _, m := range e.Entries {
		t, known := r.known[m.ID]
		if !known {
			t = &target{Judged: Judged{Limit: sourceStart}, hashed: mix(uint64(m.ID))}
			r.known[m.ID], r.order = t, append(r.order, t)
		}
		started := m.Started > 0 && m.Started != t.Started
		t.Member, t.listed = m, m.State != Gone
		switch {
		case m.Kind == r.set.OriginKind:
			t.role = origin
		case m.Kind == r.set.ParentKind:
			t.role = parent
		case m.Zone != r.set.Zone:
			t.role = foreign
		default:
			t.role = edge
			if !known { // the limit starts at this router's part: its neighbours fill the same caches
				t.Limit = limitStart / float64(r.sharers(t))
			}
		}
		if started && t.role != origin {
			from := min(m.Started, r.now) // of a clock that runs ahead
			r.chill(t, from)
			t.Ramped, t.Ramps = from, true
			t.Down, t.Unanswered, t.FailShare, t.trialOut = false, 0, 0, false
		}
	}
	r.relist()
	if total := 0.0; r.set.WeightsTold && len(r.caches) > 0 {
		for _, c := range r.caches {
			total += c.Weight
		}
		r.scale = max(1, total/float64(len(r.caches))/usualLink)
		for _, t := range r.order {
			if t.Heard == 0 && t.role != edge {
				t.Limit = min(sourceStart, sourcePart*total/float64(r.sharers(r.caches[0])))
			}
		}
	}
}
