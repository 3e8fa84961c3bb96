package store

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

type op int

const (
	opSpend op = iota
	opPutKey
	opDropKey
	opRevoke
	opConfig
)

// change is one entry of the log. Times are the proposer's, so that all members prune alike.
type change struct {
	Op    op
	Name  string
	Value string  `json:",omitempty"`
	Key   Key     `json:",omitzero"`
	Until float64 `json:",omitempty"`
	Now   float64 `json:",omitempty"`
}

// state is what the log adds up to.
type state struct {
	mu      sync.RWMutex
	Keys    map[string]Key
	Config  map[string]string
	Spent   map[string]float64 // until when a replay could still pass
	Revoked map[string]float64
}

func newState() *state {
	return &state{
		Keys: map[string]Key{}, Config: map[string]string{}, Spent: map[string]float64{}, Revoked: map[string]float64{},
	}
}

// Apply takes one entry; its result is nil or an error.
func (s *state) Apply(l *raft.Log) any {
	var c change
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c.Op {
	case opSpend:
		prune(s.Spent, c.Now)
		if _, spent := s.Spent[c.Name]; spent {
			return ErrSpent
		}
		s.Spent[c.Name] = c.Until
	case opPutKey:
		s.Keys[c.Name] = c.Key
	case opDropKey:
		delete(s.Keys, c.Name)
	case opRevoke:
		prune(s.Revoked, c.Now)
		s.Revoked[c.Name] = c.Until
	case opConfig:
		s.Config[c.Name] = c.Value
	}
	return nil
}

func prune(ids map[string]float64, now float64) {
	for id, until := range ids {
		if until < now {
			delete(ids, id)
		}
	}
}

// Snapshot copies the state as JSON.
func (s *state) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	raw, err := json.Marshal(s)
	return snapshot(raw), err
}

// Restore replaces the state by a snapshot.
func (s *state) Restore(r io.ReadCloser) error {
	defer r.Close()
	fresh := newState()
	if err := json.NewDecoder(r).Decode(fresh); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Keys, s.Config, s.Spent, s.Revoked = fresh.Keys, fresh.Config, fresh.Spent, fresh.Revoked
	return nil
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return sink.Cancel()
	}
	return sink.Close()
}

func (snapshot) Release() {}
