// What answers tell of sending times, fills and holders.

package policy

// learn takes from an answer what it tells of sending times, fills and holders.
func (r *Router) learn(a *attempt, o Outcome) {
	q, filled := a.q, o.Note == NoteFilled || o.Note == NoteFilledOrigin
	// A fill is booked in full when it is sent: booked by its chance, a cold parent whose answers took
	// seconds was pushed over. It is given back where none was made; a look in vain reached the source.
	if a.fill > 0 && (o.Result == OK && !filled || o.Result == ConnectFailed || o.Note == NoteNoPlace) {
		a.source.Credit += a.fill
	}
	// A late fill is its source's doing where the first byte was what took long, else that of a link: its
	// source's, where fills from others come in time, or the location's, whose jams feed themselves.
	decided, soon := a.to, o.Waited <= q.class.Target/2
	if filled && a.source != nil {
		decided = a.source
		if r.link.LateShare.learn(a.late && soon, failGain); !a.late {
			a.source.LateShare.learn(false, failGain)
			r.adapt(r.link, false)
		} else if soon && r.link.LateShare >= a.source.LateShare {
			decided = r.link
		}
	}
	if o.Note == NoteFilledOrigin && a.deep != nil {
		if a.deep.LateShare.learn(a.late && !soon, failGain); a.late && !soon {
			decided = a.deep
		} else {
			r.adapt(a.deep, false)
		}
	}
	switch turned := o.Note == NoteSourceRefused || o.Note == NoteOriginFailed; {
	case o.Note == NoteNoPlace:
		r.adapt(r.link, true)
	case o.Result == OK && q.class.Uncached && !a.late: // it is sent past every limit, and raises none
	case o.Result == OK:
		a.to.LateShare.learn(a.late, failGain)
		r.adapt(decided, a.late)
	case turned && a.source != nil:
		r.adapt(a.source, true) // whoever is full is over its limit, and so may the origin behind it be
		if a.deep != nil {
			r.adapt(a.deep, true)
		}
	case a.to.fullUntil > r.now:
		r.adapt(a.to, true)
	}
	if o.Note == NoteSourceLacks {
		r.memory.put(place{q.Object, q.Part}, holder{})
	}
	if o.Result != OK {
		return
	}
	r.served(a.to, r.sendingTime(q))
	if filled && a.source != nil {
		r.served(a.source, r.sendingTime(q))
	}
	took := r.ownTime(q)
	if took == 0 && !filled {
		took = o.Latency.Seconds()
	}
	if took > 0 {
		r.meanTook[q.Class] += meanGain * (took - r.meanTook[q.Class])
		drift := 1 + meanDrift*min(1, (r.now-r.learned[q.Class]).Seconds())
		r.meanSend[q.Class] = min(r.meanTook[q.Class], r.meanSend[q.Class]*drift)
		r.learned[q.Class] = r.now
	}
	if q.class.Uncached {
		return
	}
	r.originShare.learn(o.Note == NoteFilledOrigin, meanGain)
	r.fillShare.learn(filled, meanGain)
	switch {
	case o.Note == NoteHit || o.Note == NoteNone && r.set.Details == DetailNone:
		r.memory.put(place{q.Object, q.Part}, holder{a.to, r.now})
	case o.Note == NoteFilled && a.source != nil && a.source.role == parent && r.set.Details == DetailAll:
		r.memory.put(place{q.Object, q.Part}, holder{a.source, r.now})
	}
}
