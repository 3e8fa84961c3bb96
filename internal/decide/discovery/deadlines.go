package discovery

import (
	"math"
	"slices"
)

// deadline is a time by which all events have to be received that count as notified by another time. Both are in ms.
type deadline struct{ dueAt, notifiedUntil float64 }

// deadlines are the deadlines after disturbances: a start, a reload, a disconnect or a silence. What the service published during a
// disturbance may not have been received, and only a confirmation by the service shows that it has. An event does not: others may
// wait behind it. The zero value has no deadline.
type deadlines struct {
	pending []deadline // by dueAt
}

// maxDeadlines bounds the number of pending deadlines. Beyond it, deadlines are merged.
const maxDeadlines = 16

// add adds the deadline for what counts as notified by a time.
func (d *deadlines) add(notifiedUntil, gracePeriod float64) {
	added := deadline{dueAt: notifiedUntil + gracePeriod, notifiedUntil: notifiedUntil}
	i, _ := slices.BinarySearchFunc(d.pending, added.dueAt, func(p deadline, dueAt float64) int {
		if p.dueAt <= dueAt {
			return -1
		}
		return 1
	})
	d.pending = slices.Insert(d.pending, i, added)
	if last := len(d.pending) - 1; last >= maxDeadlines {
		// Events are due too early, never too late.
		d.pending[last-1].notifiedUntil = d.pending[last].notifiedUntil
		d.pending = d.pending[:last]
	}
}

// clear removes all deadlines: everything published so far has been received.
func (d *deadlines) clear() { d.pending = d.pending[:0] }

// next returns when the first deadline is due; plus infinity if there is none.
func (d *deadlines) next() float64 {
	if len(d.pending) == 0 {
		return math.Inf(1)
	}
	return d.pending[0].dueAt
}

// takeDue removes the deadlines that are due by a time. It returns by when the latest of their events count as notified, and whether
// there were any.
func (d *deadlines) takeDue(now float64) (notifiedUntil float64, due bool) {
	for len(d.pending) > 0 && now >= d.pending[0].dueAt {
		notifiedUntil, due = max(notifiedUntil, d.pending[0].notifiedUntil), true
		d.pending = slices.Delete(d.pending, 0, 1)
	}
	return notifiedUntil, due
}
