package distribution

import "math"

// phase is how far a subscriber is with its distributor.
type phase uint8

const (
	idle       phase = iota // no candidates
	waiting                 // for until
	connecting              // Connect was asked for
	asking                  // Subscribe was said, nothing was heard yet
	following
)

// Subscriber gets a stream. See NewSubscriber.
type Subscriber struct {
	set    Settings
	draws  draws
	order  []Peer
	turned map[string]turned

	phase phase
	until float64 // of waiting
	link  Link
	at    Peer
	heard float64 // the last message, or the start of waiting for one
	asked float64 // the last Subscribe
	moved float64 // the last that brought something, or the last Subscribe
	again int     // Subscribes since then
	said  float64 // the last message to the distributor
	risen float64 // when the watermark last rose, or the link was opened
	owed  int     // bytes taken in and not given back
	taken uint64  // bytes taken in on this link

	returnAt float64 // 0: there is no nearer one

	have    bool // anything at all
	epoch   uint64
	applied uint64
	seen    uint64    // the highest epoch heard of: what is below is refused
	pending Watermark // holds once all up to its sequence is applied: until then there may be holes that later entries cover
	mark    Watermark // holds
	gather  *gather

	state  GuardState
	easeAt float64 // 0: not set

	now float64
	out []Action
}

// gather is a snapshot on its way.
type gather struct {
	epoch, through uint64
	mark           Watermark
	index, bytes   int
	entries        []Entry
}

// NewSubscriber returns one that has nothing yet; it begins with the first Candidates.
func NewSubscriber(s Settings) *Subscriber {
	return &Subscriber{set: s, draws: draws{s.Seed}, turned: map[string]turned{}, state: nothingKnown}
}

// Position is up to where all was put in force.
func (s *Subscriber) Position() Position { return Position{Epoch: s.epoch, Sequence: s.applied} }

// Watermark is how complete it is; the zero value before the first.
func (s *Subscriber) Watermark() Watermark { return s.mark }

// Behind is how far this process may be behind, ms: now less the watermark's time, and the bound on clocks.
func (s *Subscriber) Behind(now float64) float64 {
	if s.mark == (Watermark{}) {
		return math.Inf(1)
	}
	return now - float64(s.mark.At) + s.set.ClockBound
}

// At is the distributor in use.
func (s *Subscriber) At() (Peer, bool) { return s.at, s.phase == following }

// Handle takes one event and returns what is to be done. now is Unix ms.
func (s *Subscriber) Handle(now float64, e Event) []Action {
	s.now, s.out = now, nil
	s.guard() // a process that was stopped finds that out before anything else
	switch e := e.(type) {
	case Candidates:
		s.candidates(e.Peers)
	case Connected:
		if e.Link == s.link && s.phase == connecting {
			s.phase, s.risen = asking, now
			s.again = 0
			s.planReturn()
			s.subscribe()
		}
	case Lost:
		if e.Link == s.link && s.linked() {
			s.leave(CauseLost, 0, s.phase == following)
		}
	case Received:
		if e.Link == s.link && s.phase >= asking {
			s.receive(e)
		}
	}
	s.timers()
	s.guard()
	s.wake()
	return s.out
}

func (s *Subscriber) do(a Action) { s.out = append(s.out, a) }

func (s *Subscriber) linked() bool { return s.phase >= connecting }

func (s *Subscriber) say(m Message) {
	s.said = s.now
	s.do(Say{Link: s.link, Message: m})
}

// subscribe asks for all behind what is there, on the present link. What was under way of a snapshot is void.
func (s *Subscriber) subscribe() {
	s.gather, s.owed = nil, 0
	s.asked, s.moved, s.heard = s.now, s.now, s.now
	from := Position{}
	if s.have {
		from = s.Position()
	}
	s.say(Subscribe{Stream: s.set.Stream, Name: s.set.Self.Name, Rank: s.set.Self.Rank, From: from,
		Credit: s.set.Credit, Taken: s.taken})
}

// resume asks once more, as something is missing; not more often than an answer takes.
func (s *Subscriber) resume() {
	if s.again > 0 && s.now < s.asked+s.set.ConnectFor {
		return
	}
	s.again++
	s.subscribe()
}

func (s *Subscriber) receive(e Received) {
	s.heard = s.now
	var epoch uint64
	var stream Stream
	switch m := e.Message.(type) {
	case Batch:
		epoch, stream = m.Epoch, m.Stream
	case Chunk:
		epoch, stream = m.Epoch, m.Stream
	case Heartbeat:
		epoch, stream = m.Epoch, m.Stream
	case Refused:
		if m.Stream == s.set.Stream {
			s.turnedAway(m)
			return
		}
	}
	if stream != s.set.Stream || epoch == 0 {
		s.leave(CauseBroken, s.set.RetryMost, true)
		return
	}
	if epoch < s.seen {
		s.leave(CauseFenced, s.set.RetryMost, true)
		return
	}
	s.seen = epoch
	s.phase = following
	switch m := e.Message.(type) {
	case Batch:
		s.take(e.Bytes)
		s.batch(m)
	case Chunk:
		s.take(e.Bytes)
		s.chunk(m)
	case Heartbeat:
		s.heartbeat(m)
	}
}

// take counts what came against the credit. It is given back by half, after what it brought is in force.
func (s *Subscriber) take(bytes int) {
	s.owed += bytes
	s.taken += uint64(bytes)
}

func (s *Subscriber) giveBack() {
	if s.linked() && (2*s.owed >= s.set.Credit || s.now >= s.said+s.set.AliveEvery) {
		s.say(Credit{Stream: s.set.Stream, Bytes: s.owed})
		s.owed = 0
	}
}

func (s *Subscriber) heartbeat(m Heartbeat) {
	if !s.have || m.Epoch != s.epoch {
		return // a snapshot is on its way, or asked for by the timer
	}
	if s.join(m.Mark) {
		s.do(Advance{Epoch: s.epoch, Mark: s.mark})
	}
}

// join takes a watermark in: of two that hold, the later sequence with the later time holds too. It tells whether the one
// that holds here rose.
func (s *Subscriber) join(w Watermark) bool {
	s.pending = joined(s.pending, w)
	if s.applied < s.pending.Sequence || s.pending == s.mark {
		return false
	}
	if s.pending.At > s.mark.At {
		s.risen = s.now
		delete(s.turned, s.at.Name)
	}
	s.mark = s.pending
	return true
}

func joined(a, b Watermark) Watermark {
	return Watermark{Sequence: max(a.Sequence, b.Sequence), At: max(a.At, b.At)}
}

func (s *Subscriber) batch(m Batch) {
	switch {
	case !validRange(m):
		s.leave(CauseBroken, s.set.RetryMost, true)
		return
	case !s.have || m.Epoch != s.epoch, m.After > s.applied:
		s.resume()
		return
	case m.Whole && m.After < s.applied && s.applied < m.Through: // no distributor may send that
		s.leave(CauseBroken, s.set.RetryMost, true)
		return
	case m.Through <= s.applied: // a duplicate; what it says of completeness holds
		if s.join(m.Mark) {
			s.do(Advance{Epoch: s.epoch, Mark: s.mark})
		}
		return
	}
	entries := m.Entries
	for len(entries) > 0 && entries[0].Sequence <= s.applied {
		entries = entries[1:]
	}
	after := s.applied
	s.applied, s.moved, s.again = m.Through, s.now, 0
	s.join(m.Mark)
	s.do(Apply{Epoch: s.epoch, Whole: m.Whole, After: after, Through: s.applied, Mark: s.pending, Entries: entries})
}

// validRange tells whether a batch is what a distributor may say.
func validRange(m Batch) bool {
	if m.Through < m.After || m.Mark.Sequence < m.Through {
		return false
	}
	last := m.After
	for _, e := range m.Entries {
		if e.Sequence <= last || e.Sequence > m.Through {
			return false
		}
		last = e.Sequence
	}
	return true
}

func (s *Subscriber) chunk(m Chunk) {
	if s.have && m.Epoch == s.epoch && m.Through < s.applied {
		s.gather = nil // of the past: what is here goes on from where it is
		return
	}
	if m.Index == 0 {
		s.gather = &gather{epoch: m.Epoch, through: m.Through, mark: m.Mark}
	}
	g := s.gather
	if g == nil || m.Epoch != g.epoch || m.Through != g.through || m.Mark != g.mark || m.Index != g.index {
		s.gather = nil
		s.resume()
		return
	}
	for _, e := range m.Entries {
		if e.Sequence > m.Through || len(g.entries) > 0 && e.Sequence <= g.entries[len(g.entries)-1].Sequence {
			s.leave(CauseBroken, s.set.RetryMost, true)
			return
		}
		g.entries = append(g.entries, e)
		g.bytes += EncodedSize(e)
	}
	if m.Mark.Sequence > m.Through || g.bytes > s.set.MostSnapshot {
		s.leave(CauseBroken, s.set.RetryMost, true)
		return
	}
	g.index++
	s.moved = s.now
	if m.Last {
		s.replace(g)
	}
}

// replace puts a snapshot in force. Only here may the sequence begin anew, with an epoch that is higher.
func (s *Subscriber) replace(g *gather) {
	s.gather = nil
	if !s.have || g.epoch != s.epoch {
		s.pending, s.mark = Watermark{}, Watermark{}
	}
	s.have, s.epoch, s.applied, s.again = true, g.epoch, g.through, 0
	s.join(g.mark)
	s.do(Replace{Epoch: g.epoch, Through: g.through, Mark: s.pending, Entries: g.entries})
}

// timers does what is due.
func (s *Subscriber) timers() {
	if s.phase == waiting && s.now >= s.until {
		s.choose()
	}
	if !s.linked() {
		return
	}
	switch {
	case s.now >= s.heard+s.patience():
		s.leave(CauseSilent, 0, s.phase == following)
		return
	case s.phase < following:
		return
	case s.missing() && s.now >= s.moved+s.set.SilentFor:
		if s.again >= mostAgain {
			s.leave(CauseStalled, 0, true)
			return
		}
		s.resume()
	case s.now >= s.risen+s.stuckFor():
		s.leave(CauseStalled, 0, true)
		return
	case s.returnAt != 0 && s.now >= s.returnAt:
		s.nearer()
		return
	}
	s.giveBack()
}

// mostAgain is how often what is missing is asked for at one distributor without getting on.
const mostAgain = 2

func (s *Subscriber) patience() float64 {
	if s.phase < following {
		return s.set.ConnectFor
	}
	return s.set.SilentFor
}

// stuckFor is how long a distributor may live and know nothing newer itself. It looks for another level above first.
func (s *Subscriber) stuckFor() float64 { return 2 * s.set.Bound }

// missing tells whether the distributor has said that there is more than is here.
func (s *Subscriber) missing() bool {
	return !s.have || s.epoch != s.seen || s.applied < s.pending.Sequence
}

// shortestWake is in ms: what is due by then is done together.
const shortestWake = 1

// wake asks for the next Tick.
func (s *Subscriber) wake() {
	due := math.Inf(1)
	set := func(at float64) { due = min(due, max(at, s.now+shortestWake)) }
	if s.phase == waiting {
		set(s.until)
	}
	if s.linked() {
		set(s.heard + s.patience())
	}
	if s.phase == following {
		set(s.said + s.set.AliveEvery)
		set(s.risen + s.stuckFor())
		if s.missing() {
			set(s.moved + s.set.SilentFor)
		}
		if s.returnAt != 0 {
			set(s.returnAt)
		}
	}
	if s.easeAt != 0 {
		set(s.easeAt)
	}
	if s.state.FreshUntil > s.now {
		set(s.state.FreshUntil)
	}
	if !math.IsInf(due, 1) {
		s.do(Wake{After: due - s.now})
	}
}

// guard tells the request path what holds now.
func (s *Subscriber) guard() {
	if s.mark == (Watermark{}) {
		return
	}
	next := s.state
	next.Watermark = float64(s.mark.At) + s.set.ClockBound
	next.FreshUntil = float64(s.mark.At) + s.set.Bound - s.set.ClockBound
	switch {
	case s.now >= next.FreshUntil:
		if !next.Held || math.IsInf(next.Oldest, 1) {
			next.Oldest = next.Watermark
		}
		next.Held, next.Oldest = true, max(next.Oldest, next.Watermark)
		s.easeAt = 0
	case next.Held && math.IsInf(next.Oldest, 1): // it has just started: there is nobody to go easy on
		next.Held, next.Oldest = false, 0
	case next.Held && s.easeAt == 0:
		s.easeAt = s.now + s.draws.below(s.set.EaseOver)
	case next.Held && s.now >= s.easeAt:
		next.Held, next.Oldest, s.easeAt = false, 0, 0
	}
	if next != s.state {
		s.state = next
		s.do(Guard{State: next})
	}
}
