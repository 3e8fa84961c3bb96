package peers

import "math"

const (
	// rejoinInterval is the mean time between two rejoins, in ms.
	rejoinInterval = 5000.0
	// firstStateRequestDelay is the time after a first request of the full state until another one may follow, in ms. It doubles with
	// each, maxDelayDoublings times.
	firstStateRequestDelay = 4000.0
	maxDelayDoublings      = 5
	// earlyRejoins is how often a new process requests the full state without a sign that it lacks something: gossip that came before
	// it knew the senders' certificates was dropped, and is not repeated.
	earlyRejoins = 3
)

// rejoinState is the state from which stateRequestDue decides, and the members remembered from an earlier run.
type rejoinState struct {
	remembered         rememberedMembers
	rejoins            int
	agreeingDigests    int     // digests since the last rejoin of processes to which the same members are alive
	disagreeingDigests int     // digests since the last rejoin of other processes
	stateRequests      int     // since most processes agreed with this one
	nextStateRequestAt float64 // ms; there is none before
	nameConflictUntil  float64 // ms; until then the full state is requested, as another process has this one's name, or had it
}

// rejoin repairs a split membership, and runs again about every rejoinInterval, as gossip repeats each update a few times only. It joins
// each seed that is not a member: two parts of the fleet that were cut off from each other have removed each other, and two that started
// apart never knew each other. If stateRequestDue says so it also requests the full state of another member.
func (p *Peers) rejoin() {
	aliveAddresses := map[string]bool{}
	for _, n := range p.memberlist.Members() {
		aliveAddresses[p.transport.addressOf(n.FullAddress())] = true
	}
	p.mu.Lock()
	closed := p.closed
	alive := p.othersAlive()
	target := p.rejoinTarget(alive, p.stateRequestDue(len(aliveAddresses)))
	err := p.remembered.save(p.options.Name, alive)
	p.mu.Unlock()
	if closed {
		return
	}
	if err != nil {
		p.options.Log.Error("peers").Err(err).Msg("present members not stored")
	}
	if target != "" {
		_, _ = p.memberlist.Join([]string{target})
	}
	for _, seed := range p.options.Seeds {
		if !aliveAddresses[seed] {
			_, _ = p.memberlist.Join([]string{seed}) // one by one, so that a failed seed does not delay the others
		}
	}
	// Spread, so that hundreds that lost each other at once do not rejoin at once.
	p.mu.Lock()
	delay := rejoinInterval * (0.5 + p.rng.Float64())
	p.mu.Unlock()
	p.options.Clock.After(delay, func() { go p.rejoin() })
}

// stateRequestDue decides whether the full state of another member is requested now. present is the number of members that are alive to
// memberlist. A digest agrees with this process if its sender has the same set of alive members. The state is requested
//   - unless most digests agree: in the first earlyRejoins rejoins, while fewer members are present than expected, and while most digests
//     disagree. Once most agree, the members that are missing have failed;
//   - if no process was heard within recentSenderWindow, as the others may have removed this one;
//   - in any case until nameConflictUntil, as this process may be in conflict with itself at an earlier address.
//
// In the first two cases the time between two requests grows, see firstStateRequestDelay: if hundreds of processes kept exchanging full
// states, the load would keep them from agreeing. The caller holds the lock.
func (p *Peers) stateRequestDue(membersAlive int) bool {
	now := p.options.Clock.Now()
	mostAgree, mostDisagree := p.agreeingDigests > p.disagreeingDigests, p.disagreeingDigests > p.agreeingDigests
	p.agreeingDigests, p.disagreeingDigests, p.rejoins = 0, 0, p.rejoins+1
	if mostAgree {
		p.stateRequests = 0
	}
	incomplete := p.rejoins <= earlyRejoins || membersAlive < p.expectedMembers() || mostDisagree
	due := !mostAgree && incomplete || p.sealer.sendersWithin(recentSenderWindow) == 0
	if due = due && now >= p.nextStateRequestAt; due {
		p.nextStateRequestAt = now + firstStateRequestDelay*math.Exp2(min(float64(p.stateRequests), maxDelayDoublings))
		p.stateRequests++
	}
	return due || now < p.nameConflictUntil
}

// expectedMembers returns how many members are known, alive or failed, but not those that have left by themselves. The caller holds the lock.
func (p *Peers) expectedMembers() (n int) {
	for _, m := range p.members {
		if m.State != StateLeft {
			n++
		}
	}
	return n
}

// othersAlive returns the other members that are alive. The caller holds the lock.
func (p *Peers) othersAlive() (alive []Member) {
	for _, m := range p.members {
		if m.State == StateAlive && m.Name != p.options.Name {
			alive = append(alive, *m)
		}
	}
	return alive
}

// rejoinTarget returns the process to join, as memberlist has it: any of those that are alive if the full state is requested, as the
// seeds could not answer all, or a remembered one if there are none; empty: none. The caller holds the lock.
func (p *Peers) rejoinTarget(alive []Member, requestState bool) string {
	if n := len(alive); n > 0 && requestState {
		m := alive[p.rng.IntN(n)]
		return m.Name + "/" + m.Addr
	}
	if n := len(p.remembered.addresses); n > 0 && len(alive) == 0 {
		return p.remembered.addresses[p.rng.IntN(n)]
	}
	return ""
}
