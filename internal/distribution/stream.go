package distribution

import (
	"math/rand/v2"
	"sync/atomic"

	decider "ravenwheel/internal/decide/distribution"
)

const (
	// maxQueuedInputs is how many inputs wait for the goroutine of a stream; a sender of more blocks.
	maxQueuedInputs = 256
	// maxBody is the largest list or revision, in bytes: as large as the largest call of the store.
	maxBody = 32 << 20
)

// machine is one of the two machines of a stream.
type machine int

// The machines of a stream.
const (
	subscriber machine = iota
	distributor
	machines
)

// input is an event of one of the machines, or a link that was opened.
type input struct {
	toDistributor bool // else to the subscriber
	event         decider.Event
	link          decider.Link
	opened        *outbox // nil: it is an event
}

// stream is one stream in one process: its machines, and the goroutine that they run in, which owns the links.
type stream struct {
	node     *Node
	id       decider.Stream
	settings decider.Settings
	relay    *decider.Relay
	applier  *entryApplier

	inputs     chan input
	ticks      [machines]chan struct{}
	cancelWake [machines]func()

	parentLink decider.Link // the link to the level above that the subscriber wants; 0: none
	parent     *outbox      // of that link; nil: it is not open
	children   map[decider.Link]*outbox

	freshness     decider.Freshness
	rootWatermark decider.Watermark // at a root: the latest of the store
	status        atomic.Pointer[Status]
}

func newStream(n *Node, id decider.Stream) *stream {
	settings := n.options.Settings
	settings.Stream = id
	if id == decider.Configuration {
		settings.MaxEntry = maxBody
	}
	// Both streams with one seed would draw alike, and do at one time what is to be spread.
	settings.Seed = rand.New(rand.NewPCG(settings.Seed, uint64(id))).Uint64()
	s := &stream{
		node: n, id: id, settings: settings, relay: decider.NewRelay(settings), applier: newEntryApplier(&n.options),
		inputs: make(chan input, maxQueuedInputs), children: map[decider.Link]*outbox{},
	}
	for i := range s.ticks {
		s.ticks[i], s.cancelWake[i] = make(chan struct{}, 1), func() {}
	}
	s.publishStatus()
	return s
}

// post queues an input. It returns false once the node ends.
func (s *stream) post(in input) bool {
	select {
	case s.inputs <- in:
		return true
	case <-s.node.done:
		return false
	}
}

// run is the goroutine of the stream. It closes the links when the node ends.
func (s *stream) run() {
	defer s.closeLinks()
	if s.node.options.Source == nil {
		var peers []decider.Peer
		for _, c := range s.node.options.Candidates {
			peers = append(peers, c.Peer)
		}
		s.handleSubscriber(decider.Candidates{Peers: peers})
	}
	for {
		select {
		case <-s.node.done:
			return
		case <-s.ticks[subscriber]:
			s.handleSubscriber(decider.Tick{})
		case <-s.ticks[distributor]:
			s.handleDistributor(decider.Tick{})
		case in := <-s.inputs:
			s.handleInput(in)
		}
		s.publishStatus()
	}
}

func (s *stream) closeLinks() {
	for _, cancel := range s.cancelWake {
		cancel()
	}
	if s.parent != nil {
		s.parent.close()
	}
	for _, child := range s.children {
		child.close()
	}
}

func (s *stream) handleInput(in input) {
	switch {
	case in.toDistributor && in.opened != nil:
		s.children[in.link] = in.opened
	case in.toDistributor:
		s.handleDistributor(in.event)
		if e, ok := in.event.(decider.Disconnected); ok {
			s.closeChild(e.Link)
		}
	case in.opened != nil && in.link != s.parentLink:
		in.opened.close() // the subscriber has given it up meanwhile
	case in.opened != nil:
		s.parent = in.opened
		s.handleSubscriber(decider.Connected{Link: in.link})
	default:
		if e, ok := in.event.(decider.Disconnected); ok && e.Link == s.parentLink {
			s.parentLink, s.parent = 0, nil
		}
		s.handleSubscriber(in.event)
	}
}

// handleSubscriber has the subscriber handle an event, and the distributor the events that follow from it.
func (s *stream) handleSubscriber(e decider.Event) {
	now := s.node.options.Clock.Now()
	if s.node.options.Listen == nil {
		s.carryOut(subscriber, s.relay.Subscriber.Handle(now, e))
		return
	}
	subscriberActions, distributorActions := s.relay.HandleParentEvent(now, e)
	s.carryOut(subscriber, subscriberActions)
	s.carryOut(distributor, distributorActions)
}

// handleDistributor has the distributor handle an event of the level below or of the store.
func (s *stream) handleDistributor(e decider.Event) {
	if s.node.options.Listen == nil {
		return
	}
	switch e := e.(type) {
	case decider.InstallSnapshot:
		s.rootWatermark = e.Watermark
	case decider.Apply:
		s.rootWatermark = e.Watermark
	case decider.AdvanceWatermark:
		s.rootWatermark = e.Watermark
	}
	s.carryOut(distributor, s.relay.Distributor.Handle(s.node.options.Clock.Now(), e))
}

// carryOut carries out the actions of a machine, in order.
func (s *stream) carryOut(m machine, actions []decider.Action) {
	for _, a := range actions {
		if m == subscriber && s.node.options.Observe != nil {
			s.node.options.Observe(s.id, a)
		}
		switch a := a.(type) {
		case decider.Apply:
			for _, e := range a.Entries {
				s.logSkipped(s.applier.apply(e))
			}
		case decider.InstallSnapshot:
			s.applier.applySnapshot(a.Entries, s.logSkipped)
		case decider.SetFreshness:
			s.freshness = a.State
			if s.node.options.SetFreshness != nil {
				s.node.options.SetFreshness(s.id, a.State)
			}
		case decider.Wake:
			s.wake(m, a.After)
		default:
			s.carryOutOnLink(a)
		}
	}
}

// carryOutOnLink carries out an action that concerns a link.
func (s *stream) carryOutOnLink(a decider.Action) {
	switch a := a.(type) {
	case decider.Connect:
		s.parentLink = a.Link
		s.node.goroutines.Go(func() { s.connect(a) })
	case decider.Disconnect:
		if s.parentLink == a.Link {
			s.closeParent()
		}
	case decider.SendMessage:
		if s.parent != nil && a.Link == s.parentLink {
			s.parent.send(decider.Encode(a.Message).Bytes)
		}
	case decider.Unsubscribed:
		s.node.options.Log.Info("distribution").Str("stream", streamNames[s.id]).Str("distributor", a.Distributor.Name).
			Stringer("why", a.Cause).Msg("unsubscribed from distributor")
	case decider.SendFrame:
		for _, link := range a.Links {
			if child := s.children[link]; child != nil {
				child.send(a.Frame.Bytes)
			}
		}
	case decider.CloseLink:
		s.closeChild(a.Link)
	}
}

func (s *stream) closeParent() {
	s.parentLink = 0
	if s.parent != nil {
		s.parent.close()
		s.parent = nil
	}
}

func (s *stream) closeChild(link decider.Link) {
	if child := s.children[link]; child != nil {
		child.close()
		delete(s.children, link)
	}
}

// logSkipped logs the error of an entry that could not be applied; nil: there is none.
func (s *stream) logSkipped(err error) {
	if err != nil {
		s.node.options.Log.Error("distribution").Str("stream", streamNames[s.id]).Err(err).Msg("entry skipped: this version cannot use it")
	}
}

// wake has a machine handle a Tick later, in place of the one that was requested before.
func (s *stream) wake(m machine, after float64) {
	s.cancelWake[m]()
	tick := s.ticks[m]
	s.cancelWake[m] = s.node.options.Clock.After(after, func() {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
}
