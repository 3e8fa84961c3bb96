package distribution

import "math"

// phase is how far a subscriber is with its distributor.
type phase uint8

const (
	phaseIdle        phase = iota // no candidates
	phaseBackingOff               // for until
	phaseConnecting               // Connect was asked for
	phaseSubscribing              // Subscribe was said, nothing was heard yet
	phaseSubscribed
)

// Subscriber gets a stream. See NewSubscriber.
type Subscriber struct {
	settings   Settings
	jitter     jitter
	candidates []Peer
	backoffs   map[string]backoff

	phase            phase
	backoffUntil     float64 // of waiting
	link             Link
	parent           Peer
	lastReceivedAt   float64 // the last message, or the start of waiting for one
	subscribedAt     float64 // the last Subscribe
	progressAt       float64 // the last that brought something, or the last Subscribe
	resubscribes     int     // Subscribes since then
	lastSentAt       float64 // the last message to the distributor
	watermarkRoseAt  float64 // when the watermark last rose, or the link was opened
	unreturnedCredit int     // bytes taken in and not given back
	receivedBytes    uint64  // bytes taken in on this link

	closerParentAt float64 // 0: there is no nearer one

	hasState         bool // anything at all
	epoch            uint64
	applied          uint64
	highestEpoch     uint64    // the highest epoch heard of: what is below is refused
	pendingWatermark Watermark // holds once all up to its sequence is applied: until then there may be holes that later entries cover
	watermark        Watermark // holds
	assembly         *snapshotAssembly

	freshness Freshness
	relaxAt   float64 // 0: not set

	now     float64
	actions []Action
}

// gather is a snapshot on its way.
type snapshotAssembly struct {
	epoch, through   uint64
	watermark        Watermark
	nextChunk, bytes int
	entries          []Entry
}

// NewSubscriber returns one that has nothing yet; it begins with the first Candidates.
func NewSubscriber(s Settings) *Subscriber {
	return &Subscriber{settings: s, jitter: jitter{s.Seed}, backoffs: map[string]backoff{}, freshness: unknownFreshness}
}

// Position is up to where all was put in force.
func (s *Subscriber) Position() Position { return Position{Epoch: s.epoch, Sequence: s.applied} }

// Watermark is how complete it is; the zero value before the first.
func (s *Subscriber) Watermark() Watermark { return s.watermark }

// Behind is how far this process may be behind, ms: now less the watermark's time, and the bound on clocks.
func (s *Subscriber) Lag(now float64) float64 {
	if s.watermark == (Watermark{}) {
		return math.Inf(1)
	}
	return now - float64(s.watermark.At) + s.settings.MaxClockSkew
}

// At is the distributor in use.
func (s *Subscriber) Parent() (Peer, bool) { return s.parent, s.phase == phaseSubscribed }

// Handle takes one event and returns what is to be done. now is Unix ms.
func (s *Subscriber) Handle(now float64, e Event) []Action {
	s.now, s.actions = now, nil
	s.updateFreshness() // a process that was stopped finds that out before anything else
	switch e := e.(type) {
	case Candidates:
		s.setCandidates(e.Peers)
	case Connected:
		if e.Link == s.link && s.phase == phaseConnecting {
			s.phase, s.watermarkRoseAt = phaseSubscribing, now
			s.resubscribes = 0
			s.scheduleCloserParent()
			s.subscribe()
		}
	case Disconnected:
		if e.Link == s.link && s.hasLink() {
			s.leave(CauseDisconnected, 0, s.phase == phaseSubscribed)
		}
	case Received:
		if e.Link == s.link && s.phase >= phaseSubscribing {
			s.receive(e)
		}
	}
	s.runTimers()
	s.updateFreshness()
	s.requestWake()
	return s.actions
}

func (s *Subscriber) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Subscriber) hasLink() bool { return s.phase >= phaseConnecting }

func (s *Subscriber) send(m Message) {
	s.lastSentAt = s.now
	s.emit(SendMessage{Link: s.link, Message: m})
}

// subscribe asks for all behind what is there, on the present link. What was under way of a snapshot is void.
func (s *Subscriber) subscribe() {
	s.assembly, s.unreturnedCredit = nil, 0
	s.subscribedAt, s.progressAt, s.lastReceivedAt = s.now, s.now, s.now
	from := Position{}
	if s.hasState {
		from = s.Position()
	}
	s.send(Subscribe{Stream: s.settings.Stream, Name: s.settings.Self.Name, Rank: s.settings.Self.Rank, From: from,
		Credit: s.settings.Credit, ReceivedBytes: s.receivedBytes})
}

// resume asks once more, as something is missing; not more often than an answer takes.
func (s *Subscriber) resubscribe() {
	if s.resubscribes > 0 && s.now < s.subscribedAt+s.settings.ConnectTimeout {
		return
	}
	s.resubscribes++
	s.subscribe()
}

func (s *Subscriber) receive(e Received) {
	s.lastReceivedAt = s.now
	var epoch uint64
	var stream Stream
	switch m := e.Message.(type) {
	case Batch:
		epoch, stream = m.Epoch, m.Stream
	case SnapshotChunk:
		epoch, stream = m.Epoch, m.Stream
	case Heartbeat:
		epoch, stream = m.Epoch, m.Stream
	case Rejected:
		if m.Stream == s.settings.Stream {
			s.handleRejected(m)
			return
		}
	}
	if stream != s.settings.Stream || epoch == 0 {
		s.leave(CauseProtocolError, s.settings.MaxBackoff, true)
		return
	}
	if epoch < s.highestEpoch {
		s.leave(CauseFenced, s.settings.MaxBackoff, true)
		return
	}
	s.highestEpoch = epoch
	s.phase = phaseSubscribed
	switch m := e.Message.(type) {
	case Batch:
		s.countReceived(e.Bytes)
		s.handleBatch(m)
	case SnapshotChunk:
		s.countReceived(e.Bytes)
		s.handleChunk(m)
	case Heartbeat:
		s.handleHeartbeat(m)
	}
}

// take counts what came against the credit. It is given back by half, after what it brought is in force.
func (s *Subscriber) countReceived(bytes int) {
	s.unreturnedCredit += bytes
	s.receivedBytes += uint64(bytes)
}

func (s *Subscriber) returnCredit() {
	if s.hasLink() && (2*s.unreturnedCredit >= s.settings.Credit || s.now >= s.lastSentAt+s.settings.KeepaliveInterval) {
		s.send(Credit{Stream: s.settings.Stream, Bytes: s.unreturnedCredit})
		s.unreturnedCredit = 0
	}
}

func (s *Subscriber) handleHeartbeat(m Heartbeat) {
	if !s.hasState || m.Epoch != s.epoch {
		return // a snapshot is on its way, or asked for by the timer
	}
	if s.joinWatermark(m.Watermark) {
		s.emit(AdvanceWatermark{Epoch: s.epoch, Watermark: s.watermark})
	}
}

// join takes a watermark in: of two that hold, the later sequence with the later time holds too. It tells whether the one
// that holds here rose.
func (s *Subscriber) joinWatermark(w Watermark) bool {
	s.pendingWatermark = joinWatermarks(s.pendingWatermark, w)
	if s.applied < s.pendingWatermark.Sequence || s.pendingWatermark == s.watermark {
		return false
	}
	if s.pendingWatermark.At > s.watermark.At {
		s.watermarkRoseAt = s.now
		delete(s.backoffs, s.parent.Name)
	}
	s.watermark = s.pendingWatermark
	return true
}

func joinWatermarks(a, b Watermark) Watermark {
	return Watermark{Sequence: max(a.Sequence, b.Sequence), At: max(a.At, b.At)}
}

func (s *Subscriber) handleBatch(m Batch) {
	switch {
	case !validRange(m):
		s.leave(CauseProtocolError, s.settings.MaxBackoff, true)
		return
	case !s.hasState || m.Epoch != s.epoch, m.After > s.applied:
		s.resubscribe()
		return
	case m.Atomic && m.After < s.applied && s.applied < m.Through: // no distributor may send that
		s.leave(CauseProtocolError, s.settings.MaxBackoff, true)
		return
	case m.Through <= s.applied: // a duplicate; what it says of completeness holds
		if s.joinWatermark(m.Watermark) {
			s.emit(AdvanceWatermark{Epoch: s.epoch, Watermark: s.watermark})
		}
		return
	}
	entries := m.Entries
	for len(entries) > 0 && entries[0].Sequence <= s.applied {
		entries = entries[1:]
	}
	after := s.applied
	s.applied, s.progressAt, s.resubscribes = m.Through, s.now, 0
	s.joinWatermark(m.Watermark)
	s.emit(Apply{Epoch: s.epoch, Atomic: m.Atomic, After: after, Through: s.applied, Watermark: s.pendingWatermark, Entries: entries})
}

// validRange tells whether a batch is what a distributor may say.
func validRange(m Batch) bool {
	if m.Through < m.After || m.Watermark.Sequence < m.Through {
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

func (s *Subscriber) handleChunk(m SnapshotChunk) {
	if s.hasState && m.Epoch == s.epoch && m.Through < s.applied {
		s.assembly = nil // of the past: what is here goes on from where it is
		return
	}
	if m.Index == 0 {
		s.assembly = &snapshotAssembly{epoch: m.Epoch, through: m.Through, watermark: m.Watermark}
	}
	g := s.assembly
	if g == nil || m.Epoch != g.epoch || m.Through != g.through || m.Watermark != g.watermark || m.Index != g.nextChunk {
		s.assembly = nil
		s.resubscribe()
		return
	}
	for _, e := range m.Entries {
		if e.Sequence > m.Through || len(g.entries) > 0 && e.Sequence <= g.entries[len(g.entries)-1].Sequence {
			s.leave(CauseProtocolError, s.settings.MaxBackoff, true)
			return
		}
		g.entries = append(g.entries, e)
		g.bytes += EncodedSize(e)
	}
	if m.Watermark.Sequence > m.Through || g.bytes > s.settings.MaxSnapshot {
		s.leave(CauseProtocolError, s.settings.MaxBackoff, true)
		return
	}
	g.nextChunk++
	s.progressAt = s.now
	if m.Last {
		s.installSnapshot(g)
	}
}

// replace puts a snapshot in force. Only here may the sequence begin anew, with an epoch that is higher.
func (s *Subscriber) installSnapshot(g *snapshotAssembly) {
	s.assembly = nil
	if !s.hasState || g.epoch != s.epoch {
		s.pendingWatermark, s.watermark = Watermark{}, Watermark{}
	}
	s.hasState, s.epoch, s.applied, s.resubscribes = true, g.epoch, g.through, 0
	s.joinWatermark(g.watermark)
	s.emit(InstallSnapshot{Epoch: g.epoch, Through: g.through, Watermark: s.pendingWatermark, Entries: g.entries})
}

// timers does what is due.
func (s *Subscriber) runTimers() {
	if s.phase == phaseBackingOff && s.now >= s.backoffUntil {
		s.connectNext()
	}
	if !s.hasLink() {
		return
	}
	switch {
	case s.now >= s.lastReceivedAt+s.silenceTimeout():
		s.leave(CauseTimeout, 0, s.phase == phaseSubscribed)
		return
	case s.phase < phaseSubscribed:
		return
	case s.incomplete() && s.now >= s.progressAt+s.settings.SilenceTimeout:
		if s.resubscribes >= maxResubscribes {
			s.leave(CauseStalled, 0, true)
			return
		}
		s.resubscribe()
	case s.now >= s.watermarkRoseAt+s.staleParentTimeout():
		s.leave(CauseStalled, 0, true)
		return
	case s.closerParentAt != 0 && s.now >= s.closerParentAt:
		s.tryCloserParent()
		return
	}
	s.returnCredit()
}

// mostAgain is how often what is missing is asked for at one distributor without getting on.
const maxResubscribes = 2

func (s *Subscriber) silenceTimeout() float64 {
	if s.phase < phaseSubscribed {
		return s.settings.ConnectTimeout
	}
	return s.settings.SilenceTimeout
}

// stuckFor is how long a distributor may live and know nothing newer itself. It looks for another level above first.
func (s *Subscriber) staleParentTimeout() float64 { return 2 * s.settings.MaxLag }

// missing tells whether the distributor has said that there is more than is here.
func (s *Subscriber) incomplete() bool {
	return !s.hasState || s.epoch != s.highestEpoch || s.applied < s.pendingWatermark.Sequence
}

// shortestWake is in ms: what is due by then is done together.
const minWake = 1

// wake asks for the next Tick.
func (s *Subscriber) requestWake() {
	due := math.Inf(1)
	set := func(at float64) { due = min(due, max(at, s.now+minWake)) }
	if s.phase == phaseBackingOff {
		set(s.backoffUntil)
	}
	if s.hasLink() {
		set(s.lastReceivedAt + s.silenceTimeout())
	}
	if s.phase == phaseSubscribed {
		set(s.lastSentAt + s.settings.KeepaliveInterval)
		set(s.watermarkRoseAt + s.staleParentTimeout())
		if s.incomplete() {
			set(s.progressAt + s.settings.SilenceTimeout)
		}
		if s.closerParentAt != 0 {
			set(s.closerParentAt)
		}
	}
	if s.relaxAt != 0 {
		set(s.relaxAt)
	}
	if s.freshness.FreshUntil > s.now {
		set(s.freshness.FreshUntil)
	}
	if !math.IsInf(due, 1) {
		s.emit(Wake{After: due - s.now})
	}
}

// guard tells the request path what holds now.
func (s *Subscriber) updateFreshness() {
	if s.watermark == (Watermark{}) {
		return
	}
	next := s.freshness
	next.WatermarkTime = float64(s.watermark.At) + s.settings.MaxClockSkew
	next.FreshUntil = float64(s.watermark.At) + s.settings.MaxLag - s.settings.MaxClockSkew
	switch {
	case s.now >= next.FreshUntil:
		if !next.Restricted || math.IsInf(next.OldestCopy, 1) {
			next.OldestCopy = next.WatermarkTime
		}
		next.Restricted, next.OldestCopy = true, max(next.OldestCopy, next.WatermarkTime)
		s.relaxAt = 0
	case next.Restricted && math.IsInf(next.OldestCopy, 1): // it has just started: there is nobody to go easy on
		next.Restricted, next.OldestCopy = false, 0
	case next.Restricted && s.relaxAt == 0:
		s.relaxAt = s.now + s.jitter.upTo(s.settings.RelaxSpread)
	case next.Restricted && s.now >= s.relaxAt:
		next.Restricted, next.OldestCopy, s.relaxAt = false, 0, 0
	}
	if next != s.freshness {
		s.freshness = next
		s.emit(SetFreshness{State: next})
	}
}
