package distribution

import "slices"

// maxMissedKeepalives is how many keepalives a subscriber may miss before it is dropped.
const maxMissedKeepalives = 3

// subscription is one subscriber of a Distributor.
type subscription struct {
	link           Link
	name           string
	window         int       // bytes that may be in flight
	credit         int       // bytes that may still be sent within the window
	sentBytes      uint64    // bytes of batches and chunks sent since the link was opened
	needsSnapshot  bool      // the subscriber cannot resume from the backlog, which begins after its cursor or is of another epoch
	cursor         uint64    // the sequence up to which all entries were sent, unless the subscriber needs a snapshot
	snapshot       *snapshot // the snapshot that is being sent; nil: none
	nextChunk      int       // index of the snapshot's chunk that is sent next
	lastReceivedAt float64
	lastSentAt     float64
}

// receive handles a message of a subscriber.
func (d *Distributor) receive(e Received) {
	switch m := e.Message.(type) {
	case Subscribe:
		d.subscribe(e.Link, m)
	case Credit:
		if s := d.links[e.Link]; s != nil && m.Stream == d.settings.Stream && m.Bytes >= 0 {
			s.lastReceivedAt = d.now
			s.credit = min(s.window, s.credit+m.Bytes)
			d.sendPending([]*subscription{s})
		}
	case Unsubscribe:
		if d.links[e.Link] != nil {
			d.closeLink(e.Link, CauseFinished)
		}
	default:
		d.closeLink(e.Link, CauseProtocolError)
	}
}

// subscribe begins a subscription, or restarts the one on this link from another position.
func (d *Distributor) subscribe(link Link, m Subscribe) {
	s := d.links[link]
	if reason, retryAfter := d.admit(s == nil, m); reason != 0 {
		d.reject(link, reason, retryAfter)
		return
	}
	if s == nil {
		d.closeEarlierLink(m.Name)
		s = &subscription{link: link, name: m.Name}
		d.links[link] = s
		d.subscriptions = append(d.subscriptions, s)
	}
	// Bytes that were sent on this link and have not been received yet still count against the new credit.
	inFlight := s.sentBytes - min(m.ReceivedBytes, s.sentBytes)
	s.window, s.credit, s.lastReceivedAt = m.Credit, m.Credit-int(inFlight), d.now
	s.cursor, s.snapshot, s.nextChunk = m.From.Sequence, nil, 0
	s.needsSnapshot = m.From.Epoch != d.epoch || m.From.Sequence < d.backlog.floor
	d.sendHeartbeat([]*subscription{s})
	d.sendPending([]*subscription{s})
}

// closeEarlierLink closes an earlier link of the same subscriber, whose end this process has not noticed yet.
func (d *Distributor) closeEarlierLink(name string) {
	if s := d.findSubscription(name); s != nil {
		d.closeLink(s.link, CauseFinished)
	}
}

// findSubscription returns the subscription of a subscriber, or nil.
func (d *Distributor) findSubscription(name string) *subscription {
	for _, s := range d.subscriptions {
		if s.name == name {
			return s
		}
	}
	return nil
}

// reject tells a subscriber to return after retryAfter ms at the earliest, and closes its link.
func (d *Distributor) reject(link Link, reason RejectReason, retryAfter float64) {
	rejected := Rejected{Stream: d.settings.Stream, Reason: reason, RetryAfter: int(retryAfter)}
	d.emit(SendFrame{Links: []Link{link}, Frame: Encode(rejected)})
	d.closeLink(link, CauseRejected)
}

func (d *Distributor) closeLink(link Link, cause Cause) {
	d.emit(CloseLink{Link: link, Cause: cause})
	d.removeSubscription(link)
}

func (d *Distributor) removeSubscription(link Link) {
	if d.links[link] == nil {
		return
	}
	delete(d.links, link)
	d.subscriptions = slices.DeleteFunc(d.subscriptions, func(s *subscription) bool { return s.link == link })
}

// sendHeartbeats sends a heartbeat to subscribers to which nothing was sent for HeartbeatInterval, and drops those that sent nothing
// for maxMissedKeepalives keepalive intervals.
func (d *Distributor) sendHeartbeats() {
	var idle []*subscription
	for _, s := range slices.Clone(d.subscriptions) {
		switch {
		case d.now >= s.lastReceivedAt+maxMissedKeepalives*d.settings.KeepaliveInterval:
			d.closeLink(s.link, CauseTimeout)
		case d.now >= s.lastSentAt+d.settings.HeartbeatInterval:
			idle = append(idle, s)
		}
	}
	d.sendHeartbeat(idle)
}

func (d *Distributor) sendHeartbeat(to []*subscription) {
	if len(to) == 0 || d.epoch == 0 {
		return
	}
	heartbeat := Heartbeat{Stream: d.settings.Stream, Epoch: d.epoch, Watermark: d.claimableWatermark()}
	send := SendFrame{Frame: Encode(heartbeat)}
	for _, s := range to {
		s.lastSentAt = d.now
		send.Links = append(send.Links, s.link)
	}
	d.emit(send)
}
