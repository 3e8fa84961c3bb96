package distribution

// Event is an input of a machine.
type Event interface{ event() }

// Link identifies a connection. A Subscriber numbers its own links, from 1, in Connect; a Distributor's shell numbers incoming ones,
// each with a number not used before. Events of a link that was given up may still be delivered, and are ignored.
type Link uint64

// Events of both machines.
type (
	// Tick reports that the latest Wake is due. An early or repeated one does no harm.
	Tick struct{}
	// Received is a message on a link, with its size on the wire.
	Received struct {
		Link    Link
		Message Message
		Bytes   int
	}
	// Disconnected reports that a link has ended, or was never established.
	Disconnected struct{ Link Link }
)

// Events of a Subscriber.
type (
	// Candidates are all distributors that are known. They are delivered once at the start, and whenever they change.
	Candidates struct{ Peers []Peer }
	// Connected reports that the link of a Connect is established.
	Connected struct{ Link Link }
)

// Events of a Distributor, beside Apply, InstallSnapshot and AdvanceWatermark.
type (
	// Demand is how many subscribers and distributors there are that share the load (of one zone, say), from the registry.
	Demand struct{ Subscribers, Distributors int }
	// Shutdown begins a graceful shutdown: subscribers are moved to other distributors, spread over Settings.FailoverSpread.
	Shutdown struct{}
)

// Changes of the state. They are actions of a Subscriber, which has them put into force, and events of a Distributor, which passes them
// on: that is how levels are chained, see Relay. At the root the shell makes them from what the store commits.
type (
	// Apply adds entries, in order, each once. Afterwards everything up to Through is there, but for what something up to
	// Watermark.Sequence covers.
	Apply struct {
		Epoch          uint64
		Atomic         bool // see Batch
		After, Through uint64
		Watermark      Watermark
		Entries        []Entry
	}
	// InstallSnapshot replaces the state: revisions, lists and drains are those of Entries and no others. Purges are merged with
	// those in force (the latest EffectiveAt and ExpiresAt of each hold), which end when they expire. What is in force already is not
	// put into force again.
	InstallSnapshot struct {
		Epoch     uint64
		Through   uint64
		Watermark Watermark
		Entries   []Entry
	}
	// AdvanceWatermark reports that there is nothing new up to Watermark.Sequence. The watermark is later than the last one.
	AdvanceWatermark struct {
		Epoch     uint64
		Watermark Watermark
	}
)

func (Tick) event()             {}
func (Received) event()         {}
func (Disconnected) event()     {}
func (Candidates) event()       {}
func (Connected) event()        {}
func (Demand) event()           {}
func (Shutdown) event()         {}
func (Apply) event()            {}
func (InstallSnapshot) event()  {}
func (AdvanceWatermark) event() {}
