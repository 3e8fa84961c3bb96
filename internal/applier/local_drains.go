package applier

import (
	"sync"

	"ravenwheel/internal/decide/storestate"
)

// LocalDrains passes the store's changes on to a queue, and keeps the drains in force that this process has started itself while the
// store's changes that start them are on their way: a member that was away applies older changes first, which may end an earlier
// drain of the same server. It implements store.Observer and is safe for concurrent use. The drains are put in force by the caller.
type LocalDrains struct {
	queue *Queue

	mu      sync.Mutex
	pending map[string]string // by the server's name: id of the change that starts its drain in the store
}

// NewLocalDrains returns a LocalDrains without drains that passes changes on to a queue.
func NewLocalDrains(queue *Queue) *LocalDrains {
	return &LocalDrains{queue: queue, pending: map[string]string{}}
}

// Begin ignores ends of drains of a server until the change with the given id has arrived.
func (d *LocalDrains) Begin(server, changeID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending[server] = changeID
}

// Forget reverses Begin, if the store has not accepted the change.
func (d *LocalDrains) Forget(server, changeID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending[server] == changeID {
		delete(d.pending, server)
	}
}

// Push passes a change on, unless it ends a drain from before the server's local drain. Changes arrive in the order of the log.
func (d *LocalDrains) Push(c storestate.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changeID, pending := d.pending[c.Name]
	switch {
	case pending && c.Kind == storestate.StartDrain && c.ID == changeID:
		delete(d.pending, c.Name)
	case pending && c.Kind == storestate.EndDrain:
		return
	}
	d.queue.Push(c)
}

// StateReplaced implements store.Observer. A state that includes the change of a local drain decides whether the drain goes on.
func (d *LocalDrains) StateReplaced(s *storestate.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for server, changeID := range d.pending {
		if !s.HasApplied(changeID) {
			continue
		}
		delete(d.pending, server)
		if _, draining := s.Drains[server]; !draining {
			d.queue.Push(storestate.Change{Kind: storestate.EndDrain, Name: server})
		}
	}
}

// ChangeApplied implements store.Observer. Push receives the same changes.
func (*LocalDrains) ChangeApplied(uint64, storestate.Change, storestate.Revision) {}
