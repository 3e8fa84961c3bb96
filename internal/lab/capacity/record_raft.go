package capacity

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"ravenwheel/internal/decide/storestate"
)

// raftRate is the target's purges a second: entries come one by one then, as nothing waits for a second one.
const raftPurgesPerS = 87

// raftFor is how long each size is fed. With the sizes below it is a quarter of a minute.
const raftMeasureTime = 3 * time.Second

// ignore is a state machine that keeps nothing: what the replica costs is recorded apart.
type discardFSM struct{ raft.FSM }

// Apply implements raft.FSM.
func (discardFSM) Apply(*raft.Log) any { return nil }

// pipes is a network of pipes in memory.
type pipeNetwork map[raft.ServerAddress]*pipeEnd

// pipeEnd is where one member listens, and dials from.
type pipeEnd struct {
	network  pipeNetwork
	addr     raft.ServerAddress
	incoming chan net.Conn
	closed   chan struct{}
	written  *atomic.Int64 // by this end, on what it dialled
	read     *atomic.Int64
}

func (p pipeNetwork) add(addr raft.ServerAddress) *pipeEnd {
	e := &pipeEnd{network: p, addr: addr, incoming: make(chan net.Conn), closed: make(chan struct{}), written: &atomic.Int64{}, read: &atomic.Int64{}}
	p[addr] = e
	return e
}

var errPipeClosed = errors.New("capacity: the pipe's end is closed")

// Dial implements raft.StreamLayer.
func (e *pipeEnd) Dial(to raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case e.network[to].incoming <- far:
		return countingConn{Conn: near, read: e.read, written: e.written}, nil
	case <-e.network[to].closed:
		return nil, errPipeClosed
	case <-time.After(wait):
		return nil, errPipeClosed
	}
}

// Accept implements net.Listener.
func (e *pipeEnd) Accept() (net.Conn, error) {
	select {
	case c := <-e.incoming:
		return c, nil
	case <-e.closed:
		return nil, errPipeClosed
	}
}

// Close implements net.Listener.
func (e *pipeEnd) Close() error {
	close(e.closed)
	return nil
}

// Addr implements net.Listener.
func (e *pipeEnd) Addr() net.Addr { return pipeAddr(e.addr) }

type pipeAddr string

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddr) String() string { return string(a) }

// traffic is what a leader and its followers used, a second.
type replicationCost struct {
	leaderBytesPerS, followerBytesPerS float64 // bytes, by the leader
	cpuMicrosPerS                      float64 // us of processor, by all together
}

// fed is what a leader of so many followers costs.
func measureReplication(followers int) (replicationCost, error) {
	network := pipeNetwork{}
	var leader *raft.Raft
	var all []*raft.Raft
	defer func() {
		for _, r := range all {
			_ = r.Shutdown().Error()
		}
	}()
	for n := range followers + 1 {
		addr := raft.ServerAddress(fmt.Sprint("member-", n))
		end := network.add(addr)
		conf := raft.DefaultConfig()
		conf.Logger, conf.LocalID = hclog.NewNullLogger(), raft.ServerID(addr)
		logs, snaps := raft.NewInmemStore(), raft.NewInmemSnapshotStore()
		trans := raft.NewNetworkTransport(end, 3, 2*time.Second, io.Discard)
		if n == 0 {
			one := raft.Configuration{Servers: []raft.Server{{ID: conf.LocalID, Address: addr}}}
			if err := raft.BootstrapCluster(conf, logs, logs, snaps, trans, one); err != nil {
				return replicationCost{}, err
			}
		}
		r, err := raft.NewRaft(conf, discardFSM{}, logs, logs, snaps, trans)
		if err != nil {
			return replicationCost{}, err
		}
		all = append(all, r)
		if n == 0 {
			leader = r
			<-r.LeaderCh()
			continue
		}
		if err := leader.AddNonvoter(conf.LocalID, addr, 0, 2*time.Second).Error(); err != nil {
			return replicationCost{}, err
		}
	}
	time.Sleep(time.Second) // until all have caught up
	return applyPurges(leader, network["member-0"])
}

// feed has a leader take in the target's purges for a while.
func applyPurges(leader *raft.Raft, end *pipeEnd) (replicationCost, error) {
	tick := time.NewTicker(time.Second / raftPurgesPerS)
	defer tick.Stop()
	start, written, read, used := time.Now(), end.written.Load(), end.read.Load(), cpuMicros()
	for n := 0; time.Since(start) < raftMeasureTime; n++ {
		<-tick.C
		raw, err := storestate.Encode(purgeChange(n, objectName(n)))
		if err != nil {
			return replicationCost{}, err
		}
		if err := leader.Apply(raw, time.Second).Error(); err != nil {
			return replicationCost{}, err
		}
	}
	seconds := time.Since(start).Seconds()
	return replicationCost{float64(end.written.Load()-written) / seconds, float64(end.read.Load()-read) / seconds, (cpuMicros() - used) / seconds}, nil
}

func recordRaft() ([]Recording, error) {
	const note = "1 to 8 followers in one process: a real leader of 17,000 can't be run here"
	var written, read, used []Point
	for _, n := range []int{1, 2, 4, 8} {
		t, err := measureReplication(n)
		if err != nil {
			return nil, err
		}
		written = append(written, Point{float64(n), roundSignificant(t.leaderBytesPerS)})
		read = append(read, Point{float64(n), roundSignificant(t.followerBytesPerS)})
		used = append(used, Point{float64(n), roundSignificant(t.cpuMicrosPerS)})
	}
	return []Recording{
		{Name: "raft/leader-bytes", Role: Voter, Driver: "followers", Quantity: "written by the leader at 87 purges a second", Unit: "bytes/s", Note: note, Points: written},
		{Name: "raft/follower-bytes", Role: Voter, Driver: "followers", Quantity: "answered to the leader at 87 purges a second", Unit: "bytes/s", Note: note, Points: read},
		{Name: "raft/processor", Role: Voter, Driver: "followers", Quantity: "processor of leader and followers together at 87 purges a second", Unit: "us/s", Note: note, Points: used},
	}, nil
}
