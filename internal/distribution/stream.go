package distribution

import (
	"math/rand/v2"
	"sync/atomic"

	decider "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/memory"
)

const (
	// maxQueuedInputs is how many inputs may be queued for the goroutine of a stream. post blocks while the queue is full.
	maxQueuedInputs = 256
	// maxBody is the maximum size of a list or revision, in bytes: that of the largest call of the store.
	maxBody = 32 << 20
)

// machine is one of the two machines of a stream.
type machine int

// The machines of a stream.
const (
	subscriber machine = iota
	distributor
	machineCount
)

// input is an event of one of the machines, or a link that was opened.
type input struct {
	toDistributor bool // for the distributor; else for the subscriber
	event         decider.Event
	link          decider.Link // the link that was opened
	opened        *outbox      // of the link that was opened; nil: the input is an event
}

// stream is one stream in one process: its machines, and the goroutine in which they run, which owns the links.
type stream struct {
	node     *Node
	id       decider.Stream
	settings decider.Settings
	relay    *decider.Relay
	applier  *entryApplier

	inputs     chan input
	ticks      [machineCount]chan struct{}
	cancelWake [machineCount]func()

	parentLink decider.Link // the link to the level above that the subscriber requested last; 0: none
	parent     *outbox      // of parentLink; nil: the link is not open
	children   map[decider.Link]*outbox

	freshness     decider.Freshness
	rootWatermark decider.Watermark // at a root: the store's latest watermark
	status        atomic.Pointer[Status]
}

func newStream(n *Node, id decider.Stream) *stream {
	settings := n.options.Settings
	settings.Stream = id
	if id == decider.Configuration {
		settings.MaxEntry = maxBody
	}
	if account := n.options.Memory; account != nil {
		settings.MaxSnapshot = min(settings.MaxSnapshot, int(account.Share(memory.Services)))
	}
	// With the same seed both streams would draw the same delays, and act at the same time instead of spread over time.
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
		in.opened.close() // the subscriber has left this link meanwhile
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

// handleSubscriber passes an event to the subscriber, and the changes of the state that follow from it to the distributor.
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

// handleDistributor passes an event of the level below or of the store to the distributor.
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

// carryOutOnLink carries out an action on a link.
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

// logSkipped logs the error of an entry that could not be applied. It does nothing if err is nil.
func (s *stream) logSkipped(err error) {
	if err != nil {
		s.node.options.Log.Error("distribution").Str("stream", streamNames[s.id]).Err(err).Msg("entry can't be applied by this version; skipped")
	}
}

// wake has a machine handle a Tick after a delay in ms. It replaces the Tick that the machine requested before.
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
