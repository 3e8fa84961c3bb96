package store

import (
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	bolt "go.etcd.io/bbolt"

	"ravenwheel/internal/memory"
	"ravenwheel/internal/transient"
)

const (
	// lockTimeout is how long a member waits for a directory that another process has locked.
	lockTimeout = 100 * time.Millisecond
	// retainedSnapshots is how many snapshots are kept on disk.
	retainedSnapshots = 2
	// raftConnsPerPeer is how many idle connections raft keeps to each member.
	raftConnsPerPeer = 3

	joinAttempts   = 10
	joinRetryDelay = 100 // ms
	// joinTimeoutFactor times Options.Timeout is how long a call to join may take: the leader answers it only once the new member
	// has caught up.
	joinTimeoutFactor = 10
)

// startRaft opens the log, the snapshots and the address of this member, and starts raft on them.
func (s *Store) startRaft() error {
	if s.opt.Identity == nil || s.opt.Identity.Name != s.opt.Self.Name {
		return fmt.Errorf("member %q has no identity, or one of another name", s.opt.Self.Name)
	}
	conf := s.raftConfig()
	storage, err := s.openStorage()
	if err != nil {
		return err
	}
	network, err := s.listen()
	if err != nil {
		return err
	}
	hasState, err := raft.HasExistingState(storage.logs, storage.stable, storage.snapshots)
	if err != nil {
		return err
	}
	if !hasState && s.opt.Join == "" {
		err := raft.BootstrapCluster(conf, storage.logs, storage.stable, storage.snapshots, network, s.initialMembers())
		if err != nil {
			return err
		}
	}
	if s.fsm.storedIndex, err = storage.logs.LastIndex(); err != nil {
		return err
	}
	s.fsm.opening = true
	if s.raft, err = raft.NewRaft(conf, s.fsm, storage.logs, storage.stable, storage.snapshots, network); err != nil {
		return err
	}
	s.fsm.opened()
	memberAt := s.memberAt
	s.transport.memberAt.Store(&memberAt)
	go s.transport.run()
	if !hasState && s.opt.Join != "" {
		return s.join()
	}
	return nil
}

// With Options.FastElections, raft uses these times in place of its defaults.
const (
	fastElectionTimeout  = 150 * time.Millisecond // after which a follower without a heartbeat, or a candidate, starts an election
	fastLeaseTimeout     = 100 * time.Millisecond // after which a leader without contact to a quorum steps down
	fastCommitTimeout    = 5 * time.Millisecond   // after which the leader sends a commit to the followers if no entry follows
	fastSnapshotInterval = 50 * time.Millisecond  // between two checks whether a snapshot is due
)

func (s *Store) raftConfig() *raft.Config {
	conf := raft.DefaultConfig()
	conf.Logger = hclog.NewNullLogger()
	conf.LocalID = raft.ServerID(s.opt.Self.Name)
	if s.opt.FastElections {
		conf.HeartbeatTimeout, conf.ElectionTimeout = fastElectionTimeout, fastElectionTimeout
		conf.LeaderLeaseTimeout, conf.CommitTimeout = fastLeaseTimeout, fastCommitTimeout
		conf.SnapshotInterval = fastSnapshotInterval
	}
	if s.opt.SnapshotThreshold > 0 {
		conf.SnapshotThreshold, conf.TrailingLogs = s.opt.SnapshotThreshold, s.opt.TrailingLogs
	}
	return conf
}

// storage is where raft keeps its log, its term and vote, and the snapshots.
type storage struct {
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
}

// openStorage opens the storage in the store's directory, or in memory if there is none.
func (s *Store) openStorage() (storage, error) {
	if s.opt.Dir == "" {
		memory := raft.NewInmemStore()
		return storage{memory, memory, raft.NewInmemSnapshotStore()}, nil
	}
	db, err := boltdb.New(boltdb.Options{
		Path: filepath.Join(s.opt.Dir, "raft.db"), BoltOptions: &bolt.Options{Timeout: lockTimeout},
	})
	if err != nil {
		return storage{}, fmt.Errorf("open the log in %s: %w", s.opt.Dir, err)
	}
	s.closers = append(s.closers, db)
	snapshots, err := raft.NewFileSnapshotStore(s.opt.Dir, retainedSnapshots, io.Discard)
	if err != nil {
		return storage{}, err
	}
	return storage{db, db, snapshots}, nil
}

// listen opens a listener at this member's address, and raft's network transport on it.
func (s *Store) listen() (*raft.NetworkTransport, error) {
	ln, err := net.Listen("tcp", s.opt.Self.Addr)
	if err != nil {
		return nil, err
	}
	ln = memory.Listener(transient.KeepAccepting(ln), s.opt.Memory, connBytes)
	s.transport = newTransport(ln, s.opt.Identity, maxConns, s.opt.Memory)
	s.transport.dial, s.transport.handleCall = s.opt.Dial, s.handleCall
	s.closers = append(s.closers, s.transport)
	network := raft.NewNetworkTransport(s.transport, raftConnsPerPeer, s.opt.Timeout, io.Discard)
	s.closers = append(s.closers, network)
	return network, nil
}

// initialMembers returns raft's configuration of a new cluster.
func (s *Store) initialMembers() raft.Configuration {
	var members raft.Configuration
	for _, p := range s.opt.Peers {
		members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Addr)})
	}
	return members
}

// join asks the cluster to add this member. It follows a member that is not the leader to the leader, and tries joinAttempts times.
func (s *Store) join() error {
	addr := s.opt.Join
	req := request{Operation: OpJoin, Name: s.opt.Self.Name, Addr: s.opt.Self.Addr}
	var err error
	for range joinAttempts {
		var r reply
		r, _, err = s.transport.call(addr, req, joinTimeoutFactor*s.opt.Timeout)
		switch {
		case err == nil && r.Err == "":
			return nil
		case err == nil && r.Leader != "":
			addr = r.Leader
		case err == nil:
			err = errors.New(r.Err)
		}
		s.sleep(joinRetryDelay)
	}
	return fmt.Errorf("join the cluster through the member at %s: %w", s.opt.Join, err)
}

// memberAt returns the member at an address. This member, as the leader, has entries to send to it.
func (s *Store) memberAt(addr string) (expected expectedMember) {
	for _, server := range s.servers() {
		if string(server.Address) == addr {
			return expectedMember{name: string(server.ID), awaited: s.IsLeader()}
		}
	}
	return expectedMember{}
}

func (s *Store) voterCount() (n int) {
	for _, server := range s.servers() {
		if server.Suffrage == raft.Voter {
			n++
		}
	}
	return n
}

// servers returns the members in this member's raft configuration; nil if raft is shut down.
func (s *Store) servers() []raft.Server {
	f := s.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}
