package store

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"github.com/hashicorp/raft"
	bolt "go.etcd.io/bbolt"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/retry"
	"ravenwheel/internal/decide/storestate"
)

// boltOptions: a second process with the same directory is told so at once.
func boltOptions() *bolt.Options { return &bolt.Options{Timeout: 100 * time.Millisecond} }

// Status is how a member stands.
type Status struct {
	Name    string        `cbor:"1,keyasint" json:"name"`
	State   string        `cbor:"2,keyasint" json:"state"`
	Leader  string        `cbor:"3,keyasint" json:"leader"`
	Term    uint64        `cbor:"4,keyasint" json:"term"`
	Applied uint64        `cbor:"5,keyasint" json:"applied"`
	Commit  uint64        `cbor:"6,keyasint" json:"commit"`
	StaleMs float64       `cbor:"7,keyasint" json:"stale_ms"` // since it heard of a leader; 0: it leads
	Members []MemberState `cbor:"8,keyasint" json:"members"`
	Config  uint64        `cbor:"9,keyasint" json:"config_revision"`
}

// MemberState is a member as another one has it on its list.
type MemberState struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Addr  string `cbor:"2,keyasint" json:"addr"`
	Votes bool   `cbor:"3,keyasint" json:"votes"`
}

// Status tells how this member stands.
func (s *Store) Status() Status {
	if s.raft == nil {
		return Status{Name: "alone", State: "Leader", Leader: "alone", Config: s.Config().Number}
	}
	_, leader := s.raft.LeaderWithID()
	st := Status{
		Name: s.opt.Self.Name, State: s.raft.State().String(), Leader: string(leader),
		Applied: s.raft.AppliedIndex(), Commit: s.raft.CommitIndex(), Config: s.Config().Number,
	}
	st.Term, _ = strconv.ParseUint(s.raft.Stats()["term"], 10, 64)
	if !s.Leader() {
		st.StaleMs = clock.Ms(time.Since(s.raft.LastContact()))
	}
	if f := s.raft.GetConfiguration(); f.Error() == nil {
		for _, x := range f.Configuration().Servers {
			st.Members = append(st.Members, MemberState{string(x.ID), string(x.Address), x.Suffrage == raft.Voter})
		}
	}
	return st
}

// serve answers another member's call.
func (s *Store) serve(peer string, q request) (r reply) {
	if q.Call == callStatus {
		st := s.Status()
		return reply{Status: &st}
	}
	if !s.Leader() {
		addr, _ := s.raft.LeaderWithID()
		return reply{Err: notLeader, Leader: string(addr)}
	}
	var err error
	switch q.Call {
	case callApply:
		if _, err := storestate.DecodeChange(q.Change); err != nil {
			return reply{Err: err.Error()}
		}
		out, o := s.apply(q.Change)
		if o != retry.Done {
			return reply{Err: "not applied", Maybe: o == retry.Unknown}
		}
		raw, _ := storestate.Encode(out)
		return reply{Result: raw[1:]}
	case callIndex:
		if err = s.raft.Barrier(s.opt.Timeout).Error(); err == nil {
			return reply{Index: s.applied()} // a barrier returns once all before it is taken in
		}
	case callJoin:
		if peer != q.Name {
			return reply{Err: fmt.Sprintf("member %q asks in the name of %q", peer, q.Name)}
		}
		err = s.admit(q.Name, q.Addr)
	case callRemove:
		err = s.raft.RemoveServer(raft.ServerID(q.Name), 0, s.opt.Timeout).Error()
	case callTransfer:
		err = s.transfer(q.Name)
	default:
		err = fmt.Errorf("no call %q", q.Call)
	}
	if err != nil {
		return reply{Err: err.Error(), Maybe: true}
	}
	return reply{}
}

// admit takes a member in: it learns until it knows nearly all, and votes then. One that voted at once would be counted
// for a quorum while it knows nothing.
func (s *Store) admit(name, addr string) error {
	if f := s.raft.GetConfiguration(); f.Error() == nil {
		for _, x := range f.Configuration().Servers {
			if string(x.ID) == name && string(x.Address) == addr && x.Suffrage == raft.Voter {
				return nil
			}
		}
	}
	if err := s.raft.AddNonvoter(raft.ServerID(name), raft.ServerAddress(addr), 0, s.opt.Timeout).Error(); err != nil {
		return err
	}
	for end := s.opt.Clock.Now() + 5*clock.Ms(s.opt.Timeout); ; s.sleep(10) {
		r, _, err := s.wire.call(addr, request{Call: callStatus}, s.opt.Timeout)
		if err == nil && r.Status != nil && r.Status.Applied+closeBehind >= s.raft.CommitIndex() {
			break
		}
		if s.opt.Clock.Now() >= end {
			return fmt.Errorf("member %q does not catch up: it goes on learning", name)
		}
	}
	return s.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(addr), 0, s.opt.Timeout).Error()
}

// closeBehind entries are caught up with in a moment.
const closeBehind = 16

func (s *Store) transfer(name string) error {
	if name == "" {
		return s.raft.LeadershipTransfer().Error()
	}
	f := s.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	for _, x := range f.Configuration().Servers {
		if string(x.ID) == name {
			return s.raft.LeadershipTransferToServer(x.ID, x.Address).Error()
		}
	}
	return fmt.Errorf("no member %q", name)
}

// Ask has a member of the cluster do something, following it to the leader where that is needed. While leadership moves,
// a member knows of no leader or of one that has just stopped leading: what it refuses for that has not run, and is
// asked again until wait is over. It needs a certificate of the cluster, and no store.
func Ask(id *Identity, addr, call, name, at string, wait time.Duration) (Status, error) {
	w := &wire{id: id, dial: Options{}.dialer()}
	for end := time.Now().Add(wait); ; time.Sleep(askAgain) {
		r, _, err := w.call(addr, request{Call: call, Name: name, Addr: at}, wait)
		switch {
		case err != nil:
			return Status{}, fmt.Errorf("store: member at %s: %w", addr, err)
		case r.Err == notLeader && time.Now().Before(end):
			addr = cmp.Or(r.Leader, addr)
		case r.Err != "":
			return Status{}, fmt.Errorf("store: member at %s says: %s", addr, r.Err)
		case r.Status != nil:
			return *r.Status, nil
		default:
			return Status{}, nil
		}
	}
}

const (
	notLeader = "not the leader" // the answer of a member that does not lead, the call not run
	askAgain  = 20 * time.Millisecond
)

// The calls that Ask makes.
const (
	AskStatus   = callStatus
	AskJoin     = callJoin // of the member itself: its certificate must have that name
	AskRemove   = callRemove
	AskTransfer = callTransfer
)
