package peers

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"ravenwheel/internal/logs"
)

// Settings of memberlist, for fleets of some hundred processes: also where a third of them fail at once, all are noticed within seconds.
const (
	// probeInterval is the time between two probes of one member by each process, and probeTimeout how long an answer may take. With
	// shorter times, processes on busy machines miss so many probes that they suspect each other permanently.
	probeInterval, probeTimeout = 700 * time.Millisecond, 400 * time.Millisecond
	// suspicionMultiplier * probeInterval * log10(fleet size), with a logarithm of at least 1, is how long a member is suspected before it counts as failed.
	suspicionMultiplier = 3
	// maxAwarenessMultiplier bounds the factor by which a process whose probes are not answered lengthens its probe times, as it may
	// be slow itself (Lifeguard). memberlist's default, 8, detects failures too slowly where a third of the members have failed.
	maxAwarenessMultiplier = 3
	// retransmitMultiplier * log10(fleet size), rounded up, is how often each process passes on an update.
	retransmitMultiplier = 4
	gossipInterval       = 100 * time.Millisecond
	streamTimeout        = 5 * time.Second
	// pushPullInterval is the time between two exchanges of the full state with another member, which memberlist extends with the
	// fleet's size. They repair what both gossip and rejoin have missed.
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
	c.DisableTcpPings = true    // they cost a handshake for each late answer, and digests need datagrams anyway
	c.EnableCompression = false // it costs a quarter of the processor time, and saves a tenth of the bytes
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

// delegate tells memberlist the metadata of this process. It implements memberlist.Delegate.
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

// NotifyJoin implements memberlist.EventDelegate. The member may have restarted, and know no other process's certificate.
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

// logWriter passes memberlist's log lines on, at the level of debugging: what matters is logged by this package.
type logWriter struct{ log *logs.Log }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w.log.Debug("peers").Msg(strings.TrimSpace(string(b)))
	return len(b), nil
}
