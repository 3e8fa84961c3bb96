package distribution

// Status is the state of one stream in a process, as it is shown to operators.
type Status struct {
	Stream      string  `json:"stream"`
	Epoch       uint64  `json:"epoch"`
	Sequence    uint64  `json:"sequence"`
	WatermarkMs int64   `json:"watermark_ms"`  // Unix ms; all entries that were committed before are in effect
	LagMs       float64 `json:"behind_ms"`     // upper bound, which includes Settings.MaxClockSkew; -1: there is no watermark yet
	Parent      string  `json:"at,omitempty"`  // the distributor that the process is subscribed to
	Root        bool    `json:"root"`          // the process is a member of the store
	Restricted  bool    `json:"held"`          // strict classes are restricted, see Freshness in internal/decide/distribution
	Subscribers int     `json:"subscribers"`   // number of subscribers of the level below
	Entries     int     `json:"entries"`       // number of entries of a snapshot for a new subscriber
	Backlog     int     `json:"backlog"`       // number of entries in the backlog
	QueuedBytes int     `json:"waiting_bytes"` // bytes still to be written, on the link that has most
}

// noLag is the value of LagMs for a stream without a watermark.
const noLag = -1

// Status returns the state of both streams.
func (n *Node) Status() []Status {
	now := n.options.Clock.Now()
	var all []Status
	for _, id := range Streams {
		s := *n.streams[id].status.Load()
		s.LagMs = noLag
		if s.WatermarkMs > 0 {
			s.LagMs = now - float64(s.WatermarkMs) + n.options.Settings.MaxClockSkew
		}
		all = append(all, s)
	}
	return all
}

// publishStatus publishes the present state of the stream.
func (s *stream) publishStatus() {
	root := s.node.options.Source != nil
	sizes := s.relay.Distributor.Sizes()
	status := &Status{
		Stream: streamNames[s.id], Root: root, Subscribers: s.relay.Distributor.Subscribers(),
		Entries: sizes.Entries, Backlog: sizes.BacklogEntries,
	}
	for _, child := range s.children {
		status.QueuedBytes = max(status.QueuedBytes, child.queuedBytes())
	}
	position, watermark := s.relay.Subscriber.Position(), s.relay.Subscriber.Watermark()
	if root {
		position, watermark = s.relay.Distributor.Position(), s.rootWatermark
	} else {
		status.Restricted = s.freshness.Restricted || s.freshness.FreshUntil <= s.node.options.Clock.Now()
	}
	if parent, ok := s.relay.Subscriber.Parent(); ok {
		status.Parent = parent.Name
	}
	status.Epoch, status.Sequence, status.WatermarkMs = position.Epoch, position.Sequence, watermark.At
	s.status.Store(status)
}
