package memory

import "time"

// waitInterval bounds how long a waiting caller sleeps before it asks again for room, and whether it still needs it.
const waitInterval = 20 * time.Millisecond

// StalledClient returns how many bytes are held for the client that holds most of those that read nothing, and a function that
// closes its connection. bytes is 0 if there is none.
type StalledClient func() (bytes int64, closeConn func())

// AddStalledClient adds a function that a front has for its clients. While somebody waits for room, the client that holds most is
// closed.
func (a *Account) AddStalledClient(f StalledClient) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stalledClients = append(a.stalledClients, f)
}

// closeCostliest closes the client that holds most of those that read nothing, if there is one.
func (a *Account) closeCostliest() {
	a.mu.Lock()
	clients := a.stalledClients
	a.mu.Unlock()
	var most int64
	var closeMost func()
	for _, client := range clients {
		if bytes, closeConn := client(); bytes > most {
			most, closeMost = bytes, closeConn
		}
	}
	if closeMost != nil {
		closeMost()
	}
}

// ReserveWaiting reserves bytes, and waits for room as long as needed is true. ok is false if it no longer was.
func (a *Account) ReserveWaiting(o Owner, bytes int64, needed func() bool) (ok bool) {
	for !a.TryReserve(o, bytes) {
		if !needed() {
			return false
		}
		a.closeCostliest()
		a.awaitRelease()
	}
	return true
}

// awaitRelease returns when memory was released, or after waitInterval.
func (a *Account) awaitRelease() {
	timer := time.NewTimer(waitInterval)
	defer timer.Stop()
	select {
	case <-a.freedChannel():
	case <-timer.C:
	}
}
