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

// toldServers is how many servers a process speaks of: those of its site and its zone that it asks most.
const serversPerDigest = 20

func newDigest(member, servers int, version uint64) fleetview.Digest {
	d := fleetview.Digest{From: memberName(member), Incarnation: 1, Version: version, Zone: fmt.Sprintf("zone-%02d", member%73), Arrivals: fleetview.LevelOf(765)}
	for n := range servers {
		d.Servers = append(d.Servers, fleetview.ServerLoad{
			Server: policy.CacheID(member%73*cachesPerZone + n), Attempts: fleetview.LevelOf(float64(20 + n)), Failures: 1, InFlight: 30, Latency: fleetview.Latency{200, 40, 10},
		})
	}
	for n := range 4 {
		d.Objects = append(d.Objects, fleetview.ObjectRate{Object: 1<<60 + uint64(n), Rate: 40})
	}
	return d
}

func memberName(n int) string { return fmt.Sprintf("proxy-%05d", n) }

// viewOf has heard so many members, whatever the bound of today: the bound is a finding of its own.
func viewWithPeers(members int) *fleetview.View {
	o := fleetview.DefaultSettings()
	o.MaxPeers = 1 << 20
	v := fleetview.New("self", o)
	for n := range members {
		v.Merge(1, newDigest(n, serversPerDigest, 1))
	}
	return v
}

func recordFleetView() ([]Recording, error) {
	whole := []Point{}
	for _, n := range []int{10, 30, 100, 300} {
		bytes, err := measureStateExchange(n)
		if err != nil {
			return nil, err
		}
		whole = append(whole, Point{float64(n), float64(bytes)})
	}
	return []Recording{
		{Name: "view/memory", Role: Membership, Driver: "members", Quantity: fmt.Sprintf("memory of the view, %d servers each", serversPerDigest), Unit: "bytes",
			Points: measureSizes(defaultSizes, func(n int) float64 { return heapBytes(func() any { return viewWithPeers(n) }) })},
		{Name: "view/merge", Role: Membership, Driver: "members", Quantity: fmt.Sprintf("processor of taking in a digest of %d servers", serversPerDigest), Unit: "us",
			Points: measureSizes(defaultSizes, func(n int) float64 {
				v := viewWithPeers(n)
				return cpuCost(func(i int) { v.Merge(2, newDigest(i%n, serversPerDigest, uint64(i+2))) })
			})},
		{Name: "view/digest", Role: Membership, Driver: "servers", Quantity: "a digest, every server told anew", Unit: "bytes",
			Points: measureSizes([]int{3, 10, 30, 100}, func(n int) float64 {
				raw, err := cbor.Marshal(newDigest(1, n, 1000))
				if err != nil {
					panic(err) // of plain values
				}
				return float64(len(raw))
			})},
		{Name: "membership/whole-state", Role: Membership, Driver: "members", Quantity: "the whole state that one member tells another", Unit: "bytes", Points: whole},
	}, nil
}

// countingTransport counts what is read from streams that it opened.
type countingTransport struct {
	*memberlist.MockTransport
	read atomic.Int64
}

type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.read != nil {
		c.read.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.written != nil {
		c.written.Add(int64(n))
	}
	return n, err
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *countingTransport) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	c, err := t.MockTransport.DialAddressTimeout(a, wait)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, read: &t.read}, nil
}

// told is what members of the program tell of themselves: zone and region.
type memberMeta struct{ memberlist.EventDelegate }

func (memberMeta) NodeMeta(int) []byte {
	raw, _ := cbor.Marshal([]string{"zone-17", "region-08"})
	return raw
}
func (memberMeta) NotifyMsg([]byte)                {}
func (memberMeta) GetBroadcasts(int, int) [][]byte { return nil }
func (memberMeta) LocalState(bool) []byte          { return nil }
func (memberMeta) MergeRemoteState([]byte, bool)   {}

// wholeState is how many bytes a member that joins so many others is told by the one that it asks.
func measureStateExchange(members int) (bytes int64, err error) {
	network := &memberlist.MockNetwork{}
	var all []*memberlist.Memberlist
	defer func() {
		for _, m := range all {
			_ = m.Shutdown()
		}
	}()
	for n := range members + 1 {
		transport := &countingTransport{MockTransport: network.NewTransport(memberName(n))}
		c := memberlist.DefaultLANConfig()
		c.Name, c.Transport, c.LogOutput, c.Delegate, c.EnableCompression = memberName(n), transport, io.Discard, memberMeta{}, false
		c.ProbeInterval, c.GossipInterval, c.PushPullInterval = time.Hour, 0, 0 // only what is asked for
		m, err := memberlist.Create(c)
		if err != nil {
			return 0, err
		}
		if all = append(all, m); n == 0 {
			continue
		}
		if _, err := m.Join([]string{memberName(0) + "/127.0.0.1:1"}); err != nil {
			return 0, err
		}
		bytes = transport.read.Load()
		if err := awaitMembers(all[0], len(all)); err != nil {
			return 0, err
		}
	}
	return bytes, nil
}

// knows waits until a member has taken in so many: it answers one that joins before it takes in what that one told, so
// that the next one could be told less than all.
func awaitMembers(m *memberlist.Memberlist, members int) error {
	for end := time.Now().Add(10 * time.Second); m.NumMembers() < members; time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the first of %d members knows %d after 10 s", members, m.NumMembers())
		}
	}
	return nil
}
