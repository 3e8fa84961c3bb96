package peers

// recentSenderWindow is the time, in ms, for which a process counts as a recent sender after a datagram from it was accepted. A
// process that is cut off from the others has no recent senders long before its probes, one after the other, have found all others
// failed.
const recentSenderWindow = 10_000.0

// Status is the state of this process and its peers, in the form that is shown to operators.
type Status struct {
	Name          string           `json:"name"`
	Addr          string           `json:"addr"`
	Alive         int              `json:"alive"` // number of members, this process among them
	Fingerprint   string           `json:"set"`   // of the alive members and their addresses; equal if two processes agree
	RecentSenders int              `json:"hears"` // other processes from which a datagram was accepted within recentSenderWindow
	Members       []Member         `json:"members,omitempty"`
	SentBytes     int64            `json:"sent_bytes"`
	DigestBytes   int64            `json:"digest_bytes"` // part of SentBytes; the rest is membership
	StreamBytes   int64            `json:"stream_bytes"` // part of SentBytes
	ReceivedBytes int64            `json:"received_bytes"`
	Dropped       map[string]int64 `json:"dropped"` // datagrams by reason; "refused" counts RejectedDigests
}

// Summary returns the status without the members.
func (p *Peers) Summary() Status {
	s := Status{
		Name: p.options.Name, Addr: p.address(), RecentSenders: p.sealer.sendersWithin(recentSenderWindow),
		SentBytes: p.transport.sentBytes.Load(), DigestBytes: p.transport.digestBytes.Load(),
		StreamBytes: p.transport.streamBytes.Load(), ReceivedBytes: p.transport.receivedBytes.Load(),
		Dropped: p.sealer.dropped.byReason(),
	}
	s.Dropped["refused"] = p.RejectedDigests.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Alive, s.Fingerprint = p.aliveCount, formatFingerprint(p.aliveFingerprint)
	return s
}

// byReason returns the counters under the names that are shown to operators.
func (d *dropCounters) byReason() map[string]int64 {
	return map[string]int64{
		"malformed": d.Malformed.Load(), "unknown": d.UnknownSender.Load(), "forged": d.Forged.Load(), "replayed": d.Replayed.Load(),
		"old": d.Expired.Load(), "misdirected": d.Misdirected.Load(), "flood": d.RateLimited.Load(),
	}
}

// Status returns the status with the members.
func (p *Peers) Status() Status {
	s := p.Summary()
	s.Members = p.Members()
	return s
}
