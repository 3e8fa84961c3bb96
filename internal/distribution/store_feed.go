package distribution

import (
	"math"
	"sync"

	decider "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/storestate"
)

// storeFeed turns the changes that a member of the store applies into events of the distributors of both streams. It posts no event
// before a first ReadIndex has succeeded: until then a member that was cut off may have an outdated state.
type storeFeed struct {
	node *Node

	mu          sync.Mutex
	confirmedAt float64 // Unix ms; the member has all changes that were committed before

	lastSequence map[decider.Stream]uint64 // sequence of each stream's latest Apply or InstallSnapshot
}

// run calls ReadIndex once each heartbeat interval, and posts the confirmed index and time as the new watermark.
func (f *storeFeed) run() {
	f.lastSequence = map[decider.Stream]uint64{}
	observing := false
	for {
		select {
		case <-f.node.done:
			return
		default:
		}
		index, at, err := f.node.options.Source.ReadIndex()
		if err == nil && math.Floor(at) > f.confirmedAt {
			f.mu.Lock()
			f.confirmedAt = math.Floor(at)
			f.mu.Unlock()
			if !observing {
				observing = true
				f.node.options.Source.Observe(f)
			} else {
				f.advanceWatermark(index)
			}
		}
		f.node.pause(f.node.options.Settings.HeartbeatInterval)
	}
}

func (f *storeFeed) advanceWatermark(index uint64) {
	watermark := f.watermark(index)
	for _, id := range Streams {
		f.post(id, decider.AdvanceWatermark{Epoch: f.node.options.Epoch, Watermark: watermark})
	}
}

// post queues an event for the distributor of a stream.
func (f *storeFeed) post(id decider.Stream, e decider.Event) {
	f.node.streams[id].post(input{toDistributor: true, event: e})
}

// watermark returns the watermark of a log index with the time that was confirmed last.
func (f *storeFeed) watermark(index uint64) decider.Watermark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return decider.Watermark{Sequence: index, At: int64(f.confirmedAt)}
}

// StateReplaced implements store.Observer.
func (f *storeFeed) StateReplaced(s *storestate.State) {
	entries, err := snapshotEntries(s)
	if err != nil {
		f.node.options.Log.Error("distribution").Err(err).Msg("state of the store can't be converted to entries; it is not distributed")
		return
	}
	watermark := f.watermark(s.AppliedIndex)
	for _, id := range Streams {
		f.lastSequence[id] = s.AppliedIndex
		f.post(id, decider.InstallSnapshot{
			Epoch: f.node.options.Epoch, Through: s.AppliedIndex, Watermark: watermark, Entries: entries[id],
		})
	}
}

// ChangeApplied implements store.Observer.
func (f *storeFeed) ChangeApplied(index uint64, c storestate.Change, r storestate.Revision) {
	id, entry, err := entryOf(index, c, r)
	if err != nil {
		f.node.options.Log.Error("distribution").Err(err).Uint64("index", index).Msg("change of the store can't be converted to an entry; it is not distributed")
		return
	}
	if id == noStream {
		return
	}
	after := f.lastSequence[id]
	f.lastSequence[id] = index
	f.post(id, decider.Apply{
		Epoch: f.node.options.Epoch, After: after, Through: index, Watermark: f.watermark(index),
		Entries: []decider.Entry{entry},
	})
}
