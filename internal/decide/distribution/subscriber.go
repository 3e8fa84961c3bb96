package distribution

import "math"

// phase is the state of a subscriber's connection to its distributor.
type phase uint8

// The phases. From phaseConnecting on there is a link, from phaseSubscribing on messages are received.
const (
	phaseIdle        phase = iota // there are no candidates
	phaseBackingOff               // until backoffUntil
	phaseConnecting               // Connect was emitted
	phaseSubscribing              // Subscribe was sent, and nothing has been received yet
	phaseSubscribed
)

// Subscriber receives a stream from one distributor at a time. Use NewSubscriber. It is not safe for concurrent use.
type Subscriber struct {
	settings   Settings
	jitter     jitter
	candidates []Peer // in the order in which they are tried; nil before the first Candidates
	backoffs   map[string]backoff

	phase            phase
	backoffUntil     float64
	link             Link
	parent           Peer    // the present distributor
	lastReceivedAt   float64 // when the last message was received, or when the subscriber began to wait for one
	subscribedAt     float64 // when the last Subscribe was sent
	progressAt       float64 // when a message last brought something new, or when the last Subscribe was sent
	resubscribes     int     // number of repeated Subscribes since a message last brought something new
	lastSentAt       float64 // when the last message was sent to the distributor
	watermarkRoseAt  float64 // when the watermark last rose, or the link was established
	unreturnedCredit int     // bytes that were processed, and whose credit was not returned yet
	receivedBytes    uint64  // on this link

	closerParentAt float64 // when a closer distributor is tried; 0: there is none

	hasState         bool
	epoch            uint64
	applied          uint64    // the sequence up to which all entries were applied
	highestEpoch     uint64    // the highest epoch seen: a distributor that sends a message of a lower epoch is left
	pendingWatermark Watermark // in effect once its sequence is applied: until then entries that later ones cover may be missing
	watermark        Watermark // in effect
	assembly         *snapshotAssembly

	freshness Freshness
	relaxAt   float64 // when the restriction of strict classes ends; 0: not set

	now     float64
	actions []Action
}

// NewSubscriber returns a Subscriber without state. It begins to connect with the first Candidates.
func NewSubscriber(s Settings) *Subscriber {
	return &Subscriber{settings: s, jitter: jitter{s.Seed}, backoffs: map[string]backoff{}, freshness: unknownFreshness}
}

// Position returns the position up to which all entries were applied.
func (s *Subscriber) Position() Position { return Position{Epoch: s.epoch, Sequence: s.applied} }

// Watermark returns the watermark in effect, or the zero value if there is none yet.
func (s *Subscriber) Watermark() Watermark { return s.watermark }

// Lag returns how far this process may be behind, in ms: the age of the watermark plus MaxClockSkew, or infinity without a watermark.
func (s *Subscriber) Lag(now float64) float64 {
	if s.watermark == (Watermark{}) {
		return math.Inf(1)
	}
	return now - float64(s.watermark.At) + s.settings.MaxClockSkew
}

// Parent returns the distributor that the Subscriber is subscribed to, and whether there is one.
func (s *Subscriber) Parent() (Peer, bool) { return s.parent, s.phase == phaseSubscribed }

// Handle processes an event and returns the resulting actions. now is Unix ms.
func (s *Subscriber) Handle(now float64, e Event) []Action {
	s.now, s.actions = now, nil
	s.updateFreshness() // first, because the process may have been paused for long
	switch e := e.(type) {
	case Candidates:
		s.setCandidates(e.Peers)
	case Connected:
		s.connected(e)
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

// connected subscribes on a link that was established.
func (s *Subscriber) connected(e Connected) {
	if e.Link != s.link || s.phase != phaseConnecting {
		return
	}
	s.phase, s.watermarkRoseAt = phaseSubscribing, s.now
	s.resubscribes = 0
	s.scheduleCloserParent()
	s.subscribe()
}

// subscribe requests everything after the present position, on the present link. A snapshot that was being assembled is dropped.
func (s *Subscriber) subscribe() {
	s.assembly, s.unreturnedCredit = nil, 0
	s.subscribedAt, s.progressAt, s.lastReceivedAt = s.now, s.now, s.now
	from := Position{}
	if s.hasState {
		from = s.Position()
	}
	s.send(Subscribe{
		Stream: s.settings.Stream, Name: s.settings.Self.Name, Rank: s.settings.Self.Rank, From: from,
		Credit: s.settings.Credit, ReceivedBytes: s.receivedBytes,
	})
}

// resubscribe subscribes again because entries are missing: at once the first time, and then only if ConnectTimeout has passed since
// the last Subscribe, because an answer may take that long.
func (s *Subscriber) resubscribe() {
	if s.resubscribes > 0 && s.now < s.subscribedAt+s.settings.ConnectTimeout {
		return
	}
	s.resubscribes++
	s.subscribe()
}
