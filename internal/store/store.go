// Package store replicates configuration, signing keys, revocations, spent token ids, server lists, drains and purges among
// a few members by raft (hashicorp/raft). The state machine is decide/storestate, and retries are decided by decide/retry. A
// member alone in memory needs no log and no socket; several speak mutual TLS, and connections of others are refused. No
// platform's request waits for the store. Its tests cut, kill and restart members, and check histories for linearizability.
package store

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/retry"
	"ravenwheel/internal/decide/storestate"
)

// The errors of a change. After ErrUnavailable the change was not applied and will not be. After ErrOutcomeUnknown, which wraps
// ErrUnavailable, it may have been applied or may still be: a token must then be taken as spent.
var (
	ErrTokenSpent     = errors.New("store: already spent")
	ErrConflict       = errors.New("store: the configuration has another revision by now")
	ErrStale          = errors.New("store: stale list: an earlier generation, or other servers in the same")
	ErrInvalid        = errors.New("store: invalid change")
	ErrUnavailable    = errors.New("store: no quorum")
	ErrOutcomeUnknown = fmt.Errorf("%w, and what became of the change is not known", ErrUnavailable)
)

// ErrNoRevision says that a revision of the configuration is not kept, or never was one.
var ErrNoRevision = errors.New("store: no such revision")

// Key is a signing key. Its algorithm is fixed with it.
type Key = storestate.Key

// Member is a member of the cluster.
type Member struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// Options configure a store.
type Options struct {
	Self          Member   // zero: alone and in memory
	Peers         []Member // of a new cluster, Self included
	Join          string   // address of a member to join, in place of Peers
	Dir           string   // of the log and the snapshots; empty: in memory
	Identity      *Identity
	Timeout       time.Duration // of a change or a linearizable read; 0: 2 s
	FastElections bool          // elect within a fraction of a second, for members near one another
	// SnapshotThreshold is how many entries there are between snapshots, and TrailingLogs how many entries before a snapshot
	// are kept. 0: raft's defaults.
	SnapshotThreshold, TrailingLogs uint64
	Clock                           *clock.Clock
	Dial                            DialFunc // nil: TCP
	// OnChange is called with each change of a list, drain or purge: those that a snapshot holds, and each one as this member
	// applies it, from before the log is first read. It must return soon and must not call the store. nil: not called.
	OnChange func(storestate.Change)
}

// DialFunc opens a connection to a member's address within a time.
type DialFunc func(addr string, timeout time.Duration) (net.Conn, error)

func dialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, timeout)
}

const defaultTimeout = 2 * time.Second

// retrySettings bound how a change is retried. Times are in ms. The budget bounds the extra load on a store in trouble: in the long
// run there is at most one retry for every five changes that succeed.
var retrySettings = retry.Settings{MaxAttempts: 8, BaseDelay: 20, MaxDelay: 500, MaxRetries: 50, RetriesPerSuccess: 0.2}

// Store is a member of the cluster. Its methods are safe for concurrent use.
type Store struct {
	opt       Options
	fsm       *fsm
	raft      *raft.Raft // nil: alone and in memory
	transport *transport // nil: alone and in memory
	closed    atomic.Bool
	closers   []io.Closer // closed in reverse order

	mu     sync.Mutex
	budget *retry.Budget
}

// Open starts a member. It returns once the member has joined its cluster, if it is to join one, but does not wait for a
// leader. It returns an error if the identity, the directory or the address can't be used, or if joining fails.
func Open(o Options) (*Store, error) {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	s := &Store{opt: o, fsm: &fsm{state: storestate.New(), onChange: o.OnChange}, budget: retry.New(retrySettings)}
	if o.Self == (Member{}) {
		return s, nil
	}
	if err := s.startRaft(); err != nil {
		_ = s.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	return s, nil
}

func (s *Store) sleep(ms float64) {
	done := make(chan struct{})
	s.opt.Clock.After(ms, func() { close(done) })
	<-done
}

// Close ends this member. A leader transfers its leadership first.
func (s *Store) Close() error {
	var err error
	if s.closed.Swap(true) {
		return nil
	}
	if s.raft != nil {
		if s.raft.State() == raft.Leader && s.voterCount() > 1 {
			_ = s.raft.LeadershipTransfer().Error()
		}
		err = s.raft.Shutdown().Error()
	}
	return errors.Join(err, s.closeAll())
}

// Kill ends this member as a crash does, without a transfer of leadership.
func (s *Store) Kill() {
	s.closed.Store(true)
	if s.transport != nil {
		_ = s.transport.Close()
	}
	if s.raft != nil {
		_ = s.raft.Shutdown().Error()
	}
	_ = s.closeAll()
}

func (s *Store) closeAll() error {
	var err error
	for i := len(s.closers) - 1; i >= 0; i-- {
		err = errors.Join(err, s.closers[i].Close())
	}
	s.closers = nil
	return err
}

// IsLeader reports whether this member is the leader. A member alone is, until it is closed.
func (s *Store) IsLeader() bool {
	if s.raft == nil {
		return !s.closed.Load()
	}
	return s.raft.State() == raft.Leader
}
