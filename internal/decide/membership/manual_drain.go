package membership

// setManualDrain starts or ends an operator's drain. The drain is kept when the server is deleted from the table: if the
// server is listed again, it is still drained.
func (t *Table) setManualDrain(e ManualDrain) {
	if _, drained := t.manualDrains[e.ID]; e.On && !drained {
		t.manualDrains[e.ID] = t.now
	} else if !e.On {
		delete(t.manualDrains, e.ID)
	}
	s := t.servers[e.ID]
	if s == nil || s.manualDrain == e.On {
		return
	}
	began := s.manualDrainSince
	s.manualDrainSince, s.manualDrain = t.manualDrains[e.ID]
	if !e.On {
		t.endManualDrain(s, began)
	}
	t.markDirty(e.ID)
}

// endManualDrain decides whether a server warms up after a drain that began at the given time, in ms. It does, since it was
// most likely restarted during the drain, unless its source reports a start since then, which applies instead, or that the
// server is warm.
func (t *Table) endManualDrain(s *server, began float64) {
	i := s.merge().factsSource
	if i < 0 {
		return
	}
	entry := s.entries[i]
	if toMs(entry.reported.Started) >= began || entry.Warm {
		return
	}
	if t.sources[i].Immediate {
		t.manualDrainsEnded[s.id] = t.now
	} else {
		entry.warmUpOnReady = true
	}
}
