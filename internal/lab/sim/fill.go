package sim

import (
	"slices"

	"ravenwheel/policy"
)

// fill is a transfer of a part from a source to a cache or a parent, for the attempts that wait for it.
type fill struct {
	sim            *simulation
	target, source *server
	key            partKey
	kb             float64
	classMeanKB    float64
	retainRank     int
	options        policy.FillOptions
	oldest         float64 // ms; the oldest creation time of a copy that may be used
	began          float64 // ms
	epoch          int     // of the target's process when the fill began
	waiting        []*attempt
	transfers      []*transfer
	pending        int  // transfers that have not ended
	found          bool // the source has the part and transfers it
	ended          bool
	created        float64 // ms at which the origin served the part
}

// startFill makes the attempt's target fill the part from the source, or share a fill of the part that is in progress there.
func (a *attempt) startFill(fetch policy.Fetch, oldest float64) {
	s, client := a.request.proxy.sim, a.request.client
	if s.scenario.Fleet.CoalescesFills && fetch.Options&policy.Coalesce != 0 {
		for _, f := range a.target.fills {
			if f.key == client.key && !f.ended && f.oldest >= oldest {
				f.join(a)
				return
			}
		}
	}
	limit := s.scenario.Fleet.MaxFills
	if limit > 0 && a.target.kind == kindCache && len(a.target.fills) >= limit {
		a.respond(policy.Miss, policy.NoteNoFillSlot)
		return
	}
	f := &fill{
		sim: s, target: a.target, source: a.source, key: client.key, kb: client.kb, retainRank: fetch.RetainRank, options: fetch.Options,
		oldest: oldest, began: s.now, epoch: a.target.epoch, waiting: []*attempt{a},
		classMeanKB: s.scenario.Traffic.Classes[client.class].MeanKB,
	}
	a.fill = f
	a.target.fills = append(a.target.fills, f)
	s.after(f.roundTrip(a.request.proxy.branch), f.arrive)
}

// roundTrip returns the time, in ms, from the request to the source until the first byte of its answer.
func (f *fill) roundTrip(b *branch) float64 {
	switch {
	case f.target.kind != kindCache:
		return 2 * f.sim.scenario.Fleet.HubLatency
	case f.source.kind == kindCache:
		return 2 * f.sim.scenario.Fleet.BranchLatency
	}
	return 2 * f.sim.hubLatency(b, f.source.zone)
}

// inProgress reports whether the fill has not ended and the target's process that began it still runs.
func (f *fill) inProgress() bool { return !f.ended && f.epoch == f.target.epoch }

// arrive handles the fill when its request reaches the source.
func (f *fill) arrive() {
	s, source := f.sim, f.source
	if !f.inProgress() {
		return
	}
	switch source.state {
	case serverKilled:
		f.fail(policy.NoteSourceLost, 0)
		return
	case serverHung:
		s.after(s.scenario.Fleet.FillTimeout, func() { f.fail(policy.NoteSourceLost, s.now-f.began) })
		return
	}
	source.addLoad(f.classMeanKB)
	if source.kind == kindOrigin {
		s.originServer.submit(func(ok bool) {
			if !ok {
				f.fail(policy.NoteSourceRejected, 0)
				return
			}
			f.handleFirstByte(s.now, policy.NoteFilledOrigin)
		})
		return
	}
	if cached := source.store.get(f.key, f.oldest, 0); cached != nil {
		f.handleFirstByte(cached.created, policy.NoteFilled)
		return
	}
	if source.kind != kindParent || f.options&policy.CachedOnly != 0 {
		f.fail(policy.NoteSourceMiss, 0)
		return
	}
	source.fetchFromOrigin(f)
}

// originFetch is a parent's fetch from the origin, for the fills that wait for it.
type originFetch struct{ fills []*fill }

// fetchFromOrigin makes a parent fetch a part that it does not hold. With ParentsCoalesce, fills of the same part share a fetch in
// progress.
func (s *server) fetchFromOrigin(f *fill) {
	fetch := &originFetch{[]*fill{f}}
	if s.sim.scenario.Fleet.ParentsCoalesce {
		if inProgress := s.originFetches[f.key]; inProgress != nil {
			inProgress.fills = append(inProgress.fills, f)
			return
		}
		s.originFetches[f.key] = fetch
	}
	s.sim.after(2*s.sim.scenario.Fleet.HubLatency, func() {
		s.sim.originServer.submit(func(ok bool) {
			if s.originFetches[f.key] == fetch {
				delete(s.originFetches, f.key)
			}
			s.endOriginFetch(fetch, ok)
		})
	})
}

// endOriginFetch passes the origin's answer to the fills. The parent stores the part once.
func (s *server) endOriginFetch(fetch *originFetch, ok bool) {
	stored := false
	for _, f := range fetch.fills {
		switch {
		case !f.inProgress():
		case !ok:
			f.fail(policy.NoteOriginFailed, 0)
		default:
			if !stored {
				s.sim.result.countOriginFill(s.sim.now)
				if f.options&policy.ParentPassThrough == 0 {
					s.storeCopy(f.key, f.kb, s.sim.now, 1)
				}
			}
			stored = true
			f.handleFirstByte(s.sim.now, policy.NoteFilledOrigin)
		}
	}
}

// handleFirstByte handles the first byte of the part. The target forwards the part while it receives it, so the transfers from
// the source and those of the answers run at the same time.
func (f *fill) handleFirstByte(created float64, note policy.Note) {
	if !f.inProgress() {
		return
	}
	f.found, f.created = true, created
	f.target.storeCopy(f.key, f.kb, created, f.retainRank)
	if f.source.kind == kindOrigin {
		f.sim.result.countOriginFill(f.sim.now)
	} else {
		f.transfer(f.source.outbound)
	}
	if f.source.kind != kindCache && f.target.kind == kindCache {
		f.transfer(f.target.branch.inbound)
	}
	for _, a := range slices.Clone(f.waiting) {
		f.answer(a, note)
	}
	if f.pending == 0 {
		f.end()
	}
}

// transfer transfers the part over a link. The fill ends with its last transfer.
func (f *fill) transfer(l *link) {
	f.pending++
	f.transfers = append(f.transfers, l.start(f.kb, func() {
		f.pending--
		if f.pending > 0 {
			return
		}
		waiting := slices.Clone(f.waiting)
		f.end()
		for _, a := range waiting {
			a.completeIfTransferred()
		}
	}))
}

// answer begins the answer to an attempt that waits for the fill.
func (f *fill) answer(a *attempt, note policy.Note) {
	a.sourceWait, a.created = f.sim.now-f.began, f.created
	a.serve(note)
}

// join makes an attempt share the fill.
func (f *fill) join(a *attempt) {
	a.fill = f
	f.waiting = append(f.waiting, a)
	if f.found {
		f.answer(a, policy.NoteCoalesced)
	}
}

// fail ends the fill without the part, and answers the attempts that wait with a miss. sourceWait is the time, in ms, that the
// target waited for the source.
func (f *fill) fail(note policy.Note, sourceWait float64) {
	if !f.inProgress() {
		return
	}
	waiting := slices.Clone(f.waiting)
	f.end()
	for _, a := range waiting {
		if a.inProgress() {
			a.sourceWait = sourceWait
			a.respond(policy.Miss, note)
		}
	}
}

// leave removes an attempt that no longer waits. When none is left, the fill ends, unless fills outlive their clients.
func (f *fill) leave(a *attempt) {
	f.waiting = slices.DeleteFunc(f.waiting, func(waiting *attempt) bool { return waiting == a })
	if f.ended || len(f.waiting) > 0 || f.sim.scenario.Fleet.FillsOutliveClients {
		return
	}
	f.stopTransfers()
	f.end()
}

func (f *fill) stopTransfers() {
	for _, t := range f.transfers {
		t.stop()
	}
	f.transfers = nil
}

func (f *fill) end() {
	f.ended = true
	f.target.fills = slices.DeleteFunc(f.target.fills, func(other *fill) bool { return other == f })
}
