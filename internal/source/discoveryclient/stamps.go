package discoveryclient

import (
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/timestamp"
	"ravenwheel/policy"
)

// ms is a time of the module's in ms.
func ms(t policy.Time) float64 { return float64(t) / 1e6 }

// Translate returns a notice that was heard now with its stamps read as times on this machine's clock.
func (n Event) Translate(r *timestamp.Translator, now float64) Event {
	start := r.Start
	if n.Complete {
		start = r.SnapshotStart
	}
	n = n.started(now, start)
	if n.Purge != nil {
		p := *n.Purge
		p.At = r.Purge(now, p.At-core.TimestampResolution) + core.TimestampResolution
		n.Purge = &p
	}
	r.Heartbeat(now)
	return n
}

// TranslateInitialEvents returns the notices of the start with their stamps read. The purges among them are of the last span of so many ms.
func TranslateInitialEvents(known []Event, r *timestamp.Translator, now, span float64) []Event {
	newest := 0.0
	for _, n := range known {
		if n.Purge != nil {
			newest = max(newest, n.Purge.At)
		}
	}
	if newest > 0 {
		r.Calibrate(now, newest, span)
	}
	out := make([]Event, len(known))
	for i, n := range known {
		out[i] = n.started(now, r.SnapshotStart)
		if n.Purge != nil {
			p := *n.Purge
			p.At = r.InitialPurge(now, p.At-core.TimestampResolution) + core.TimestampResolution
			out[i].Purge = &p
		}
	}
	return out
}

func (n Event) started(now float64, read func(now float64, id policy.CacheID, stamp float64) float64) Event {
	members := n.Members
	n.Members = nil
	for _, m := range members {
		m.Started = policy.Time(read(now, m.ID, ms(m.Started)) * 1e6)
		n.Members = append(n.Members, m)
	}
	return n
}
