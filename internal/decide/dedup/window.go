// Package dedup distinguishes new messages from repeated ones, for senders that number their messages. It keeps a sliding window of
// the newest sequence numbers of one incarnation of a sender, as RFC 6479 describes for IPsec, and needs no clock. It authenticates
// nothing: the caller must have checked who sent a message. Its decisions are tested against a model in window_test.go.
package dedup

// The window is a ring of words of bits, one bit per sequence number.
const (
	windowWords = 16
	wordBits    = 64
)

// WindowSize is how far a new message's sequence number may be below the highest one received, because datagrams may overtake each
// other. It is one word less than the ring, because the word of the highest number is partly filled.
const WindowSize = (windowWords - 1) * wordBits

// Window records which messages of one sender were accepted. The zero value has accepted none. It is not safe for concurrent use.
type Window struct {
	incarnation uint64
	highest     uint64
	seen        [windowWords]uint64
	accepted    bool // at least one message was accepted
}

// Accept reports whether a message is new, and records it. incarnation rises with each start of the sender; sequence is the number of
// the message within the incarnation. A message is not new if it is of an earlier incarnation, was accepted before, or has a sequence
// number more than WindowSize below the highest.
func (w *Window) Accept(incarnation, sequence uint64) bool {
	if !w.accepted || incarnation > w.incarnation {
		*w = Window{incarnation: incarnation, highest: sequence, accepted: true}
		w.setSeen(sequence)
		return true
	}
	if incarnation < w.incarnation || sequence+WindowSize < w.highest {
		return false
	}
	if sequence <= w.highest && w.isSeen(sequence) {
		return false
	}
	if sequence > w.highest {
		w.advance(sequence)
	}
	w.setSeen(sequence)
	return true
}

// advance makes sequence the highest number, and clears the words of the ring that now stand for higher numbers.
func (w *Window) advance(sequence uint64) {
	first, last := w.highest/wordBits+1, sequence/wordBits
	for word := first; word <= last && word < first+windowWords; word++ {
		w.seen[word%windowWords] = 0
	}
	w.highest = sequence
}

func (w *Window) setSeen(sequence uint64) {
	w.seen[sequence/wordBits%windowWords] |= 1 << (sequence % wordBits)
}

func (w *Window) isSeen(sequence uint64) bool {
	return w.seen[sequence/wordBits%windowWords]&(1<<(sequence%wordBits)) != 0
}
