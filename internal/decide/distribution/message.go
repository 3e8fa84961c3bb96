// Package distribution decides how purges, revisions of the configuration, lists and drains get from the replicated store
// to every process, through levels of distributors. Distributor and Subscriber are state machines: Handle(now, event)
// returns the actions in the order in which they are to be carried out. It owns the numbering on the wire, what may be
// left out of a stream (coalescing), who subscribes where, and what a process does that may be behind. It opens no socket,
// reads no clock and applies nothing itself: internal/distribution does. Its decisions are tested here: an exhaustive
// model of two levels, models of one stream under drawn faults, and mutations of both that the checker must catch.
//
// One machine has one stream. A process runs one a stream, over one connection if it likes: what is urgent and small
// (purges) does not wait behind what is large (lists).
package distribution

// Stream tells streams apart. Each has an epoch and a sequence of its own.
type Stream uint8

// The streams. Numbers are on the wire: new ones are added behind.
const (
	Purges        Stream = iota + 1 // of objects and groups
	Configuration                   // revisions, lists of sources, drains
)

// Position is a place in a stream. An epoch is one history of the store: it is raised only when the store itself begins
// another one, and then the sequence begins anew. The sequence is the index in the store's log, so that all its members
// number alike; the stream uses some of them.
type Position struct{ Epoch, Sequence uint64 }

// Before tells whether p is earlier than q.
func (p Position) Before(q Position) bool {
	return p.Epoch < q.Epoch || p.Epoch == q.Epoch && p.Sequence < q.Sequence
}

// Watermark says: who has all up to Sequence lacks nothing that was committed before At. At is by the clock of the member
// of the store that commits, rounded down.
type Watermark struct {
	Sequence uint64
	At       int64 // Unix ms
}

// Kind is what an entry is.
type Kind uint8

// The kinds. Numbers are on the wire: new ones are added behind.
const (
	PurgeObject Kind = iota + 1
	PurgeGroup
	Revision // of the configuration
	List     // of a source
	Drain    // of a server, set
	DrainEnded
)

// Entry is one committed fact.
type Entry struct {
	Sequence uint64
	Kind     Kind
	// Name is the object, the scope of a revision (empty: the one for all), the source or the server.
	Name string
	// Group is that of a group's purge, and of an object where Grouped says that it is known.
	Group      int64
	GroupKnown bool
	// Made is when a purge was asked for, a copy older than that is void, or since when a server drains. Until is from
	// when on a purge can bind no copy any more, 0: never. Unix ms, both rounded up: more is void, never less.
	EffectiveAt, ExpiresAt int64
	Version                uint64 // of a revision; a list's generation
	Body                   []byte // of a revision or a list, as the store has it; never changed once it is here
}

// Message is what goes over a link.
type Message interface{ message() }

type (
	// Subscribe opens a subscription, and is said again on the same link after a gap. From is what the subscriber has,
	// zero: nothing. Credit is how many bytes of batches and chunks may be under way to it, and Taken how many it has taken
	// in on this link: what is under way from before counts on.
	Subscribe struct {
		Stream        Stream
		Name          string
		Rank          int
		From          Position
		Credit        int
		ReceivedBytes uint64
	}
	// Credit gives back what the subscriber has taken in. With 0 bytes it says that the subscriber lives.
	Credit struct {
		Stream Stream
		Bytes  int
	}
	// Leave ends a subscription.
	Unsubscribe struct{ Stream Stream }

	// Batch is all of the stream in (After, Through] that was not covered by something later up to Mark.Sequence. Whole: it
	// was made from a snapshot, its sequences are made up, and who is at a place within it can't take a part.
	Batch struct {
		Stream         Stream
		Epoch          uint64
		Atomic         bool
		After, Through uint64
		Watermark      Watermark
		Entries        []Entry // sequences rise
	}
	// Chunk is a part of a snapshot: all that holds at Through. Those of one snapshot have one Through and Mark, and come
	// in the order of Index.
	SnapshotChunk struct {
		Stream    Stream
		Epoch     uint64
		Through   uint64
		Watermark Watermark
		Index     int
		Last      bool
		Entries   []Entry // sequences rise, over all chunks
	}
	// Heartbeat says that the distributor lives, and how complete who has all is.
	Heartbeat struct {
		Stream    Stream
		Epoch     uint64
		Watermark Watermark
	}
	// Refused ends a subscription, or lets none begin. The distributor is left alone for RetryAfter ms.
	Rejected struct {
		Stream     Stream
		Reason     RejectReason
		RetryAfter int
	}
)

func (Subscribe) message()     {}
func (Credit) message()        {}
func (Unsubscribe) message()   {}
func (Batch) message()         {}
func (SnapshotChunk) message() {}
func (Heartbeat) message()     {}
func (Rejected) message()      {}

// Reason is why a distributor refuses.
type RejectReason uint8

// The reasons. Numbers are on the wire: new ones are added behind.
const (
	RejectFull      RejectReason = iota + 1 // as many subscribers as its share allows
	RejectBusy                              // too many at once
	RejectOldEpoch                          // the subscriber has seen a later epoch
	RejectNotReady                          // it has nothing whole to give yet
	RejectShutdown                          // it stops
	RejectWrongRank                         // the subscriber is not below it
)

var rejectReasonNames = [...]string{"none", "full", "busy", "old epoch", "not ready", "ending", "wrong rank"}

// String names the reason for logs.
func (r RejectReason) String() string {
	if int(r) >= len(rejectReasonNames) {
		return "unknown"
	}
	return rejectReasonNames[r]
}

// Frame is a message in its encoding, made once and shared by all that it goes to. It is never changed.
type Frame struct{ Bytes []byte }
