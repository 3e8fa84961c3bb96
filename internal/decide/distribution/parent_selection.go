package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tier is how far away a distributor is, the closest first. The members of the store (tierRoot) are tried after all other
// distributors of the region, so that thousands of processes do not subscribe to them.
type tier int

const (
	tierSite        tier = iota // at the same site
	tierZone                    // in the same zone
	tierRegion                  // in the same region
	tierRoot                    // a member of the store, of any region
	tierOtherRegion             // in another region
)

func tierOf(self, p Peer) tier {
	switch {
	case p.Rank == 0:
		return tierRoot
	case p.Region != self.Region:
		return tierOtherRegion
	case p.Zone != self.Zone:
		return tierRegion
	case p.Site != self.Site || self.Site == "":
		return tierZone
	default:
		return tierSite
	}
}

// maxPerTier bounds the candidates of one tier that a subscriber considers, and with them the memory for their backoffs. A subscriber
// goes on to the next tier only if all candidates of a tier fail.
const maxPerTier = 8

// OrderParents returns the distributors that a process may subscribe to, in the order in which it tries them: closer tiers first; in one
// tier the higher rank first; and then by rendezvous hashing, so that each process has an order of its own and the loss of one
// distributor moves only its own subscribers. Only distributors of a lower rank than the process's are returned: the rank falls with
// each step of a chain of subscriptions, so that the chain ends at the store.
func OrderParents(self Peer, peers []Peer) []Peer {
	type candidate struct {
		peer  Peer
		tier  tier
		score uint64
	}
	var all []candidate
	for _, p := range peers {
		if p.Rank < self.Rank && p.Name != self.Name {
			all = append(all, candidate{p, tierOf(self, p), xxhash.Sum64String(self.Name + "\x00" + p.Name)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.peer.Rank, a.peer.Rank), cmp.Compare(b.score, a.score),
			cmp.Compare(a.peer.Name, b.peer.Name))
	})
	var order []Peer
	perTier := [tierOtherRegion + 1]int{}
	for _, c := range all {
		if perTier[c.tier]++; perTier[c.tier] <= maxPerTier {
			order = append(order, c.peer)
		}
	}
	return order
}

// backoff says until when a candidate is not tried again.
type backoff struct {
	until     float64 // Unix ms
	attempts  int     // subscriptions and attempts that ended since the candidate last advanced this process's watermark
	retrySoon bool    // the candidate answered RejectBusy or RejectNotReady: it is alive, and may admit this process soon
}

// maxSoonRetries is how often a subscriber waits for a candidate with retrySoon before it tries a tier that is farther away. When all
// processes start at once, each level is ready only after the level above it; without the wait all of them would subscribe to the
// members of the store.
const maxSoonRetries = 4

// setBackoff decides until when a candidate is not tried again: for minDelay ms, or for a delay that doubles with each attempt, from
// MinBackoff to MaxBackoff, and is drawn between half and all of that, whichever is longer.
func (s *Subscriber) setBackoff(name string, minDelay float64) {
	b := s.backoffs[name]
	b.attempts++
	delay := s.settings.MinBackoff
	for i := 1; i < b.attempts && delay < s.settings.MaxBackoff; i++ {
		delay *= 2
	}
	delay = min(delay, s.settings.MaxBackoff)
	b.retrySoon = false
	b.until = s.now + max(minDelay, delay/2+s.jitter.upTo(delay/2))
	s.backoffs[name] = b
}

// handleRejected leaves a distributor that has rejected the subscription, for at least the RetryAfter of its message.
func (s *Subscriber) handleRejected(m Rejected) {
	name := s.parent.Name
	s.disconnect(CauseRejected, float64(m.RetryAfter))
	b := s.backoffs[name]
	b.retrySoon = m.Reason == RejectBusy || m.Reason == RejectNotReady
	s.backoffs[name] = b
	s.connectNext()
}

// connectNext connects to the first candidate without a present backoff, or waits until the first backoff ends. It does not go on to
// the next tier while a closer candidate is to be tried again soon, see maxSoonRetries.
func (s *Subscriber) connectNext() {
	if len(s.candidates) == 0 {
		s.phase = phaseIdle
		return
	}
	soonest := s.backoffs[s.candidates[0].Name].until
	waitInTier, currentTier := false, tierOf(s.settings.Self, s.candidates[0])
	for _, p := range s.candidates {
		next := tierOf(s.settings.Self, p)
		if waitInTier && next != currentTier {
			break
		}
		currentTier = next
		b := s.backoffs[p.Name]
		if b.until <= s.now {
			s.connect(p)
			return
		}
		waitInTier = waitInTier || b.retrySoon && b.attempts <= maxSoonRetries
		soonest = min(soonest, b.until)
	}
	s.phase, s.backoffUntil = phaseBackingOff, soonest
}

func (s *Subscriber) connect(p Peer) {
	s.link++
	s.parent, s.phase, s.lastReceivedAt, s.receivedBytes = p, phaseConnecting, s.now, 0
	s.emit(Connect{Link: s.link, To: p})
}

// leave leaves the present distributor for another one: at once, or, with spread, after a delay drawn from 0 to FailoverSpread, because
// other subscribers may be leaving it too. The distributor is not tried again for at least minBackoff ms.
func (s *Subscriber) leave(cause Cause, minBackoff float64, spread bool) {
	s.disconnect(cause, minBackoff)
	if !spread {
		s.connectNext()
		return
	}
	s.phase, s.backoffUntil = phaseBackingOff, s.now+s.jitter.upTo(s.settings.FailoverSpread)
}

// disconnect closes the present link. The distributor is not tried again for at least minBackoff ms, unless the subscriber leaves it for
// a closer one.
func (s *Subscriber) disconnect(cause Cause, minBackoff float64) {
	if cause != CauseDisconnected {
		s.emit(Disconnect{Link: s.link})
	}
	s.emit(Unsubscribed{Distributor: s.parent, Cause: cause})
	if cause != CauseCloserParent {
		s.setBackoff(s.parent.Name, minBackoff)
	}
	s.assembly, s.unreturnedCredit = nil, 0
}

// setCandidates replaces the list of distributors. The first connection is made after a delay drawn from 0 to MinBackoff, because all
// processes of a site may start at once, after a power failure for example.
func (s *Subscriber) setCandidates(peers []Peer) {
	first := s.candidates == nil
	s.candidates = OrderParents(s.settings.Self, peers)
	for name := range s.backoffs {
		if !slices.ContainsFunc(s.candidates, func(p Peer) bool { return p.Name == name }) {
			delete(s.backoffs, name)
		}
	}
	switch {
	case s.hasLink() && !slices.Contains(peers, s.parent):
		s.leave(CauseRemoved, 0, true)
	case s.hasLink():
		s.scheduleCloserParent()
	case first:
		s.phase, s.backoffUntil = phaseBackingOff, s.now+s.jitter.upTo(s.settings.MinBackoff)
	case s.phase == phaseIdle:
		s.connectNext()
	}
}

// scheduleCloserParent sets when a closer distributor is tried next, if there is one: after a half to one and a half times
// CloserParentInterval.
func (s *Subscriber) scheduleCloserParent() {
	s.closerParentAt = 0
	if len(s.candidates) > 0 && s.closer(s.candidates[0]) {
		s.closerParentAt = s.now + s.settings.CloserParentInterval*(0.5+s.jitter.upTo(1))
	}
}

// tryCloserParent leaves the present distributor for a closer one, if there is one without a present backoff.
func (s *Subscriber) tryCloserParent() {
	for _, p := range s.candidates {
		if s.closer(p) && s.backoffs[p.Name].until <= s.now {
			s.leave(CauseCloserParent, 0, false)
			return
		}
	}
	s.scheduleCloserParent()
}

// closer reports whether a distributor is closer than the present one.
func (s *Subscriber) closer(p Peer) bool {
	return tierOf(s.settings.Self, p) < tierOf(s.settings.Self, s.parent)
}
