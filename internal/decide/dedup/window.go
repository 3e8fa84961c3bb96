// Package dedup tells new messages from repeated ones, for senders that number their messages. It keeps a sliding window of the
// newest numbers of one incarnation of a sender, as RFC 6479 describes for IPsec, and needs no clock. It authenticates nothing: the
// caller has checked who sent a message. Its decisions are tested against a model in window_test.go.
package dedup

// The window is a ring of words of bits, one bit per sequence number.
const (
	windowWords = 16
	wordBits    = 64
)

// WindowSize is how far a sequence number may lie behind the highest one received and still be told from a repeated one: datagrams
// may overtake each other. It is one word less than the ring, because the word of the highest number is partly filled.
const WindowSize = (windowWords - 1) * wordBits

// Window holds which messages of one sender were accepted. The zero value has accepted none. It is not safe for concurrent use.
type Window struct {
	incarnation uint64
	highest     uint64
	seen        [windowWords]uint64
	accepted    bool // at least one message
}

// Accept reports whether a message is new, and records it. incarnation rises with each start of the sender, and sequence numbers
// the messages within one. A message of an earlier incarnation, one that was accepted before, and one more than WindowSize behind
// the highest is not new.
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

// advance makes a sequence number the highest, and clears the words that the window moves on to.
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
