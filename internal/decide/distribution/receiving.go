package distribution

// snapshotAssembly is a snapshot that is being assembled from its chunks.
type snapshotAssembly struct {
	epoch, through   uint64
	watermark        Watermark
	nextChunk, bytes int
	entries          []Entry
}

// receive handles a message of the distributor. A message of another stream, or of an epoch below one that this process has seen, ends
// the subscription.
func (s *Subscriber) receive(e Received) {
	s.lastReceivedAt = s.now
	if m, isRejected := e.Message.(Rejected); isRejected && m.Stream == s.settings.Stream {
		s.handleRejected(m)
		return
	}
	stream, epoch := streamAndEpoch(e.Message)
	if stream != s.settings.Stream || epoch == 0 {
		s.leaveProtocolError()
		return
	}
	if epoch < s.highestEpoch {
		s.leave(CauseFenced, s.settings.MaxBackoff, true)
		return
	}
	s.highestEpoch = epoch
	s.phase = phaseSubscribed
	switch m := e.Message.(type) {
	case Batch:
		s.countReceived(e.Bytes)
		s.handleBatch(m)
	case SnapshotChunk:
		s.countReceived(e.Bytes)
		s.handleChunk(m)
	case Heartbeat:
		s.handleHeartbeat(m)
	}
}

// streamAndEpoch returns the stream and the epoch of a message that has both; zero values for other messages.
func streamAndEpoch(m Message) (Stream, uint64) {
	switch m := m.(type) {
	case Batch:
		return m.Stream, m.Epoch
	case SnapshotChunk:
		return m.Stream, m.Epoch
	case Heartbeat:
		return m.Stream, m.Epoch
	}
	return 0, 0
}

// leaveProtocolError leaves a distributor that has sent something that the protocol does not allow.
func (s *Subscriber) leaveProtocolError() { s.leave(CauseProtocolError, s.settings.MaxBackoff, true) }

// countReceived counts received bytes against the credit.
func (s *Subscriber) countReceived(bytes int) {
	s.unreturnedCredit += bytes
	s.receivedBytes += uint64(bytes)
}

// returnCredit returns the credit of received bytes once half of the credit is used up, or as a keepalive. It runs after the actions
// that apply what was received.
func (s *Subscriber) returnCredit() {
	if !s.hasLink() {
		return
	}
	if 2*s.unreturnedCredit >= s.settings.Credit || s.now >= s.lastSentAt+s.settings.KeepaliveInterval {
		s.send(Credit{Stream: s.settings.Stream, Bytes: s.unreturnedCredit})
		s.unreturnedCredit = 0
	}
}

func (s *Subscriber) handleHeartbeat(m Heartbeat) {
	if !s.hasState || m.Epoch != s.epoch {
		return // a snapshot is in flight, or a timer requests it
	}
	s.advanceWatermark(m.Watermark)
}

// advanceWatermark joins a watermark with the pending one, and emits the watermark in effect if that has risen.
func (s *Subscriber) advanceWatermark(w Watermark) {
	if s.joinWatermark(w) {
		s.emit(AdvanceWatermark{Epoch: s.epoch, Watermark: s.watermark})
	}
}

// joinWatermark joins a watermark with the pending one, and reports whether the watermark in effect has risen.
func (s *Subscriber) joinWatermark(w Watermark) bool {
	s.pendingWatermark = joinWatermarks(s.pendingWatermark, w)
	if s.applied < s.pendingWatermark.Sequence || s.pendingWatermark == s.watermark {
		return false
	}
	if s.pendingWatermark.At > s.watermark.At {
		s.watermarkRoseAt = s.now
		delete(s.backoffs, s.parent.Name)
	}
	s.watermark = s.pendingWatermark
	return true
}

// handleBatch applies a batch that begins at or before the present position and ends after it.
func (s *Subscriber) handleBatch(m Batch) {
	switch {
	case !validRange(m):
		s.leaveProtocolError()
		return
	case !s.hasState || m.Epoch != s.epoch || m.After > s.applied:
		s.resubscribe()
		return
	case m.Atomic && m.After < s.applied && s.applied < m.Through:
		s.leaveProtocolError()
		return
	case m.Through <= s.applied: // a duplicate; its watermark is valid nevertheless
		s.advanceWatermark(m.Watermark)
		return
	}
	entries := m.Entries
	for len(entries) > 0 && entries[0].Sequence <= s.applied {
		entries = entries[1:]
	}
	after := s.applied
	s.applied, s.progressAt, s.resubscribes = m.Through, s.now, 0
	s.joinWatermark(m.Watermark)
	s.emit(Apply{
		Epoch: s.epoch, Atomic: m.Atomic, After: after, Through: s.applied, Watermark: s.pendingWatermark, Entries: entries,
	})
}

// validRange reports whether the sequences of a batch are in the order and range that the protocol requires.
func validRange(m Batch) bool {
	if m.Through < m.After || m.Watermark.Sequence < m.Through {
		return false
	}
	last := m.After
	for _, e := range m.Entries {
		if e.Sequence <= last || e.Sequence > m.Through {
			return false
		}
		last = e.Sequence
	}
	return true
}

// handleChunk adds a chunk to the snapshot that is being assembled, and installs the snapshot when it is complete. A snapshot of an
// earlier position than the present one is ignored.
func (s *Subscriber) handleChunk(m SnapshotChunk) {
	if s.hasState && m.Epoch == s.epoch && m.Through < s.applied {
		s.assembly = nil
		return
	}
	if m.Index == 0 {
		s.assembly = &snapshotAssembly{epoch: m.Epoch, through: m.Through, watermark: m.Watermark}
	}
	a := s.assembly
	if a == nil || !a.continuedBy(m) {
		s.assembly = nil
		s.resubscribe()
		return
	}
	if !a.add(m) || a.bytes > s.settings.MaxSnapshot {
		s.leaveProtocolError()
		return
	}
	s.progressAt = s.now
	if m.Last {
		s.installSnapshot(a)
	}
}

// continuedBy reports whether a chunk is the next one of the snapshot.
func (a *snapshotAssembly) continuedBy(m SnapshotChunk) bool {
	return m.Epoch == a.epoch && m.Through == a.through && m.Watermark == a.watermark && m.Index == a.nextChunk
}

// add adds a chunk, and reports whether its sequences are in the order and range that the protocol requires.
func (a *snapshotAssembly) add(m SnapshotChunk) bool {
	for _, e := range m.Entries {
		if e.Sequence > m.Through || len(a.entries) > 0 && e.Sequence <= a.entries[len(a.entries)-1].Sequence {
			return false
		}
		a.entries = append(a.entries, e)
		a.bytes += EncodedSize(e)
	}
	a.nextChunk++
	return m.Watermark.Sequence <= m.Through
}

// installSnapshot replaces the state by a snapshot. Only a snapshot may bring a higher epoch, in which the sequence starts again.
func (s *Subscriber) installSnapshot(a *snapshotAssembly) {
	s.assembly = nil
	if !s.hasState || a.epoch != s.epoch {
		s.pendingWatermark, s.watermark = Watermark{}, Watermark{}
	}
	s.hasState, s.epoch, s.applied, s.resubscribes = true, a.epoch, a.through, 0
	s.joinWatermark(a.watermark)
	s.emit(InstallSnapshot{Epoch: a.epoch, Through: a.through, Watermark: s.pendingWatermark, Entries: a.entries})
}
