package distribution

// Message is a message that is sent over a link; see Encode and Decode.
type Message interface{ message() }

// Messages of a subscriber.
type (
	// Subscribe opens a subscription. After a gap it is sent again on the same link, which restarts the subscription.
	Subscribe struct {
		Stream        Stream
		Name          string   // of the subscriber
		Rank          int      // of the subscriber
		From          Position // the position up to which the subscriber has all entries; zero: it has none
		Credit        int      // bytes of batches and chunks that may be in flight to the subscriber
		ReceivedBytes uint64   // of batches and chunks on this link so far: bytes still in flight from before count against Credit
	}
	// Credit returns the credit of the bytes that the subscriber has processed. With 0 bytes it is a keepalive.
	Credit struct {
		Stream Stream
		Bytes  int
	}
	// Unsubscribe ends a subscription.
	Unsubscribe struct{ Stream Stream }
)

// Messages of a distributor.
type (
	// Batch holds all entries of the stream in (After, Through], except those that a later entry up to Watermark.Sequence covers.
	Batch struct {
		Stream Stream
		Epoch  uint64
		// Atomic means that the batch was made from a snapshot, and that its sequences give only the order of the entries. A
		// subscriber whose position lies within the batch cannot apply a part of it.
		Atomic         bool
		After, Through uint64
		Watermark      Watermark
		Entries        []Entry // by rising sequence
	}
	// SnapshotChunk is a part of a snapshot, which holds all entries in effect at Through. The chunks of one snapshot have the same
	// Through and Watermark, and are sent in the order of Index.
	SnapshotChunk struct {
		Stream    Stream
		Epoch     uint64
		Through   uint64
		Watermark Watermark
		Index     int
		Last      bool
		Entries   []Entry // by rising sequence, over all chunks
	}
	// Heartbeat shows that the distributor is alive, and carries its watermark.
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
	RejectFull      RejectReason = iota + 1 // the distributor has as many subscribers as its limit allows
	RejectBusy                              // too many processes subscribe at once
	RejectOldEpoch                          // the subscriber has seen a later epoch
	RejectNotReady                          // the distributor has no complete state yet, or does not carry the stream
	RejectShutdown                          // the distributor is shutting down
	RejectWrongRank                         // the subscriber's rank is not above the distributor's
)

var rejectReasonNames = [...]string{"none", "full", "busy", "old epoch", "not ready", "ending", "wrong rank"}

// String returns the text of the reason for logs.
func (r RejectReason) String() string {
	if int(r) >= len(rejectReasonNames) {
		return "unknown"
	}
	return rejectReasonNames[r]
}

// Frame is an encoded message. It is encoded once for all links that it is sent on, and is never changed.
type Frame struct{ Bytes []byte }
