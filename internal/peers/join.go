package peers

import "math"

// join asks every seed that is not a member in sight. Guards against two halves that were cut off, or that began apart, each
// with a seed of its own: they have given each other up, or never knew, and nobody would ask again. And it asks one of the
// others while fewer are there than were, or most of those that are heard take others for alive than this process does: what
// gossip tells is told a few times only. Once most agree with it, it asks no more, however many are gone.
// Where nobody is heard, though all are taken for alive still, the others may have given this one up. And where another has
// its name, that may be this process itself, at the address that it had before.
func (p *Peers) rejoin() {
	there := map[string]bool{}
	for _, n := range p.memberlist.Members() {
		there[p.transport.addressOf(n.FullAddress())] = true
	}
	p.mu.Lock()
	now, most := p.options.Clock.Now(), 0
	for _, m := range p.members {
		if m.State != StateLeft {
			most++
		}
	}
	agreed, differ := p.agreeing > p.disagreeing, p.disagreeing > p.agreeing
	p.agreeing, p.disagreeing, p.joins = 0, 0, p.joins+1
	if agreed {
		p.stateRequests = 0
	}
	ask := !agreed && (p.joins <= earlyRejoins || len(there) < most || differ) || p.sealer.heardWithin(heardWindow) == 0
	if ask = ask && now >= p.nextStateRequestAt; ask {
		// Each time later: whole states of hundreds, asked for by hundreds that don't agree yet, kept 300 from ever agreeing.
		p.nextStateRequestAt = now + firstStateRequestDelay*math.Exp2(min(float64(p.stateRequests), maxDoublings))
		p.stateRequests++
	}
	ask = ask || now < p.nameDoubtedUntil // until the others have given up the other address, which takes less
	closed := p.closed
	var alive []Member
	for _, m := range p.members {
		if m.State == StateAlive && m.Name != p.options.Name {
			alive = append(alive, *m)
		}
	}
	other := ""
	if n := len(alive); n > 0 && ask {
		// Any of them: the seeds would have to answer all.
		m := alive[p.rng.IntN(n)]
		other = m.Name + "/" + m.Addr
	} else if n := len(p.remembered.addresses); n > 0 && len(alive) == 0 {
		other = p.remembered.addresses[p.rng.IntN(n)]
	}
	err := p.remembered.save(p.options.Name, alive)
	p.mu.Unlock()
	if closed {
		return
	}
	if err != nil {
		p.options.Log.Error("peers").Err(err).Msg("the members of now are not remembered")
	}
	if other != "" {
		_, _ = p.memberlist.Join([]string{other})
	}
	for _, seed := range p.options.Seeds {
		if !there[seed] {
			_, _ = p.memberlist.Join([]string{seed}) // one that is gone holds up none of the others
		}
	}
	// Spread, so that hundreds that lost each other at once do not ask all together.
	p.mu.Lock()
	pause := rejoinInterval * (0.5 + p.rng.Float64())
	p.mu.Unlock()
	p.options.Clock.After(pause, func() { go p.rejoin() })
}
