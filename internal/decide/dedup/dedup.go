// Package dedup tells messages that are new from those that were taken before, for senders who number them. It holds a
// window of the newest numbers (RFC 6479's sliding window) for each start of a sender, and needs no clock. Tested as a
// model in replay_test.go.
package dedup

const words, bits = 16, 64

// Span is how far behind the newest number one may come and still be told from a repeated one: datagrams overtake.
const Span = (words - 1) * bits

// Window is one sender's. The zero value has taken nothing.
type Window struct {
	start, highest uint64
	seen           [words]uint64
	any            bool
}

// Take tells whether a message is new, and books it. start tells the sender's starts apart and rises with each; number is
// the message's own within it. What is of an older start, was taken before, or is too far behind, is not new.
func (w *Window) Take(start, number uint64) bool {
	if !w.any || start > w.start {
		*w = Window{start: start, highest: number, any: true}
		w.mark(number)
		return true
	}
	if start < w.start || number+Span < w.highest || number <= w.highest && w.marked(number) {
		return false
	}
	if number > w.highest {
		for block := w.highest/bits + 1; block <= number/bits && block <= w.highest/bits+words; block++ {
			w.seen[block%words] = 0
		}
		w.highest = number
	}
	w.mark(number)
	return true
}

func (w *Window) mark(n uint64)        { w.seen[n/bits%words] |= 1 << (n % bits) }
func (w *Window) marked(n uint64) bool { return w.seen[n/bits%words]&(1<<(n%bits)) != 0 }
