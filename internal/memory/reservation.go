package memory

import "sync/atomic"

// Reservation is memory that is reserved for one owner, until Release is called. A nil Reservation is empty.
type Reservation struct {
	account *Account
	owner   Owner
	bytes   atomic.Int64
}

// Reserve reserves bytes. ok is false if there is no room for them.
func (a *Account) Reserve(o Owner, bytes int64) (r *Reservation, ok bool) {
	if a == nil {
		return nil, true
	}
	if !a.TryReserve(o, bytes) {
		return nil, false
	}
	return a.Adopt(o, bytes), true
}

// Adopt returns a reservation of bytes that are reserved already.
func (a *Account) Adopt(o Owner, bytes int64) *Reservation {
	if a == nil {
		return nil
	}
	r := &Reservation{account: a, owner: o}
	r.bytes.Store(bytes)
	return r
}

// Grow adds bytes to the reservation, also where there is no room for them: what the process can't do without, and what has a bound
// of its own, leaves less to others.
func (r *Reservation) Grow(bytes int64) {
	if r == nil {
		return
	}
	r.bytes.Add(bytes)
	counts := &r.account.owners[r.owner]
	raise(&counts.highest, counts.used.Add(bytes))
	raise(&r.account.highest, r.account.total.Add(bytes))
}

// Release ends the reservation. Further calls have no effect.
func (r *Reservation) Release() {
	if r != nil {
		r.account.Release(r.owner, r.bytes.Swap(0))
	}
}
