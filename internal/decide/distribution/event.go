package distribution

// Event is an input of a machine.
type Event interface{ event() }

// Link identifies a connection. A Subscriber numbers the links that it opens, from 1, in Connect. The caller of a Distributor numbers
// incoming links, and uses each number once. Events of a link that the machine has closed may still be delivered, and are ignored.
type Link uint64

// Events of both machines.
type (
	// Tick reports that the latest Wake is due. An early or repeated Tick does no harm.
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
	// Candidates holds all known distributors. It is delivered once at the start, and whenever the distributors change.
	Candidates struct{ Peers []Peer }
	// Connected reports that the link that a Connect requested is established.
	Connected struct{ Link Link }
)

// Events of a Distributor, beside Apply, InstallSnapshot and AdvanceWatermark.
type (
	// Demand is the number of subscribers, and of distributors that share them (those of one zone, say), from the registry.
	Demand struct{ Subscribers, Distributors int }
	// Shutdown begins a graceful shutdown: the subscribers are moved to other distributors, spread over Settings.FailoverSpread.
	Shutdown struct{}
)

// Changes of the state. They are actions of a Subscriber, whose process applies them, and events of a Distributor, which passes them
// on to its subscribers; Relay chains levels that way. At the root, internal/distribution makes them from what the store commits.
type (
	// Apply adds entries, in order, each once. Afterwards the state has every entry up to Through, except those that a later entry
	// up to Watermark.Sequence covers.
	Apply struct {
		Epoch          uint64
		Atomic         bool // see Batch
		After, Through uint64
		Watermark      Watermark
		Entries        []Entry
	}
	// InstallSnapshot replaces the state: revisions, lists and drains are those of Entries and no others. Purges are merged with
	// those in effect (the latest EffectiveAt and ExpiresAt of each hold), which end when they expire. Entries that are in effect
	// already are not applied again.
	InstallSnapshot struct {
		Epoch     uint64
		Through   uint64
		Watermark Watermark
		Entries   []Entry
	}
	// AdvanceWatermark reports that there is no new entry up to Watermark.Sequence. The watermark is later than the last one.
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
