package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tier is how far a distributor is. The store's members are the last of the region's, as thousands would fall on them.
type tier int

const (
	sameSite tier = iota
	sameZone
	sameRegion
	root
	elsewhere
)

func tierOf(self, p Peer) tier {
	switch {
	case p.Rank == 0:
		return root
	case p.Region != self.Region:
		return elsewhere
	case p.Zone != self.Zone:
		return sameRegion
	case p.Site != self.Site || self.Site == "":
		return sameZone
	default:
		return sameSite
	}
}

// mostOfTier bounds the candidates of one tier that a subscriber considers: enough that two thirds may be dead, few enough
// that it keeps a few hundred bytes.
const mostOfTier = 8

// Order is the order in which a process tries distributors: the nearer first, of one tier the deeper, then by rendezvous
// hashing, so that each process has an order of its own and the loss of one moves only those that were there. Only those
// of a lower rank are in it: a chain of subscriptions goes down in rank with each step, and ends at the store.
func Order(self Peer, peers []Peer) []Peer {
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
	taken := [elsewhere + 1]int{}
	for _, c := range all {
		if taken[c.tier]++; taken[c.tier] <= mostOfTier {
			order = append(order, c.peer)
		}
	}
	return order
}

// turned is a candidate that is left alone for a while.
type turned struct {
	until float64
	times int
	soon  bool // it lives, and has asked to be tried again
}

// mostSoon is how often one that lives and has no place yet is waited for, before one that is farther is asked: when all
// start at once, the levels fill from above, and nobody but the first level belongs at the store.
const mostSoon = 4

// turn leaves the present distributor alone: for so long as it said, or for a pause that doubles.
func (s *Subscriber) turn(name string, pause float64) {
	t := s.turned[name]
	t.times++
	doubled := s.set.RetryFrom
	for i := 1; i < t.times && doubled < s.set.RetryMost; i++ {
		doubled *= 2
	}
	doubled = min(doubled, s.set.RetryMost)
	t.soon = false
	t.until = s.now + max(pause, doubled/2+s.draws.below(doubled/2))
	s.turned[name] = t
}

// turnedAway is a refusal: the distributor lives, and says when to come again.
func (s *Subscriber) turnedAway(m Refused) {
	name := s.at.Name
	s.leaveFor(CauseRefused, float64(m.RetryAfter))
	t := s.turned[name]
	t.soon = m.Reason == Busy || m.Reason == NotReady
	s.turned[name] = t
	s.choose()
}

// choose connects to the first candidate that is not left alone, or waits for one.
func (s *Subscriber) choose() {
	if len(s.order) == 0 {
		s.phase = idle
		return
	}
	soonest := s.turned[s.order[0].Name].until
	wait, reached := false, tierOf(s.set.Self, s.order[0])
	for _, p := range s.order {
		t := s.turned[p.Name]
		if far := tierOf(s.set.Self, p); wait && far != reached {
			break
		} else {
			reached = far
		}
		if t.until <= s.now {
			s.connect(p)
			return
		}
		wait = wait || t.soon && t.times <= mostSoon
		soonest = min(soonest, t.until)
	}
	s.phase, s.until = waiting, soonest
}

func (s *Subscriber) connect(p Peer) {
	s.link++
	s.at, s.phase, s.heard, s.taken = p, connecting, s.now, 0
	s.do(Connect{Link: s.link, To: p})
}

// leave ends the present link, if any, and looks for another: at once, or after a draw over the span of a failover.
func (s *Subscriber) leave(why Cause, pause float64, spread bool) {
	s.leaveFor(why, pause)
	if !spread {
		s.choose()
		return
	}
	s.phase, s.until = waiting, s.now+s.draws.below(s.set.FailoverOver)
}

func (s *Subscriber) leaveFor(why Cause, pause float64) {
	if why != CauseLost {
		s.do(Disconnect{Link: s.link})
	}
	s.do(Left{To: s.at, Why: why})
	if why != CauseNearer {
		s.turn(s.at.Name, pause)
	}
	s.gather, s.owed = nil, 0
}

// candidates takes a new list of them.
func (s *Subscriber) candidates(peers []Peer) {
	first := s.order == nil
	s.order = Order(s.set.Self, peers)
	for name := range s.turned {
		if !slices.ContainsFunc(s.order, func(p Peer) bool { return p.Name == name }) {
			delete(s.turned, name)
		}
	}
	switch {
	case s.linked() && !slices.Contains(peers, s.at):
		s.leave(CauseRemoved, 0, true)
	case s.linked():
		s.planReturn()
	case first: // a site that gets its power back starts at once
		s.phase, s.until = waiting, s.now+s.draws.below(s.set.RetryFrom)
	case s.phase == idle:
		s.choose()
	}
}

// planReturn sets when a nearer distributor is tried next.
func (s *Subscriber) planReturn() {
	s.returnAt = 0
	if len(s.order) > 0 && tierOf(s.set.Self, s.order[0]) < tierOf(s.set.Self, s.at) {
		s.returnAt = s.now + s.set.ReturnEvery*(0.5+s.draws.below(1))
	}
}

// nearer leaves for a nearer distributor, if one is not left alone.
func (s *Subscriber) nearer() {
	for _, p := range s.order {
		if tierOf(s.set.Self, p) < tierOf(s.set.Self, s.at) && s.turned[p.Name].until <= s.now {
			s.leave(CauseNearer, 0, false)
			return
		}
	}
	s.planReturn()
}
