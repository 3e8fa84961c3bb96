package membership

import (
	"container/heap"

	"ravenwheel/policy"
)

// expire does what is due: drains that are over, servers to be forgotten, weights on their way, silent sources.
func (l *Table) expire() {
	for len(l.due) > 0 && l.due[0].at <= l.now {
		d := heap.Pop(&l.due).(due)
		r := l.records[d.id]
		if r == nil {
			continue
		}
		at, _, _ := r.word()
		switch {
		case r.phase == Gone && at < 0 && r.until <= l.now:
			l.do(Transition{Member: r.facts, From: Gone, To: None, Reason: "forgotten"})
			delete(l.records, r.id)
			delete(l.back, r.id)
		case at < 0 || r.step > 0 && r.step <= l.now || r.phase == Joining:
			l.touched[r.id] = struct{}{}
		}
	}
	for i, s := range l.sources {
		if s.SilentAfter > 0 && s.told && !s.silent && l.now-s.heard >= s.SilentAfter {
			s.silent = true
			l.do(SilenceChanged{i, true})
		}
	}
}

// ask asks to be woken when something falls due next.
func (l *Table) ask() {
	if len(l.due) == 0 || l.due[0].at == l.wake && l.wake > l.now {
		return
	}
	l.wake = l.due[0].at
	l.do(Wake{l.wake})
}

func (l *Table) later(at float64, id policy.CacheID) { heap.Push(&l.due, due{at, id}) }

// due is a time at which something of a server falls due. An entry that has become void does no harm.
type due struct {
	at float64
	id policy.CacheID
}

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *dues) Push(x any) { *d = append(*d, x.(due)) }

// Pop implements heap.Interface.
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
