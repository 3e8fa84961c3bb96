package capacity

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/policy"
)

const (
	// serversPerDigest is the number of servers in a generated digest: those of the sender's site, and those with the most requests
	// in its zone.
	serversPerDigest = 20
	// objectsPerDigest is the number of objects in a generated digest.
	objectsPerDigest = 4
	// targetZones is the target's number of zones.
	targetZones = 73
	// unlimitedPeers replaces the view's limit on peers, which is smaller than the sizes to measure.
	unlimitedPeers = 1 << 20
)

// stateExchangeSizes are the numbers of members at which the exchange of the whole state is measured.
var stateExchangeSizes = []int{10, 30, 100, 300}

// digestSizes are the numbers of servers at which a digest is measured.
var digestSizes = []int{3, 10, 30, 100}

func memberName(n int) string { return fmt.Sprintf("proxy-%05d", n) }

func newDigest(member, servers int, version uint64) fleetview.Digest {
	zone := member % targetZones
	d := fleetview.Digest{
		From: memberName(member), Incarnation: 1, Version: version, Zone: zoneName(zone), Arrivals: fleetview.LevelOf(765),
	}
	for n := range servers {
		d.Servers = append(d.Servers, fleetview.ServerLoad{
			Server: policy.ServerID(zone*cachesPerZone + n), Attempts: fleetview.LevelOf(float64(20 + n)), Failures: 1, InFlight: 30,
			Latency: fleetview.Latency{200, 40, 10},
		})
	}
	for n := range objectsPerDigest {
		d.Objects = append(d.Objects, fleetview.ObjectRate{Object: 1<<60 + uint64(n), Rate: 40})
	}
	return d
}

// viewWithPeers is a view with the digests of that many members.
func viewWithPeers(members int) *fleetview.View {
	settings := fleetview.DefaultSettings()
	settings.MaxPeers = unlimitedPeers
	v := fleetview.New("self", settings)
	for n := range members {
		v.Merge(1, newDigest(n, serversPerDigest, 1))
	}
	return v
}

// mergeCost is the CPU time in µs of merging a digest into a view of that many members.
func mergeCost(members int) float64 {
	v := viewWithPeers(members)
	return cpuCost(func(i int) { v.Merge(2, newDigest(i%members, serversPerDigest, uint64(i+2))) })
}

// digestSize is the size in bytes of an encoded digest of that many servers.
func digestSize(servers int) float64 {
	raw, err := cbor.Marshal(newDigest(1, servers, 1000))
	if err != nil {
		panic(fmt.Sprintf("capacity: encoding a generated digest: %v", err))
	}
	return float64(len(raw))
}

func recordFleetView() ([]Recording, error) {
	exchanged := []Point{}
	for _, n := range stateExchangeSizes {
		size, err := measureStateExchange(n)
		if err != nil {
			return nil, err
		}
		exchanged = append(exchanged, Point{float64(n), float64(size)})
	}
	return []Recording{
		{
			Name: "view/memory", Role: Membership, Driver: "members", Unit: "bytes",
			Quantity: fmt.Sprintf("memory of the view, %d servers each", serversPerDigest),
			Points:   measureHeap(viewWithPeers),
		},
		{
			Name: "view/merge", Role: Membership, Driver: "members", Unit: "us",
			Quantity: fmt.Sprintf("processor of taking in a digest of %d servers", serversPerDigest),
			Points:   measureSizes(defaultSizes, mergeCost),
		},
		{
			Name: "view/digest", Role: Membership, Driver: "servers", Unit: "bytes",
			Quantity: "a digest, every server told anew",
			Points:   measureSizes(digestSizes, digestSize),
		},
		{
			Name: "membership/whole-state", Role: Membership, Driver: "members", Unit: "bytes",
			Quantity: "the whole state that one member tells another",
			Points:   exchanged,
		},
	}, nil
}

// countingTransport counts the bytes that it reads from streams that it opened.
type countingTransport struct {
	*memberlist.MockTransport
	read atomic.Int64
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *countingTransport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	c, err := t.MockTransport.DialAddressTimeout(addr, timeout)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, read: &t.read}, nil
}

// memberMeta is a memberlist.Delegate with the metadata of the program's members: zone and region.
type memberMeta struct{}

// NodeMeta implements memberlist.Delegate.
func (memberMeta) NodeMeta(int) []byte {
	raw, _ := cbor.Marshal([]string{"zone-17", "region-08"}) // encoding strings cannot fail
	return raw
}

// NotifyMsg implements memberlist.Delegate.
func (memberMeta) NotifyMsg([]byte) {}

// GetBroadcasts implements memberlist.Delegate.
func (memberMeta) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (memberMeta) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (memberMeta) MergeRemoteState([]byte, bool) {}

// newMember starts a member that sends nothing unless it joins or is asked: probes, gossip and state exchanges are off.
func newMember(name string, transport memberlist.Transport) (*memberlist.Memberlist, error) {
	config := memberlist.DefaultLANConfig()
	config.Name, config.Transport, config.Delegate = name, transport, memberMeta{}
	config.LogOutput, config.EnableCompression = io.Discard, false
	config.ProbeInterval, config.GossipInterval, config.PushPullInterval = time.Hour, 0, 0
	return memberlist.Create(config)
}

// measureStateExchange returns how many bytes a member that joins that many others receives from the member that it contacts.
func measureStateExchange(members int) (bytes int64, err error) {
	network := &memberlist.MockNetwork{}
	var all []*memberlist.Memberlist
	defer func() {
		for _, m := range all {
			_ = m.Shutdown() // the measurement is complete
		}
	}()
	for n := range members + 1 {
		transport := &countingTransport{MockTransport: network.NewTransport(memberName(n))}
		member, err := newMember(memberName(n), transport)
		if err != nil {
			return 0, err
		}
		all = append(all, member)
		if n == 0 {
			continue
		}
		if _, err := member.Join([]string{memberName(0) + "/127.0.0.1:1"}); err != nil {
			return 0, err
		}
		bytes = transport.read.Load()
		if err := awaitMembers(all[0], len(all)); err != nil {
			return 0, err
		}
	}
	return bytes, nil
}

// awaitMembers waits until m knows that many members. m answers a joining member before it merges that member's state, so without
// the wait the next member to join might receive an incomplete state.
func awaitMembers(m *memberlist.Memberlist, members int) error {
	const (
		timeout  = 10 * time.Second
		interval = 100 * time.Microsecond
	)
	for deadline := time.Now().Add(timeout); m.NumMembers() < members; time.Sleep(interval) {
		if time.Now().After(deadline) {
			return fmt.Errorf("the first of %d members knows %d after %s", members, m.NumMembers(), timeout)
		}
	}
	return nil
}
