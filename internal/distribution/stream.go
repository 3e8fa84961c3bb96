package distribution

import (
	"math/rand/v2"
	"sync/atomic"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/store"
)

// input is what the goroutine of a stream is told. An event, or a link that was opened.
type input struct {
	toDistributor bool // of the level below, or of the store: for the distributor
	event         distribution.Event
	link          distribution.Link
	opened        *outbox
}

// mostInputs wait for the goroutine of a stream; who tells it more waits.
const maxQueuedInputs = 256

// mostBody is how large a list or a revision may be: as the largest call of the store.
const maxBody = 32 << 20

// stream is one stream in one process: its machines, and the one goroutine that they run in, which owns the links.
type stream struct {
	node          *Node
	id            distribution.Stream
	settings      distribution.Settings
	relay         *distribution.Relay
	inputs        chan input
	ticks         [2]chan struct{} // of subscriber and distributor
	cancelWake    [2]func()
	applier       *entryApplier
	parentLink    distribution.Link // the link above that is wanted; 0: none
	parent        *outbox           // nil: not open
	children      map[distribution.Link]*outbox
	freshness     distribution.Freshness
	rootWatermark distribution.Watermark // at a root: the latest that was told
	status        atomic.Pointer[Status]
}

func newStream(n *Node, name distribution.Stream) *stream {
	set := n.options.Settings
	set.Stream = name
	if name == distribution.Configuration {
		set.MaxEntry = maxBody
	}
	// Two streams of one seed would draw alike, and do at one moment what is to be spread.
	set.Seed = rand.New(rand.NewPCG(set.Seed, uint64(name))).Uint64()
	s := &stream{
		node: n, id: name, settings: set, relay: distribution.NewRelay(set), inputs: make(chan input, maxQueuedInputs), applier: newEntryApplier(&n.options),
		children: map[distribution.Link]*outbox{},
	}
	for i := range s.ticks {
		s.ticks[i], s.cancelWake[i] = make(chan struct{}, 1), func() {}
	}
	s.publish()
	return s
}

// post tells the stream; it returns false once the node ends.
func (s *stream) post(in input) bool {
	select {
	case s.inputs <- in:
		return true
	case <-s.node.done:
		return false
	}
}

// run is the goroutine of the stream. When the node ends it ends the links.
func (s *stream) run() {
	defer s.closeLinks()
	if s.node.options.Source == nil {
		var peers []distribution.Peer
		for _, c := range s.node.options.Candidates {
			peers = append(peers, c.Peer)
		}
		s.handleSubscriber(distribution.Candidates{Peers: peers})
	}
	for {
		select {
		case <-s.node.done:
			return
		case <-s.ticks[0]:
			s.handleSubscriber(distribution.Tick{})
		case <-s.ticks[1]:
			s.handleDistributor(distribution.Tick{})
		case in := <-s.inputs:
			s.handleInput(in)
		}
		s.publish()
	}
}

func (s *stream) closeLinks() {
	for _, unset := range s.cancelWake {
		unset()
	}
	if s.parent != nil {
		s.parent.close()
	}
	for _, out := range s.children {
		out.close()
	}
}

func (s *stream) handleInput(in input) {
	switch {
	case in.toDistributor && in.opened != nil:
		s.children[in.link] = in.opened
	case in.toDistributor:
		s.handleDistributor(in.event)
		if lost, ok := in.event.(distribution.Disconnected); ok {
			s.closeChild(lost.Link)
		}
	case in.opened != nil && in.link != s.parentLink:
		in.opened.close() // it was given up meanwhile
	case in.opened != nil:
		s.parent = in.opened
		s.handleSubscriber(distribution.Connected{Link: in.link})
	default:
		if lost, ok := in.event.(distribution.Disconnected); ok && lost.Link == s.parentLink {
			s.parentLink, s.parent = 0, nil
		}
		s.handleSubscriber(in.event)
	}
}

// above tells the subscriber, and the distributor what follows from it.
func (s *stream) handleSubscriber(e distribution.Event) {
	now := s.node.options.Clock.Now()
	if s.node.options.Listen == nil {
		s.carryOut(0, s.relay.Subscriber.Handle(now, e))
		return
	}
	above, below := s.relay.HandleAbove(now, e)
	s.carryOut(0, above)
	s.carryOut(1, below)
}

func (s *stream) handleDistributor(e distribution.Event) {
	if s.node.options.Listen == nil {
		return
	}
	switch e := e.(type) { // of the store
	case distribution.InstallSnapshot:
		s.rootWatermark = e.Watermark
	case distribution.Apply:
		s.rootWatermark = e.Watermark
	case distribution.AdvanceWatermark:
		s.rootWatermark = e.Watermark
	}
	s.carryOut(1, s.relay.Distributor.Handle(s.node.options.Clock.Now(), e))
}

// carry does what a machine (0: the subscriber, 1: the distributor) wants done, in order.
func (s *stream) carryOut(machine int, actions []distribution.Action) {
	for _, a := range actions {
		if machine == 0 && s.node.options.Observe != nil {
			s.node.options.Observe(s.id, a)
		}
		switch a := a.(type) {
		case distribution.Apply:
			for _, e := range a.Entries {
				s.logUnusable(s.applier.apply(e))
			}
		case distribution.InstallSnapshot:
			s.applier.applySnapshot(a.Entries, s.logUnusable)
		case distribution.SetFreshness:
			s.freshness = a.State
			if s.node.options.SetFreshness != nil {
				s.node.options.SetFreshness(s.id, a.State)
			}
		case distribution.Wake:
			s.wake(machine, a.After)
		default:
			s.carryOutOnLink(a)
		}
	}
}

// link does what is to be done on a link.
func (s *stream) carryOutOnLink(a distribution.Action) {
	switch a := a.(type) {
	case distribution.Connect:
		s.parentLink = a.Link
		s.node.goroutines.Go(func() { s.dial(a) })
	case distribution.Disconnect:
		if s.parentLink != a.Link {
			return
		}
		if s.parentLink = 0; s.parent != nil {
			s.parent.close()
			s.parent = nil
		}
	case distribution.SendMessage:
		if s.parent != nil && a.Link == s.parentLink {
			s.parent.send(distribution.Encode(a.Message).Bytes)
		}
	case distribution.Unsubscribed:
		s.node.options.Log.Info("distribution").Str("stream", streamNames[s.id]).Str("distributor", a.Distributor.Name).
			Stringer("why", a.Cause).Msg("distributor left")
	case distribution.SendFrame:
		for _, link := range a.Links {
			if out := s.children[link]; out != nil {
				out.send(a.Frame.Bytes)
			}
		}
	case distribution.CloseLink:
		s.closeChild(a.Link)
	}
}

func (s *stream) closeChild(link distribution.Link) {
	if out := s.children[link]; out != nil {
		out.close()
		delete(s.children, link)
	}
}

func (s *stream) logUnusable(err error) {
	if err != nil {
		s.node.options.Log.Error("distribution").Err(err).Msg("an entry that this version can't use is passed over")
	}
}

// wake has a machine told Tick later, in place of when it was to be.
func (s *stream) wake(machine int, after float64) {
	s.cancelWake[machine]()
	tick := s.ticks[machine]
	s.cancelWake[machine] = s.node.options.Clock.After(after, func() {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
}

// dial opens a link above and reads it until its end.
func (s *stream) dial(a distribution.Connect) {
	set := s.settings
	l, err := store.DialLink(s.node.options.Identity, s.node.addresses[a.To.Name], clock.Duration(set.ConnectTimeout), s.node.options.Dial)
	if err == nil && l.Peer != a.To.Name {
		l.Close()
		s.node.options.Log.Warn("distribution").Str("wanted", a.To.Name).Str("found", l.Peer).Msg("another one listens at a distributor's address")
		err = errUnexpectedPeer
	}
	if err == nil {
		s.read(l, a.Link, max(set.Credit/2, set.MaxFrame, set.MaxEntry)+frameOverhead)
	}
	s.post(input{event: distribution.Disconnected{Link: a.Link}})
}

// frameSlack is what a frame has beside its entries.
const frameOverhead = 4 << 10

// read tells of a link above and of what comes on it. The node's end ends the link, whoever reads it then.
func (s *stream) read(l *store.Link, link distribution.Link, most int) {
	defer l.Close()
	over := make(chan struct{})
	defer close(over)
	s.node.goroutines.Go(func() {
		select {
		case <-over:
		case <-s.node.done:
			l.Close()
		}
	})
	out := newOutbox(l, &s.node.goroutines, s.node.done)
	defer out.close()
	if !s.post(input{link: link, opened: out}) {
		return
	}
	for {
		raw, err := l.Receive(most, 0)
		if err != nil {
			return
		}
		m, err := distribution.Decode(raw)
		if err != nil {
			s.node.options.Log.Warn("distribution").Err(err).Str("distributor", l.Peer).Msg("a frame that can't be read")
			return
		}
		if !s.post(input{event: distribution.Received{Link: link, Message: m, Bytes: len(raw)}}) {
			return
		}
	}
}

// publish has Status tell how the stream stands now.
func (s *stream) publish() {
	root := s.node.options.Source != nil
	st := &Status{Stream: streamNames[s.id], Root: root, Subscribers: s.relay.Distributor.Subscribers()}
	sizes := s.relay.Distributor.Sizes()
	st.Entries, st.Backlog = sizes.Entries, sizes.BacklogEntries
	for _, out := range s.children {
		st.QueuedBytes = max(st.QueuedBytes, out.queuedBytes())
	}
	position, mark := s.relay.Subscriber.Position(), s.relay.Subscriber.Watermark()
	if root {
		position, mark = s.relay.Distributor.Position(), s.rootWatermark
	} else {
		st.Restricted = s.freshness.Restricted || s.freshness.FreshUntil <= s.node.options.Clock.Now()
	}
	if at, ok := s.relay.Subscriber.Parent(); ok {
		st.Parent = at.Name
	}
	st.Epoch, st.Sequence, st.WatermarkMs = position.Epoch, position.Sequence, mark.At
	s.status.Store(st)
}
