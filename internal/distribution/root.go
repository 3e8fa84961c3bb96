package distribution

import (
	"errors"
	"math"
	"sync"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/storestate"
)

var errOther = errors.New("distribution: another one listens there")

// root turns what a member of the store applies into what the distributors of both streams are told. Nothing is told before
// the state was confirmed once: a member that was away holds what is long past.
type root struct {
	node *Node

	mu        sync.Mutex
	confirmed float64                        // all that was committed before is here
	last      map[distribution.Stream]uint64 // up to where a stream was told
}

// run confirms the state, again and again, and has all know of it.
func (r *root) run() {
	r.last = map[distribution.Stream]uint64{}
	following := false
	for {
		select {
		case <-r.node.done:
			return
		default:
		}
		index, at, err := r.node.opt.Source.ReadIndex()
		if err == nil && math.Floor(at) > r.confirmed {
			r.mu.Lock()
			r.confirmed = math.Floor(at)
			r.mu.Unlock()
			if !following {
				following = true
				r.node.opt.Source.Observe(r)
			} else {
				r.advance(index)
			}
		}
		r.node.pause(r.node.opt.Settings.HeartbeatInterval)
	}
}

func (r *root) advance(index uint64) {
	mark := r.mark(index)
	for _, at := range Streams {
		r.node.streams[at].post(input{below: true, event: distribution.AdvanceWatermark{Epoch: r.node.opt.Epoch, Watermark: mark}})
	}
}

func (r *root) mark(index uint64) distribution.Watermark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return distribution.Watermark{Sequence: index, At: int64(r.confirmed)}
}

// StateReplaced implements store.Follower.
func (r *root) StateReplaced(s *storestate.State) {
	all, err := whole(s)
	if err != nil {
		r.node.opt.Log.Error("distribution").Err(err).Msg("the store's state can't be passed on")
		return
	}
	mark := r.mark(s.AppliedIndex)
	for _, at := range Streams {
		r.last[at] = s.AppliedIndex
		r.node.streams[at].post(input{below: true, event: distribution.InstallSnapshot{
			Epoch: r.node.opt.Epoch, Through: s.AppliedIndex, Watermark: mark, Entries: all[at],
		}})
	}
}

// ChangeApplied implements store.Follower.
func (r *root) ChangeApplied(index uint64, c storestate.Change, rev storestate.Revision) {
	at, e, err := entryOf(index, c, rev)
	if err != nil {
		r.node.opt.Log.Error("distribution").Err(err).Msg("a change can't be passed on")
		return
	}
	if at == 0 {
		return
	}
	after := r.last[at]
	r.last[at] = index
	r.node.streams[at].post(input{below: true, event: distribution.Apply{
		Epoch: r.node.opt.Epoch, After: after, Through: index, Watermark: r.mark(index), Entries: []distribution.Entry{e},
	}})
}
