package peers

import "math"

const (
	// rejoinInterval is the mean time between two rejoins, in ms.
	rejoinInterval = 5000.0
	// firstStateRequestDelay is the time, in ms, from a first request of the full state until another one may follow. It doubles
	// with each further request, at most maxDelayDoublings times.
	firstStateRequestDelay = 4000.0
	maxDelayDoublings      = 5
	// earlyRejoins is the number of first rejoins in which a new process requests the full state even without a sign that members
	// are missing. Gossip that arrived before the process knew the senders' certificates was dropped, and is not repeated.
	earlyRejoins = 3
)

// rejoinState holds what stateRequestDue decides from, and the members remembered from an earlier run.
type rejoinState struct {
	remembered         rememberedMembers
	rejoins            int
	agreeingDigests    int     // digests since the last rejoin whose senders count the same members as alive
	disagreeingDigests int     // other digests since the last rejoin
	stateRequests      int     // requests of the full state since most digests agreed
	nextStateRequestAt float64 // ms; before it, only a name conflict leads to a request
	nameConflictUntil  float64 // ms; until then the full state is requested, because another process uses this one's name, or did
}

// rejoin repairs a split membership. It runs again about every rejoinInterval, because gossip repeats each update only a few times.
// It joins each seed that is not an alive member: two parts of the fleet that were cut off from each other have removed each
// other's members, and two parts that started separately never knew each other. If stateRequestDue returns true, it also requests
// the full state of another member.
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
		p.options.Log.Error("peers").Err(err).Msg("alive members not stored; after a restart this process may find only its seeds")
	}
	if target != "" {
		_, _ = p.memberlist.Join([]string{target})
	}
	for _, seed := range p.options.Seeds {
		if !aliveAddresses[seed] {
			_, _ = p.memberlist.Join([]string{seed}) // one call per seed, so that a failed seed does not delay the others
		}
	}
	// The delay is random, so that hundreds of processes that lost each other at the same time do not rejoin at the same time.
	p.mu.Lock()
	delay := rejoinInterval * (0.5 + p.rng.Float64())
	p.mu.Unlock()
	p.options.Clock.After(delay, func() { go p.rejoin() })
}

// stateRequestDue decides whether the full state of another member is requested now. membersAlive is the number of members that
// memberlist counts as alive. A digest agrees with this process if its sender counts the same members as alive. The state is
// requested
//   - unless most digests agree: in the first earlyRejoins rejoins, while fewer members are alive than expected, and while most
//     digests disagree. Once most digests agree, the missing members have failed;
//   - if no datagram was accepted within recentSenderWindow, because the others may have removed this process;
//   - in any case until nameConflictUntil, because the conflict may be with this process's own entry at an earlier address.
//
// In the first two cases the time between two requests grows, see firstStateRequestDelay: if hundreds of processes kept exchanging
// full states, the load would keep them from agreeing. The caller holds the lock.
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

// expectedMembers returns the number of members that are alive or have failed, without those that have left. The caller holds the
// lock.
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

// rejoinTarget returns the process to join, in the form that memberlist.Join takes, or an empty string if there is none. If the
// full state is requested, it is a random alive member, because the seeds could not answer all processes. If no member is alive, it
// is a random remembered one. The caller holds the lock.
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
