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
	below  bool // of the level below, or of the store: for the distributor
	event  distribution.Event
	link   distribution.Link
	opened *outbox
}

// mostInputs wait for the goroutine of a stream; who tells it more waits.
const mostInputs = 256

// mostBody is how large a list or a revision may be: as the largest call of the store.
const mostBody = 32 << 20

// stream is one stream in one process: its machines, and the one goroutine that they run in, which owns the links.
type stream struct {
	node   *Node
	name   distribution.Stream
	set    distribution.Settings
	relay  *distribution.Relay
	in     chan input
	ticks  [2]chan struct{} // of subscriber and distributor
	unset  [2]func()
	sink   *sink
	asked  distribution.Link // the link above that is wanted; 0: none
	up     *outbox           // nil: not open
	down   map[distribution.Link]*outbox
	guard  distribution.Freshness
	mark   distribution.Watermark // at a root: the latest that was told
	status atomic.Pointer[Status]
}

func newStream(n *Node, name distribution.Stream) *stream {
	set := n.opt.Settings
	set.Stream = name
	if name == distribution.Configuration {
		set.MaxEntry = mostBody
	}
	// Two streams of one seed would draw alike, and do at one moment what is to be spread.
	set.Seed = rand.New(rand.NewPCG(set.Seed, uint64(name))).Uint64()
	s := &stream{
		node: n, name: name, set: set, relay: distribution.NewRelay(set), in: make(chan input, mostInputs), sink: newSink(&n.opt),
		down: map[distribution.Link]*outbox{},
	}
	for i := range s.ticks {
		s.ticks[i], s.unset[i] = make(chan struct{}, 1), func() {}
	}
	s.publish()
	return s
}

// post tells the stream; it returns false once the node ends.
func (s *stream) post(in input) bool {
	select {
	case s.in <- in:
		return true
	case <-s.node.done:
		return false
	}
}

// run is the goroutine of the stream. When the node ends it ends the links.
func (s *stream) run() {
	defer s.end()
	if s.node.opt.Source == nil {
		var peers []distribution.Peer
		for _, c := range s.node.opt.Candidates {
			peers = append(peers, c.Peer)
		}
		s.above(distribution.Candidates{Peers: peers})
	}
	for {
		select {
		case <-s.node.done:
			return
		case <-s.ticks[0]:
			s.above(distribution.Tick{})
		case <-s.ticks[1]:
			s.below(distribution.Tick{})
		case in := <-s.in:
			s.told(in)
		}
		s.publish()
	}
}

func (s *stream) end() {
	for _, unset := range s.unset {
		unset()
	}
	if s.up != nil {
		s.up.end()
	}
	for _, out := range s.down {
		out.end()
	}
}

func (s *stream) told(in input) {
	switch {
	case in.below && in.opened != nil:
		s.down[in.link] = in.opened
	case in.below:
		s.below(in.event)
		if lost, ok := in.event.(distribution.Disconnected); ok {
			s.drop(lost.Link)
		}
	case in.opened != nil && in.link != s.asked:
		in.opened.end() // it was given up meanwhile
	case in.opened != nil:
		s.up = in.opened
		s.above(distribution.Connected{Link: in.link})
	default:
		if lost, ok := in.event.(distribution.Disconnected); ok && lost.Link == s.asked {
			s.asked, s.up = 0, nil
		}
		s.above(in.event)
	}
}

// above tells the subscriber, and the distributor what follows from it.
func (s *stream) above(e distribution.Event) {
	now := s.node.opt.Clock.Now()
	if s.node.opt.Listen == nil {
		s.carry(0, s.relay.Subscriber.Handle(now, e))
		return
	}
	above, below := s.relay.HandleAbove(now, e)
	s.carry(0, above)
	s.carry(1, below)
}

func (s *stream) below(e distribution.Event) {
	if s.node.opt.Listen == nil {
		return
	}
	switch e := e.(type) { // of the store
	case distribution.InstallSnapshot:
		s.mark = e.Watermark
	case distribution.Apply:
		s.mark = e.Watermark
	case distribution.AdvanceWatermark:
		s.mark = e.Watermark
	}
	s.carry(1, s.relay.Distributor.Handle(s.node.opt.Clock.Now(), e))
}

// carry does what a machine (0: the subscriber, 1: the distributor) wants done, in order.
func (s *stream) carry(machine int, actions []distribution.Action) {
	for _, a := range actions {
		if machine == 0 && s.node.opt.Observe != nil {
			s.node.opt.Observe(s.name, a)
		}
		switch a := a.(type) {
		case distribution.Apply:
			for _, e := range a.Entries {
				s.bad(s.sink.put(e))
			}
		case distribution.InstallSnapshot:
			s.sink.whole(a.Entries, s.bad)
		case distribution.SetFreshness:
			s.guard = a.State
			if s.node.opt.Guard != nil {
				s.node.opt.Guard(s.name, a.State)
			}
		case distribution.Wake:
			s.wake(machine, a.After)
		default:
			s.link(a)
		}
	}
}

// link does what is to be done on a link.
func (s *stream) link(a distribution.Action) {
	switch a := a.(type) {
	case distribution.Connect:
		s.asked = a.Link
		s.node.wait.Go(func() { s.dial(a) })
	case distribution.Disconnect:
		if s.asked != a.Link {
			return
		}
		if s.asked = 0; s.up != nil {
			s.up.end()
			s.up = nil
		}
	case distribution.SendMessage:
		if s.up != nil && a.Link == s.asked {
			s.up.send(distribution.Encode(a.Message).Bytes)
		}
	case distribution.Unsubscribed:
		s.node.opt.Log.Info("distribution").Str("stream", streamNames[s.name]).Str("distributor", a.Distributor.Name).
			Stringer("why", a.Cause).Msg("distributor left")
	case distribution.SendFrame:
		for _, link := range a.Links {
			if out := s.down[link]; out != nil {
				out.send(a.Frame.Bytes)
			}
		}
	case distribution.CloseLink:
		s.drop(a.Link)
	}
}

func (s *stream) drop(link distribution.Link) {
	if out := s.down[link]; out != nil {
		out.end()
		delete(s.down, link)
	}
}

func (s *stream) bad(err error) {
	if err != nil {
		s.node.opt.Log.Error("distribution").Err(err).Msg("an entry that this version can't use is passed over")
	}
}

// wake has a machine told Tick later, in place of when it was to be.
func (s *stream) wake(machine int, after float64) {
	s.unset[machine]()
	tick := s.ticks[machine]
	s.unset[machine] = s.node.opt.Clock.After(after, func() {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
}

// dial opens a link above and reads it until its end.
func (s *stream) dial(a distribution.Connect) {
	set := s.set
	l, err := store.DialLink(s.node.opt.Identity, s.node.addrs[a.To.Name], clock.Duration(set.ConnectTimeout), s.node.opt.Dial)
	if err == nil && l.Peer != a.To.Name {
		l.Close()
		s.node.opt.Log.Warn("distribution").Str("wanted", a.To.Name).Str("found", l.Peer).Msg("another one listens at a distributor's address")
		err = errOther
	}
	if err == nil {
		s.read(l, a.Link, max(set.Credit/2, set.MaxFrame, set.MaxEntry)+frameSlack)
	}
	s.post(input{event: distribution.Disconnected{Link: a.Link}})
}

// frameSlack is what a frame has beside its entries.
const frameSlack = 4 << 10

// read tells of a link above and of what comes on it. The node's end ends the link, whoever reads it then.
func (s *stream) read(l *store.Link, link distribution.Link, most int) {
	defer l.Close()
	over := make(chan struct{})
	defer close(over)
	s.node.wait.Go(func() {
		select {
		case <-over:
		case <-s.node.done:
			l.Close()
		}
	})
	out := newOutbox(l, &s.node.wait, s.node.done)
	defer out.end()
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
			s.node.opt.Log.Warn("distribution").Err(err).Str("distributor", l.Peer).Msg("a frame that can't be read")
			return
		}
		if !s.post(input{event: distribution.Received{Link: link, Message: m, Bytes: len(raw)}}) {
			return
		}
	}
}

// publish has Status tell how the stream stands now.
func (s *stream) publish() {
	root := s.node.opt.Source != nil
	st := &Status{Stream: streamNames[s.name], Root: root, Subscribers: s.relay.Distributor.Subscribers()}
	sizes := s.relay.Distributor.Sizes()
	st.Entries, st.Backlog = sizes.Entries, sizes.BacklogEntries
	for _, out := range s.down {
		st.Waiting = max(st.Waiting, out.waiting())
	}
	position, mark := s.relay.Subscriber.Position(), s.relay.Subscriber.Watermark()
	if root {
		position, mark = s.relay.Distributor.Position(), s.mark
	} else {
		st.Held = s.guard.Restricted || s.guard.FreshUntil <= s.node.opt.Clock.Now()
	}
	if at, ok := s.relay.Subscriber.Parent(); ok {
		st.At = at.Name
	}
	st.Epoch, st.Sequence, st.MarkMs = position.Epoch, position.Sequence, mark.At
	s.status.Store(st)
}
