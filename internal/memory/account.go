// Package memory accounts for the memory that clients, servers and operators can make the process hold. Whoever is about to hold
// bytes for another side reserves them first, and releases them when they are no longer held. The package decides only whether
// there is room; what happens where there is none is decided by the caller: it refuses a request, pauses a reader, or closes a
// connection.
package memory

import (
	"math"
	"sync"
	"sync/atomic"
)

// Owner is what reserved memory is held for.
type Owner int

// The owners.
const (
	ClientConns Owner = iota // the fixed cost of clients' connections
	Input                    // parts of clients' requests that have arrived
	Requests                 // open requests, with their bodies
	ServerConns              // the fixed cost of connections to servers
	Answers                  // answers, from their first byte from a server to their last byte to a client
	Services                 // connections of operators, members of the store and peers
	ownerCount
)

var ownerNames = [ownerCount]string{"client_conns", "input", "requests", "server_conns", "answers", "services"}

// String implements fmt.Stringer.
func (o Owner) String() string { return ownerNames[o] }

// maxShare is the percentage of the limit that each owner may reserve. newWorkShare is the percentage that may be reserved in all
// before what only starts new work is refused: the rest is for the answers of the requests that were taken on.
var maxShare = [ownerCount]int64{ClientConns: 45, Input: 20, Requests: 45, ServerConns: 15, Answers: 60, Services: 25}

const newWorkShare, percent = 80, 100

// Account is an amount of memory that all owners share. A nil Account has no limit and counts nothing.
type Account struct {
	limit   atomic.Int64
	total   atomic.Int64
	highest atomic.Int64 // of total
	owners  [ownerCount]struct{ used, highest, refused atomic.Int64 }

	mu    sync.Mutex
	freed chan struct{} // closed when memory is released; nil: nobody waits
	// stalledClients tell which clients can be closed to free memory; see AddStalledClient.
	stalledClients []StalledClient
}

// New returns an account of a number of bytes.
func New(limit int64) *Account {
	a := &Account{}
	a.limit.Store(limit)
	return a
}

// SetLimit changes the number of bytes. What is reserved beyond it stays reserved.
func (a *Account) SetLimit(limit int64) {
	if a != nil {
		a.limit.Store(limit)
		a.signal()
	}
}

// Limit returns the number of bytes that may be reserved.
func (a *Account) Limit() int64 { return a.limit.Load() }

// Share returns how many bytes an owner may reserve.
func (a *Account) Share(o Owner) int64 { return a.limit.Load() * maxShare[o] / percent }

// TryReserve reserves bytes and reports whether there was room for them.
func (a *Account) TryReserve(o Owner, bytes int64) bool {
	if a == nil || a.tryReserve(o, bytes) {
		return true
	}
	a.owners[o].refused.Add(1)
	return false
}

func (a *Account) tryReserve(o Owner, bytes int64) bool {
	limit := a.limit.Load()
	if used := a.owners[o].used.Add(bytes); used > limit*maxShare[o]/percent {
		a.owners[o].used.Add(-bytes)
		return false
	}
	total := a.total.Add(bytes)
	if total > mostInAll(o, limit) {
		a.total.Add(-bytes)
		a.owners[o].used.Add(-bytes)
		return false
	}
	raise(&a.highest, total)
	raise(&a.owners[o].highest, a.owners[o].used.Load())
	return true
}

// mostInAll returns how much may be reserved in all after a reservation for an owner. What clients' connections cost is within their
// own share alone: to close a connection would lose more than the rest has to gain.
func mostInAll(o Owner, limit int64) int64 {
	switch o {
	case Input, Requests:
		return limit * newWorkShare / percent
	case ClientConns:
		return math.MaxInt64
	}
	return limit
}

// Release ends the reservation of bytes.
func (a *Account) Release(o Owner, bytes int64) {
	if a == nil || bytes == 0 {
		return
	}
	a.owners[o].used.Add(-bytes)
	a.total.Add(-bytes)
	a.signal()
}

// freedChannel returns a channel that is closed when memory is released after the call.
func (a *Account) freedChannel() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

func (a *Account) signal() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// IsScarce reports whether more than half of what an owner may reserve is reserved.
func (a *Account) IsScarce(o Owner) bool {
	return a != nil && 2*a.owners[o].used.Load() > a.Share(o)
}

// IsFull reports whether there is no room for bytes of an owner.
func (a *Account) IsFull(o Owner, bytes int64) bool {
	return a != nil && (a.owners[o].used.Load()+bytes > a.Share(o) || a.total.Load()+bytes > a.limit.Load())
}

// Used returns how many bytes an owner has reserved.
func (a *Account) Used(o Owner) int64 {
	if a == nil {
		return 0
	}
	return a.owners[o].used.Load()
}

func raise(highest *atomic.Int64, value int64) {
	for {
		old := highest.Load()
		if value <= old || highest.CompareAndSwap(old, value) {
			return
		}
	}
}
