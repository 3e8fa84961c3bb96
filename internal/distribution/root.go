package distribution

import (
	"errors"
	"math"
	"sync"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/storestate"
)

var errUnexpectedPeer = errors.New("distribution: another one listens there")

// root turns what a member of the store applies into what the distributors of both streams are told. Nothing is told before
// the state was confirmed once: a member that was away holds what is long past.
type storeFeed struct {
	node *Node

	mu           sync.Mutex
	confirmedAt  float64                        // all that was committed before is here
	lastSequence map[distribution.Stream]uint64 // up to where a stream was told
}

// run confirms the state, again and again, and has all know of it.
func (r *storeFeed) run() {
	r.lastSequence = map[distribution.Stream]uint64{}
	following := false
	for {
		select {
		case <-r.node.done:
			return
		default:
		}
		index, at, err := r.node.options.Source.ReadIndex()
		if err == nil && math.Floor(at) > r.confirmedAt {
			r.mu.Lock()
			r.confirmedAt = math.Floor(at)
			r.mu.Unlock()
			if !following {
				following = true
				r.node.options.Source.Observe(r)
			} else {
				r.advance(index)
			}
		}
		r.node.pause(r.node.options.Settings.HeartbeatInterval)
	}
}

func (r *storeFeed) advance(index uint64) {
	mark := r.watermark(index)
	for _, at := range Streams {
		r.node.streams[at].post(input{toDistributor: true, event: distribution.AdvanceWatermark{Epoch: r.node.options.Epoch, Watermark: mark}})
	}
}

func (r *storeFeed) watermark(index uint64) distribution.Watermark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return distribution.Watermark{Sequence: index, At: int64(r.confirmedAt)}
}

// StateReplaced implements store.Follower.
func (r *storeFeed) StateReplaced(s *storestate.State) {
	all, err := snapshotEntries(s)
	if err != nil {
		r.node.options.Log.Error("distribution").Err(err).Msg("the store's state can't be passed on")
		return
	}
	mark := r.watermark(s.AppliedIndex)
	for _, at := range Streams {
		r.lastSequence[at] = s.AppliedIndex
		r.node.streams[at].post(input{toDistributor: true, event: distribution.InstallSnapshot{
			Epoch: r.node.options.Epoch, Through: s.AppliedIndex, Watermark: mark, Entries: all[at],
		}})
	}
}

// ChangeApplied implements store.Follower.
func (r *storeFeed) ChangeApplied(index uint64, c storestate.Change, rev storestate.Revision) {
	at, e, err := entryOf(index, c, rev)
	if err != nil {
		r.node.options.Log.Error("distribution").Err(err).Msg("a change can't be passed on")
		return
	}
	if at == 0 {
		return
	}
	after := r.lastSequence[at]
	r.lastSequence[at] = index
	r.node.streams[at].post(input{toDistributor: true, event: distribution.Apply{
		Epoch: r.node.options.Epoch, After: after, Through: index, Watermark: r.watermark(index), Entries: []distribution.Entry{e},
	}})
}
