package membership

import (
	"container/heap"

	"ravenwheel/policy"
)

// minTimerDelay, in ms, keeps the table from requesting a Tick for the present time again and again if a setting is 0.
const minTimerDelay = 1

// nsPerMs converts between policy.Time and the package's times.
const nsPerMs = 1e6

// toMs converts a policy.Time to ms.
func toMs(t policy.Time) float64 { return float64(t) / nsPerMs }

// fromMs converts a time in ms to a policy.Time.
func fromMs(ms float64) policy.Time { return policy.Time(ms * nsPerMs) }

// expire handles all timers that are due: ends of drains, servers to delete, weight steps, and sources that are silent.
func (t *Table) expire() {
	for len(t.timers) > 0 && t.timers[0].at <= t.now {
		due := heap.Pop(&t.timers).(timer)
		if s := t.servers[due.id]; s != nil {
			t.expireServer(s)
		}
	}
	for i, src := range t.sources {
		if src.SilentAfter > 0 && src.received && !src.silent && t.now-src.lastEventAt >= src.SilentAfter {
			src.silent = true
			t.emit(SilenceChanged{Source: i, Silent: true})
		}
	}
}

// expireServer deletes a server whose retention is over, and marks one for which something else may be due.
func (t *Table) expireServer(s *server) {
	unlisted := s.merge().factsSource < 0
	switch {
	case s.phase == Gone && unlisted && s.deadline <= t.now:
		t.emit(Transition{Member: s.current, From: Gone, To: None, Reason: reasonForgotten})
		delete(t.servers, s.id)
		delete(t.manualDrainsEnded, s.id)
	case unlisted || s.nextWeightStep > 0 && s.nextWeightStep <= t.now || s.phase == Joining:
		t.markDirty(s.id)
	}
}

// requestWake asks the caller for a Tick when the next timer is due.
func (t *Table) requestWake() {
	if len(t.timers) == 0 || t.timers[0].at == t.wake && t.wake > t.now {
		return
	}
	t.wake = t.timers[0].at
	t.emit(Wake{At: t.wake})
}

// schedule sets a timer at a time, in ms, for a server. The id 0 stands for a check of the sources alone.
func (t *Table) schedule(at float64, id policy.ServerID) { heap.Push(&t.timers, timer{at, id}) }

// timer is a time at which a server may have to change. A timer that is no longer needed has no effect.
type timer struct {
	at float64 // ms
	id policy.ServerID
}

// timers is a heap with the earliest timer first.
type timers []timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timers) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
