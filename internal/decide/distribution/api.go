package distribution

// Distributor feeds subscribers. See NewDistributor.
type Distributor struct{ set Settings }

// NewDistributor returns one that has nothing yet: it refuses until it is told Apply or Replace with an epoch.
func NewDistributor(s Settings) *Distributor { return &Distributor{set: s} }

// Handle takes one event and returns what is to be done. now is Unix ms.
func (d *Distributor) Handle(now float64, e Event) []Action { return nil }

// Subscriber gets a stream. See NewSubscriber.
type Subscriber struct{ set Settings }

// NewSubscriber returns one that has nothing yet; it begins with the first Candidates.
func NewSubscriber(s Settings) *Subscriber { return &Subscriber{set: s} }

// Handle takes one event and returns what is to be done. now is Unix ms.
func (s *Subscriber) Handle(now float64, e Event) []Action { return nil }

// Position is up to where all was put in force.
func (s *Subscriber) Position() Position { return Position{} }

// Watermark is how complete it is; the zero value before the first.
func (s *Subscriber) Watermark() Watermark { return Watermark{} }

// Behind is how far this process may be behind, ms: now less the watermark's time, and the bound on clocks.
func (s *Subscriber) Behind(now float64) float64 { return 0 }

// At is the distributor in use.
func (s *Subscriber) At() (Peer, bool) { return Peer{}, false }

// Relay is a Subscriber and a Distributor of one stream in one process: what the one puts in force the other passes on.
type Relay struct {
	Subscriber  *Subscriber
	Distributor *Distributor
}

// NewRelay returns both with the same settings.
func NewRelay(s Settings) *Relay { return &Relay{NewSubscriber(s), NewDistributor(s)} }

// Above handles an event from the level above (or a wake of the Subscriber): above are the Subscriber's actions, below
// those of the Distributor that follow from them.
func (r *Relay) Above(now float64, e Event) (above, below []Action) { return nil, nil }

// GuardState is what the request path goes by; it is replaced whole.
type GuardState struct {
	// Held: strict classes take no copy from before Oldest, Unix ms by this process's clock.
	Held   bool
	Oldest float64
}

// Gate judges requests by the state that Guard told last. It is not safe for use by several goroutines at once.
type Gate struct{ set Settings }

// NewGate returns one that is held with no copy old enough, until Guard says otherwise.
func NewGate(s Settings) *Gate { return &Gate{set: s} }

// Set takes the state of a Guard.
func (g *Gate) Set(s GuardState) {}

// Verdict is what may be done with a copy.
type Verdict uint8

// The verdicts.
const (
	Serve   Verdict = iota // the copy
	Counted                // the copy, and count it as served by a process that may be behind
	Origin                 // not the copy: ask the origin
	Refuse                 // not the copy, and the origin's share is used up
)

// Judge decides on a copy of a class that was made (or validated) at a time, Unix ms.
func (g *Gate) Judge(now float64, class string, made float64) Verdict { return Serve }

// Encode makes a frame of a message.
func Encode(m Message) *Frame { return nil }

// Decode reads a frame.
func Decode(b []byte) (Message, error) { return nil, nil }

// EncodedSize is an upper bound of what an entry takes in a batch or chunk.
func EncodedSize(e Entry) int { return 0 }
