package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

const (
	// raftPurgesPerS is the target's rate of purges. At this rate raft sends entries individually.
	raftPurgesPerS = 87
	// raftMeasureDuration is how long each number of followers is measured.
	raftMeasureDuration = 3 * time.Second
	// raftCatchUpWait is the wait before the measurement, in which all followers receive the leader's configuration.
	raftCatchUpWait    = time.Second
	raftTimeout        = 2 * time.Second
	raftMaxPooledConns = 3 // per member
)

// followerCounts are the numbers of followers at which raft is measured.
var followerCounts = []int{1, 2, maxMeasuredFollowers / 2, maxMeasuredFollowers}

// discardFSM is a state machine without state. The cost of the store's state is recorded separately.
type discardFSM struct{ raft.FSM }

// Apply implements raft.FSM.
func (discardFSM) Apply(*raft.Log) any { return nil }

// replicationUsage is the traffic and CPU time that a leader and its followers use.
type replicationUsage struct {
	leaderBytesPerS   float64 // written by the leader
	followerBytesPerS float64 // read by the leader
	cpuMicrosPerS     float64 // of the leader and all followers together
}

// raftCluster is a leader and its followers in this process.
type raftCluster struct {
	network pipeNetwork
	members []*raft.Raft // the leader first
	leader  *pipeEnd
}

// measureReplication measures a leader with that many followers at the target's rate of purges.
func measureReplication(followers int) (replicationUsage, error) {
	cluster := &raftCluster{network: pipeNetwork{}}
	defer cluster.shutdown()
	for n := range followers + 1 {
		if err := cluster.add(n); err != nil {
			return replicationUsage{}, err
		}
	}
	time.Sleep(raftCatchUpWait)
	return cluster.applyPurges()
}

// add adds the n-th member. The first one becomes the leader, the others its non-voting followers.
func (c *raftCluster) add(n int) error {
	addr := raft.ServerAddress(fmt.Sprint("member-", n))
	end := c.network.add(addr)
	config := raft.DefaultConfig()
	config.Logger, config.LocalID = hclog.NewNullLogger(), raft.ServerID(addr)
	logs, snapshots := raft.NewInmemStore(), raft.NewInmemSnapshotStore()
	transport := raft.NewNetworkTransport(end, raftMaxPooledConns, raftTimeout, io.Discard)
	if n == 0 {
		configuration := raft.Configuration{Servers: []raft.Server{{ID: config.LocalID, Address: addr}}}
		if err := raft.BootstrapCluster(config, logs, logs, snapshots, transport, configuration); err != nil {
			return err
		}
	}
	member, err := raft.NewRaft(config, discardFSM{}, logs, logs, snapshots, transport)
	if err != nil {
		return err
	}
	c.members = append(c.members, member)
	if n == 0 {
		c.leader = end
		<-member.LeaderCh()
		return nil
	}
	return c.members[0].AddNonvoter(config.LocalID, addr, 0, raftTimeout).Error()
}

func (c *raftCluster) shutdown() {
	for _, member := range c.members {
		_ = member.Shutdown().Error() // an error does not affect the measurement
	}
}

// applyPurges applies purges on the leader for raftMeasureDuration and returns the usage in this time.
func (c *raftCluster) applyPurges() (replicationUsage, error) {
	ticker := time.NewTicker(time.Second / raftPurgesPerS)
	defer ticker.Stop()
	start, written, read, cpu := time.Now(), c.leader.written.Load(), c.leader.read.Load(), cpuMicros()
	for n := 0; time.Since(start) < raftMeasureDuration; n++ {
		<-ticker.C
		if err := c.members[0].Apply(mustEncode(purgeChange(n, objectName(n))), time.Second).Error(); err != nil {
			return replicationUsage{}, err
		}
	}
	seconds := time.Since(start).Seconds()
	return replicationUsage{
		leaderBytesPerS:   float64(c.leader.written.Load()-written) / seconds,
		followerBytesPerS: float64(c.leader.read.Load()-read) / seconds,
		cpuMicrosPerS:     (cpuMicros() - cpu) / seconds,
	}, nil
}

func recordRaft() ([]Recording, error) {
	const note = "1 to 8 followers in one process: a real leader of 17,000 can't be run here"
	var leaderBytes, followerBytes, cpu []Point
	for _, n := range followerCounts {
		usage, err := measureReplication(n)
		if err != nil {
			return nil, err
		}
		leaderBytes = append(leaderBytes, Point{float64(n), roundSignificant(usage.leaderBytesPerS)})
		followerBytes = append(followerBytes, Point{float64(n), roundSignificant(usage.followerBytesPerS)})
		cpu = append(cpu, Point{float64(n), roundSignificant(usage.cpuMicrosPerS)})
	}
	return []Recording{
		{
			Name: "raft/leader-bytes", Role: Voter, Driver: "followers", Unit: "bytes/s", Note: note,
			Quantity: "written by the leader at 87 purges a second", Points: leaderBytes,
		},
		{
			Name: "raft/follower-bytes", Role: Voter, Driver: "followers", Unit: "bytes/s", Note: note,
			Quantity: "answered to the leader at 87 purges a second", Points: followerBytes,
		},
		{
			Name: "raft/processor", Role: Voter, Driver: "followers", Unit: "us/s", Note: note,
			Quantity: "processor of leader and followers together at 87 purges a second", Points: cpu,
		},
	}, nil
}
