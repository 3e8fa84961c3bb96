// Package store replicates configuration, signing keys, revocations, redeemed token ids, server lists, drains and purges among a
// few members by raft (hashicorp/raft). The state machine is decide/storestate, and decide/retry decides on retries. A single
// member in memory has no log and opens no socket. Members of a cluster use mutual TLS among each other and refuse other
// connections. No request over the platform's protocol (internal/front/resp) waits for the store. The tests disconnect, kill and
// restart members, and check that the recorded calls are linearizable.
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
	"ravenwheel/internal/memory"
)

// The errors of a change. ErrUnavailable without ErrOutcomeUnknown means that the change was not applied and will not be.
// ErrOutcomeUnknown, which wraps ErrUnavailable, means that the change may have been applied or may still be: the caller must treat
// a one-time token as redeemed then.
var (
	ErrTokenRedeemed  = errors.New("store: token already redeemed")
	ErrConflict       = errors.New("store: the configuration was changed since its base revision")
	ErrStale          = errors.New("store: stale list: generation lower than the stored list's, or the same with other servers")
	ErrInvalid        = errors.New("store: invalid change")
	ErrUnavailable    = errors.New("store: no quorum")
	ErrOutcomeUnknown = fmt.Errorf("%w; the outcome of the change is unknown", ErrUnavailable)
)

// ErrNoRevision means that the store does not hold a revision of the configuration: it never existed, or was deleted as too old.
var ErrNoRevision = errors.New("store: no such revision")

// Key is a signing key, with the algorithm that it is used with.
type Key = storestate.Key

// Member is a member of the cluster.
type Member struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// Options configure a store.
type Options struct {
	Self          Member        // zero: the store is a single member in memory
	Peers         []Member      // first members of a new cluster, including Self
	Join          string        // address of a member of the cluster to join, in place of Peers
	Dir           string        // directory of the log and the snapshots; empty: in memory
	Identity      *Identity     // of Self; nil only for a single member in memory
	Timeout       time.Duration // of a change or a linearizable read; 0: 2 s
	FastElections bool          // use short election time-outs, for members with low latency to one another
	// SnapshotThreshold is the number of entries between two snapshots, and TrailingLogs the number of entries before a snapshot
	// that the log keeps. If SnapshotThreshold is 0, raft's defaults apply to both.
	SnapshotThreshold, TrailingLogs uint64
	Clock                           *clock.Clock
	Dial                            DialFunc // nil: TCP
	// OnChange is called with each change of a list, drain or purge: those in a snapshot that this member loads, and each one that
	// it applies. It is set before the member reads its log, so that it misses none. It must return soon and must not call the
	// store. nil: not called.
	OnChange func(storestate.Change)
	// Memory is the account on which connections of other members and their calls draw; nil: not limited.
	Memory *memory.Account
}

// DialFunc opens a connection to a member's address, within timeout.
type DialFunc func(addr string, timeout time.Duration) (net.Conn, error)

func dialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, timeout)
}

const defaultTimeout = 2 * time.Second

// retrySettings limit the retries of changes. Times are in ms. The retry budget limits the extra load on a store that fails: in the
// long run there is at most one retry for every five changes that succeed.
var retrySettings = retry.Settings{MaxAttempts: 8, BaseDelay: 20, MaxDelay: 500, MaxRetries: 50, RetriesPerSuccess: 0.2}

// Store is a member of the cluster. Its methods are safe for concurrent use.
type Store struct {
	opt       Options
	fsm       *fsm
	raft      *raft.Raft // nil: a single member in memory
	transport *transport // nil: a single member in memory
	closed    atomic.Bool
	closers   []io.Closer // closed in reverse order

	mu     sync.Mutex
	budget *retry.Budget
}

// Open starts a member. With Options.Join it returns once the member has joined the cluster. It does not wait for a leader. It
// returns an error if the identity, the directory or the address can't be used, or if joining fails.
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

// sleep waits for a time in ms by the store's clock.
func (s *Store) sleep(ms float64) {
	done := make(chan struct{})
	s.opt.Clock.After(ms, func() { close(done) })
	<-done
}

// Close stops this member. A leader transfers its leadership first.
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

// Kill stops this member as a crash would, without a transfer of leadership.
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

// IsLeader reports whether this member is the leader. A single member in memory is the leader until it is closed.
func (s *Store) IsLeader() bool {
	if s.raft == nil {
		return !s.closed.Load()
	}
	return s.raft.State() == raft.Leader
}
