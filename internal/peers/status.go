package peers

// recentSenderWindow is the time, in ms, within which a process counts as heard. A process that is cut off hears nobody long before its
// probes, one after the other, have shown all others as failed.
const recentSenderWindow = 10_000.0

// Status is the state of this process among its peers, as operators are shown it.
type Status struct {
	Name          string           `json:"name"`
	Addr          string           `json:"addr"`
	Alive         int              `json:"alive"` // members
	Fingerprint   string           `json:"set"`   // of the members that are alive, with their addresses: equal if two processes agree
	RecentSenders int              `json:"hears"` // other processes of which a datagram was accepted within recentSenderWindow
	Members       []Member         `json:"members,omitempty"`
	SentBytes     int64            `json:"sent_bytes"`
	DigestBytes   int64            `json:"digest_bytes"` // of the bytes sent; the rest is membership
	StreamBytes   int64            `json:"stream_bytes"` // of the bytes sent
	ReceivedBytes int64            `json:"received_bytes"`
	Dropped       map[string]int64 `json:"dropped"` // datagrams, by reason
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

// byReason returns the counters under the names that operators are shown.
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
