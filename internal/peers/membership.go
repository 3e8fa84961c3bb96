package peers

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"ravenwheel/internal/logs"
)

// Settings of memberlist, for fleets of some hundred processes. Even if a third of the processes fail at once, all failures are
// detected within seconds.
const (
	// probeInterval is the time between two probes by each process, each of one member, and probeTimeout is how long an answer may
	// take. With shorter times, processes on busy machines miss so many probes that they suspect each other permanently.
	probeInterval, probeTimeout = 700 * time.Millisecond, 400 * time.Millisecond
	// A member is suspected for suspicionMultiplier * probeInterval * max(1, log10(fleet size)) before it counts as failed.
	suspicionMultiplier = 3
	// maxAwarenessMultiplier bounds the factor by which a process whose probes are not answered lengthens its probe times, because
	// it may be slow itself (Lifeguard). With memberlist's default of 8, failures are detected too slowly if a third of the members
	// fail.
	maxAwarenessMultiplier = 3
	// Each process passes on an update retransmitMultiplier * log10(fleet size) times, with the logarithm rounded up.
	retransmitMultiplier = 4
	gossipInterval       = 100 * time.Millisecond
	streamTimeout        = 5 * time.Second
	// pushPullInterval is the time between two exchanges of the full state with another member. memberlist extends it in large
	// fleets. The exchanges repair differences that neither gossip nor rejoin has repaired.
	pushPullInterval = time.Minute
	// nameReclaimTime is the time after which a failed member may return under its name at another address.
	nameReclaimTime = 5 * time.Second
)

// memberlistConfig returns the configuration of memberlist.
func (p *Peers) memberlistConfig() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport = p.options.Name, p.transport
	c.BindAddr, c.BindPort = p.transport.advertised.ip.String(), p.transport.advertised.port
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval, c.TCPTimeout = probeInterval, probeTimeout, gossipInterval, streamTimeout
	c.DeadNodeReclaimTime, c.PushPullInterval = nameReclaimTime, pushPullInterval
	c.SuspicionMult, c.RetransmitMult, c.AwarenessMaxMultiplier = suspicionMultiplier, retransmitMultiplier, maxAwarenessMultiplier
	c.DisableTcpPings = true    // TCP pings cost a handshake for each late answer, and digests need datagrams anyway
	c.EnableCompression = false // compression costs a quarter of the processor time and saves a tenth of the bytes
	c.Delegate, c.Events, c.Conflict = delegate{p}, events{p}, events{p}
	c.LogOutput = logWriter{p.options.Log}
	return c
}

// memberMeta is the metadata of a member, in CBOR.
type memberMeta struct {
	_      struct{} `cbor:",toarray"`
	Zone   string
	Region string
}

// delegate passes the metadata of this process to memberlist. It implements memberlist.Delegate.
type delegate struct{ peers *Peers }

// NodeMeta implements memberlist.Delegate.
func (d delegate) NodeMeta(limit int) []byte {
	raw, err := cbor.Marshal(memberMeta{Zone: d.peers.options.Zone, Region: d.peers.options.Region})
	if err != nil || len(raw) > limit {
		return nil
	}
	return raw
}

// NotifyMsg implements memberlist.Delegate.
func (delegate) NotifyMsg([]byte) {}

// GetBroadcasts implements memberlist.Delegate.
func (delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (delegate) MergeRemoteState([]byte, bool) {}

// events receives changes of the membership. It implements memberlist.EventDelegate and memberlist.ConflictDelegate.
type events struct{ peers *Peers }

// NotifyJoin implements memberlist.EventDelegate. It makes the next datagrams to the member contain the certificate, because a
// member that has restarted has no certificates of other processes.
func (e events) NotifyJoin(n *memberlist.Node) {
	e.peers.sealer.resendCertificate(n.Name)
	e.peers.memberChanged(n, StateAlive)
}

// NotifyUpdate implements memberlist.EventDelegate.
func (e events) NotifyUpdate(n *memberlist.Node) { e.peers.memberChanged(n, StateAlive) }

// NotifyLeave implements memberlist.EventDelegate.
func (e events) NotifyLeave(n *memberlist.Node) {
	state := StateFailed
	if n.State == memberlist.StateLeft {
		state = StateLeft
	}
	e.peers.memberChanged(n, state)
}

// logWriter logs memberlist's lines at the debug level. Events that matter to operators are logged by this package.
type logWriter struct{ log *logs.Log }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w.log.Debug("peers").Msg(strings.TrimSpace(string(b)))
	return len(b), nil
}
