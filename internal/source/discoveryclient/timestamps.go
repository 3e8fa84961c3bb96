package discoveryclient

import (
	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/timestamp"
	"ravenwheel/policy"
)

// Translate returns the event, which was received at now, in ms, with its timestamps translated to this machine's clock. A purge
// counts as made when it was received: its timestamp is a reading of another machine's clock, which may be wrong by any amount and
// stepped at any time, and no purge is received before it is made.
func (e Event) Translate(t *timestamp.Translator, now float64) Event {
	return e.translateStarts(now, t, t.Start).purgedAt(now)
}

// TranslateInitialEvents returns the events of the configuration with their timestamps translated to this machine's clock. The
// purges among them count as made now.
func TranslateInitialEvents(events []Event, t *timestamp.Translator, now float64) []Event {
	newest := 0.0
	for _, e := range events {
		if e.Purge != nil {
			newest = max(newest, e.Purge.At-core.TimestampResolution)
		}
	}
	if newest > 0 {
		t.Calibrate(now, newest)
	}
	out := make([]Event, len(events))
	for i, e := range events {
		out[i] = e.translateStarts(now, t, t.InitialStart).purgedAt(now)
	}
	return out
}

// purgedAt returns the event with the time of its purge, if it is one, set to now. A copy made in the same millisecond counts as older.
func (e Event) purgedAt(now float64) Event {
	if e.Purge != nil {
		purge := *e.Purge
		purge.At = now + core.TimestampResolution
		e.Purge = &purge
	}
	return e
}

func (e Event) translateStarts(
	now float64, t *timestamp.Translator, translate func(now float64, id policy.ServerID, stamp float64) float64,
) Event {
	members := e.Members
	e.Members = nil
	for _, m := range members {
		m.Started = clock.Duration(translate(now, m.ID, clock.Ms(m.Started)))
		if m.State == policy.Gone {
			t.Gone(m.ID)
		}
		e.Members = append(e.Members, m)
	}
	return e
}
