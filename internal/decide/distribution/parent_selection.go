package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tier is how far a distributor is. The store's members are the last of the region's, as thousands would fall on them.
type tier int

const (
	tierSite tier = iota
	tierZone
	tierRegion
	tierRoot
	tierElsewhere
)

func tierOf(self, p Peer) tier {
	switch {
	case p.Rank == 0:
		return tierRoot
	case p.Region != self.Region:
		return tierElsewhere
	case p.Zone != self.Zone:
		return tierRegion
	case p.Site != self.Site || self.Site == "":
		return tierZone
	default:
		return tierSite
	}
}

// mostOfTier bounds the candidates of one tier that a subscriber considers: enough that two thirds may be dead, few enough
// that it keeps a few hundred bytes.
const maxPerTier = 8

// Order is the order in which a process tries distributors: the nearer first, of one tier the deeper, then by rendezvous
// hashing, so that each process has an order of its own and the loss of one moves only those that were there. Only those
// of a lower rank are in it: a chain of subscriptions goes down in rank with each step, and ends at the store.
func RankParents(self Peer, peers []Peer) []Peer {
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
	taken := [tierElsewhere + 1]int{}
	for _, c := range all {
		if taken[c.tier]++; taken[c.tier] <= maxPerTier {
			order = append(order, c.peer)
		}
	}
	return order
}

// turned is a candidate that is left alone for a while.
type backoff struct {
	until     float64
	attempts  int
	retrySoon bool // it lives, and has asked to be tried again
}

// mostSoon is how often one that lives and has no place yet is waited for, before one that is farther is asked: when all
// start at once, the levels fill from above, and nobody but the first level belongs at the store.
const maxSoonRetries = 4

// turn leaves the present distributor alone: for so long as it said, or for a pause that doubles.
func (s *Subscriber) backOff(name string, pause float64) {
	t := s.backoffs[name]
	t.attempts++
	doubled := s.settings.MinBackoff
	for i := 1; i < t.attempts && doubled < s.settings.MaxBackoff; i++ {
		doubled *= 2
	}
	doubled = min(doubled, s.settings.MaxBackoff)
	t.retrySoon = false
	t.until = s.now + max(pause, doubled/2+s.jitter.upTo(doubled/2))
	s.backoffs[name] = t
}

// turnedAway is a refusal: the distributor lives, and says when to come again.
func (s *Subscriber) handleRejected(m Rejected) {
	name := s.parent.Name
	s.disconnect(CauseRejected, float64(m.RetryAfter))
	t := s.backoffs[name]
	t.retrySoon = m.Reason == RejectBusy || m.Reason == RejectNotReady
	s.backoffs[name] = t
	s.connectNext()
}

// choose connects to the first candidate that is not left alone, or waits for one.
func (s *Subscriber) connectNext() {
	if len(s.candidates) == 0 {
		s.phase = phaseIdle
		return
	}
	soonest := s.backoffs[s.candidates[0].Name].until
	wait, reached := false, tierOf(s.settings.Self, s.candidates[0])
	for _, p := range s.candidates {
		t := s.backoffs[p.Name]
		if far := tierOf(s.settings.Self, p); wait && far != reached {
			break
		} else {
			reached = far
		}
		if t.until <= s.now {
			s.connect(p)
			return
		}
		wait = wait || t.retrySoon && t.attempts <= maxSoonRetries
		soonest = min(soonest, t.until)
	}
	s.phase, s.backoffUntil = phaseBackingOff, soonest
}

func (s *Subscriber) connect(p Peer) {
	s.link++
	s.parent, s.phase, s.lastReceivedAt, s.receivedBytes = p, phaseConnecting, s.now, 0
	s.emit(Connect{Link: s.link, To: p})
}

// leave ends the present link, if any, and looks for another: at once, or after a draw over the span of a failover.
func (s *Subscriber) leave(why Cause, pause float64, spread bool) {
	s.disconnect(why, pause)
	if !spread {
		s.connectNext()
		return
	}
	s.phase, s.backoffUntil = phaseBackingOff, s.now+s.jitter.upTo(s.settings.FailoverSpread)
}

func (s *Subscriber) disconnect(why Cause, pause float64) {
	if why != CauseDisconnected {
		s.emit(Disconnect{Link: s.link})
	}
	s.emit(Unsubscribed{Distributor: s.parent, Cause: why})
	if why != CauseCloserParent {
		s.backOff(s.parent.Name, pause)
	}
	s.assembly, s.unreturnedCredit = nil, 0
}

// candidates takes a new list of them.
func (s *Subscriber) setCandidates(peers []Peer) {
	first := s.candidates == nil
	s.candidates = RankParents(s.settings.Self, peers)
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
	case first: // a site that gets its power back starts at once
		s.phase, s.backoffUntil = phaseBackingOff, s.now+s.jitter.upTo(s.settings.MinBackoff)
	case s.phase == phaseIdle:
		s.connectNext()
	}
}

// planReturn sets when a nearer distributor is tried next.
func (s *Subscriber) scheduleCloserParent() {
	s.closerParentAt = 0
	if len(s.candidates) > 0 && tierOf(s.settings.Self, s.candidates[0]) < tierOf(s.settings.Self, s.parent) {
		s.closerParentAt = s.now + s.settings.CloserParentInterval*(0.5+s.jitter.upTo(1))
	}
}

// nearer leaves for a nearer distributor, if one is not left alone.
func (s *Subscriber) tryCloserParent() {
	for _, p := range s.candidates {
		if tierOf(s.settings.Self, p) < tierOf(s.settings.Self, s.parent) && s.backoffs[p.Name].until <= s.now {
			s.leave(CauseCloserParent, 0, false)
			return
		}
	}
	s.scheduleCloserParent()
}
