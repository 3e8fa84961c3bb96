package distribution

// Message is what is sent over a link; see Encode and Decode.
type Message interface{ message() }

// Messages of a subscriber.
type (
	// Subscribe opens a subscription. It is sent again on the same link after a gap.
	Subscribe struct {
		Stream        Stream
		Name          string   // of the subscriber
		Rank          int      // of the subscriber
		From          Position // up to which it has everything; zero: it has nothing
		Credit        int      // bytes of batches and chunks that may be in flight to it
		ReceivedBytes uint64   // of batches and chunks on this link so far: what is in flight from before counts against Credit
	}
	// Credit returns the credit of what the subscriber has processed. With 0 bytes it is a keepalive.
	Credit struct {
		Stream Stream
		Bytes  int
	}
	// Unsubscribe ends a subscription.
	Unsubscribe struct{ Stream Stream }
)

// Messages of a distributor.
type (
	// Batch is all of the stream in (After, Through], but for what something up to Watermark.Sequence covers.
	Batch struct {
		Stream Stream
		Epoch  uint64
		// Atomic: the batch was made from a snapshot, and its sequences say only the order. A subscriber whose position lies within
		// it cannot take a part of it.
		Atomic         bool
		After, Through uint64
		Watermark      Watermark
		Entries        []Entry // by rising sequence
	}
	// SnapshotChunk is a part of a snapshot: all that holds at Through. The chunks of one snapshot have the same Through and
	// Watermark, and are sent in the order of Index.
	SnapshotChunk struct {
		Stream    Stream
		Epoch     uint64
		Through   uint64
		Watermark Watermark
		Index     int
		Last      bool
		Entries   []Entry // by rising sequence, over all chunks
	}
	// Heartbeat shows that the distributor is alive, and brings its watermark.
	Heartbeat struct {
		Stream    Stream
		Epoch     uint64
		Watermark Watermark
	}
	// Rejected ends a subscription, or rejects a new one. The subscriber does not return before RetryAfter ms.
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

// RejectReason is why a distributor rejects a subscription.
type RejectReason uint8

// The reasons. The numbers are on the wire: new ones are appended.
const (
	RejectFull      RejectReason = iota + 1 // it has as many subscribers as its limit allows
	RejectBusy                              // too many subscribe at once
	RejectOldEpoch                          // the subscriber has seen a later epoch
	RejectNotReady                          // it has no complete state yet
	RejectShutdown                          // it is shutting down
	RejectWrongRank                         // the subscriber's rank is not below its own
)

var rejectReasonNames = [...]string{"none", "full", "busy", "old epoch", "not ready", "ending", "wrong rank"}

// String names the reason for logs.
func (r RejectReason) String() string {
	if int(r) >= len(rejectReasonNames) {
		return "unknown"
	}
	return rejectReasonNames[r]
}

// Frame is an encoded message. It is encoded once and shared by all links that it is sent on; it is never changed.
type Frame struct{ Bytes []byte }
