package discoveryclient

import (
	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/timestamp"
	"ravenwheel/policy"
)

// Translate returns the event, which was received at now, in ms, with its timestamps translated to this machine's clock.
func (e Event) Translate(t *timestamp.Translator, now float64) Event {
	start := t.Start
	if e.Complete {
		start = t.SnapshotStart
	}
	e = e.translateStarts(now, start)
	e = e.translatePurge(now, t.Purge)
	t.Heartbeat(now)
	return e
}

// TranslateInitialEvents returns the events of the configuration with their timestamps translated to this machine's clock. The
// purges among them were made within the last span ms.
func TranslateInitialEvents(events []Event, t *timestamp.Translator, now, span float64) []Event {
	newest := 0.0
	for _, e := range events {
		if e.Purge != nil {
			newest = max(newest, e.Purge.At)
		}
	}
	if newest > 0 {
		t.Calibrate(now, newest, span)
	}
	out := make([]Event, len(events))
	for i, e := range events {
		out[i] = e.translateStarts(now, t.SnapshotStart).translatePurge(now, t.InitialPurge)
	}
	return out
}

func (e Event) translatePurge(now float64, translate func(now, stamp float64) float64) Event {
	if e.Purge == nil {
		return e
	}
	p := *e.Purge
	p.At = translate(now, p.At-core.TimestampResolution) + core.TimestampResolution
	e.Purge = &p
	return e
}

func (e Event) translateStarts(now float64, translate func(now float64, id policy.ServerID, stamp float64) float64) Event {
	members := e.Members
	e.Members = nil
	for _, m := range members {
		m.Started = clock.Duration(translate(now, m.ID, clock.Ms(m.Started)))
		e.Members = append(e.Members, m)
	}
	return e
}
