package applier

import "ravenwheel/internal/decide/storestate"

// maxPurgeTimes bounds the number of purges whose times are stored.
const maxPurgeTimes = 1 << 16

// purgeTimes translates the times of purges to this machine's clock. A purge was stamped by the clock of the process that made it, which
// may differ from this one by any amount and be stepped at any time, so that it counts as made when this process first received it. It
// keeps that time when it is received again, as with each snapshot. The zero value is ready for use.
type purgeTimes struct {
	received map[purgeKey]purgeTime
}

type purgeKey struct {
	object string
	group  int
}

// purgeTime is the time of the latest purge of an object or a group by the clock of the process that made it, and by this one. Both are
// in Unix ms.
type purgeTime struct{ issuedAt, receivedAt float64 }

// translate returns the time of a purge that is received at now.
func (t *purgeTimes) translate(purge storestate.Purge, now float64) float64 {
	key := purgeKey{purge.Object, purge.Group}
	if known, ok := t.received[key]; ok && known.issuedAt == purge.IssuedAt {
		return known.receivedAt
	}
	if t.received == nil || len(t.received) >= maxPurgeTimes {
		t.received = map[purgeKey]purgeTime{}
	}
	t.received[key] = purgeTime{issuedAt: purge.IssuedAt, receivedAt: now}
	return now
}
