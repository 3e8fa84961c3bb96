package store

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/retry"
	"ravenwheel/internal/decide/storestate"
)

// Status describes a member.
type Status struct {
	Name           string        `cbor:"1,keyasint" json:"name"`
	State          string        `cbor:"2,keyasint" json:"state"`  // of raft: Leader, Follower, Candidate or Shutdown
	Leader         string        `cbor:"3,keyasint" json:"leader"` // name of the leader; empty: unknown
	Term           uint64        `cbor:"4,keyasint" json:"term"`
	AppliedIndex   uint64        `cbor:"5,keyasint" json:"applied"`
	CommitIndex    uint64        `cbor:"6,keyasint" json:"commit"`
	StaleMs        float64       `cbor:"7,keyasint" json:"stale_ms"` // since the last contact with a leader; 0: the member leads
	Members        []MemberState `cbor:"8,keyasint" json:"members"`
	ConfigRevision uint64        `cbor:"9,keyasint" json:"config_revision"`
}

// MemberState is an entry in a member's list of all members.
type MemberState struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Addr  string `cbor:"2,keyasint" json:"addr"`
	Voter bool   `cbor:"3,keyasint" json:"votes"` // false: a new member that has not caught up yet
}

// Status returns this member's current state.
func (s *Store) Status() Status {
	if s.raft == nil {
		return Status{Name: "alone", State: "Leader", Leader: "alone", ConfigRevision: s.Config().Number}
	}
	_, leader := s.raft.LeaderWithID()
	st := Status{
		Name: s.opt.Self.Name, State: s.raft.State().String(), Leader: string(leader),
		AppliedIndex: s.raft.AppliedIndex(), CommitIndex: s.raft.CommitIndex(), ConfigRevision: s.Config().Number,
	}
	st.Term, _ = strconv.ParseUint(s.raft.Stats()["term"], 10, 64)
	if !s.IsLeader() {
		st.StaleMs = clock.Ms(time.Since(s.raft.LastContact()))
	}
	for _, server := range s.servers() {
		st.Members = append(st.Members, MemberState{string(server.ID), string(server.Address), server.Suffrage == raft.Voter})
	}
	return st
}

// handleCall answers a call of another member. peer is the name in that member's certificate.
func (s *Store) handleCall(peer string, req request) reply {
	if req.Operation == OpStatus {
		st := s.Status()
		return reply{Status: &st}
	}
	if !s.IsLeader() {
		addr, _ := s.raft.LeaderWithID()
		return reply{Err: errTextNotLeader, Leader: string(addr)}
	}
	var err error
	switch req.Operation {
	case opApply:
		return s.handleApply(req.Change)
	case opIndex:
		if err = s.raft.Barrier(s.opt.Timeout).Error(); err == nil {
			return reply{Index: s.appliedIndex()} // the barrier has waited until all entries before it are applied
		}
	case OpJoin:
		if peer != req.Name {
			return reply{Err: fmt.Sprintf("member %q asks in the name of %q", peer, req.Name)}
		}
		err = s.addMember(req.Name, req.Addr)
	case OpRemove:
		err = s.raft.RemoveServer(raft.ServerID(req.Name), 0, s.opt.Timeout).Error()
	case OpTransfer:
		err = s.transferLeadership(req.Name)
	default:
		err = fmt.Errorf("unknown operation %q", req.Operation)
	}
	if err != nil {
		return reply{Err: err.Error(), MayHaveRun: true}
	}
	return reply{}
}

// handleApply commits another member's encoded change.
func (s *Store) handleApply(change []byte) reply {
	if _, err := storestate.DecodeChange(change); err != nil {
		return reply{Err: err.Error()}
	}
	result, outcome := s.applyAsLeader(change)
	if outcome != retry.Succeeded {
		return reply{Err: "not applied", MayHaveRun: outcome == retry.Unknown}
	}
	raw, _ := storestate.Encode(result)
	return reply{Result: raw[1:]} // without the format version
}

const (
	// catchUpLag is by how many entries a new member may be behind the leader when it becomes a voter.
	catchUpLag = 16
	// catchUpTimeoutFactor times Options.Timeout is how long a new member may take to catch up.
	catchUpTimeoutFactor = 5
	// catchUpPollInterval is the time between two checks of how far a new member has caught up, in ms.
	catchUpPollInterval = 10
)

// addMember adds a member as a non-voter, waits until it has caught up, and makes it a voter. A voter with an empty log would raise
// the number of votes that a quorum needs before it could contribute one.
func (s *Store) addMember(name, addr string) error {
	for _, server := range s.servers() {
		if string(server.ID) == name && string(server.Address) == addr && server.Suffrage == raft.Voter {
			return nil
		}
	}
	if err := s.raft.AddNonvoter(raft.ServerID(name), raft.ServerAddress(addr), 0, s.opt.Timeout).Error(); err != nil {
		return err
	}
	if err := s.awaitCatchUp(name, addr); err != nil {
		return err
	}
	return s.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(addr), 0, s.opt.Timeout).Error()
}

// awaitCatchUp waits until a new member has applied all but the last catchUpLag committed entries. If that takes too long it
// returns an error, and the member stays a non-voter.
func (s *Store) awaitCatchUp(name, addr string) error {
	for deadline := s.opt.Clock.Now() + catchUpTimeoutFactor*clock.Ms(s.opt.Timeout); ; s.sleep(catchUpPollInterval) {
		r, _, err := s.transport.call(addr, request{Operation: OpStatus}, s.opt.Timeout)
		if err == nil && r.Status != nil && r.Status.AppliedIndex+catchUpLag >= s.raft.CommitIndex() {
			return nil
		}
		if s.opt.Clock.Now() >= deadline {
			return fmt.Errorf("member %q has not caught up in time; it stays a non-voter", name)
		}
	}
}

// transferLeadership transfers leadership to a member, or to any member if the name is empty.
func (s *Store) transferLeadership(name string) error {
	if name == "" {
		return s.raft.LeadershipTransfer().Error()
	}
	f := s.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	for _, server := range f.Configuration().Servers {
		if string(server.ID) == name {
			return s.raft.LeadershipTransferToServer(server.ID, server.Address).Error()
		}
	}
	return fmt.Errorf("no member %q", name)
}

// requestRetryDelay is the pause before Request tries again while members know no leader or an outdated one.
const requestRetryDelay = 20 * time.Millisecond

// Request sends an operation to the member at addr, and follows that member's reference to the leader if only the leader can carry
// out the operation. name and memberAddr are those of the member that the operation is about. While leadership changes, members
// know no leader or an outdated one; an operation that they refuse for that reason had no effect, and Request sends it again until
// timeout is over. Request needs an identity of the cluster, but no store. It returns an error if a member can't be reached or the
// operation fails; the operation may have had an effect then.
func Request(id *Identity, addr string, op Operation, name, memberAddr string, timeout time.Duration) (Status, error) {
	t := &transport{identity: id, dial: dialTCP}
	for end := time.Now().Add(timeout); ; time.Sleep(requestRetryDelay) {
		r, _, err := t.call(addr, request{Operation: op, Name: name, Addr: memberAddr}, timeout)
		switch {
		case err != nil:
			return Status{}, fmt.Errorf("store: member at %s: %w", addr, err)
		case r.Err == errTextNotLeader && time.Now().Before(end):
			addr = cmp.Or(r.Leader, addr)
		case r.Err != "":
			return Status{}, fmt.Errorf("store: member at %s returned an error: %s", addr, r.Err)
		case r.Status != nil:
			return *r.Status, nil
		default:
			return Status{}, nil
		}
	}
}
