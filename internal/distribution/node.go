package distribution

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ravenwheel/internal/clock"
	decider "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
)

// Candidate is a distributor that a node may subscribe at, and its address.
type Candidate struct {
	Peer    decider.Peer
	Address string
}

// Source is a member of the store.
type Source interface {
	Observe(store.Observer)
	ReadIndex() (index uint64, at float64, err error)
}

// Options configure a Node.
type Options struct {
	// Settings are those of both streams. Stream and Seed are set for each of them.
	Settings decider.Settings
	Identity *store.Identity
	Clock    *clock.Clock
	Log      *logs.Log

	// Listen is where processes of the level below subscribe; nil: nowhere. MaxLinks bounds their links, of both streams together.
	Listen   net.Listener
	MaxLinks int
	// Source is the member of the store that a tree begins at, and Epoch the number of the store's history. nil: the node subscribes
	// at one of the Candidates.
	Source     Source
	Epoch      uint64
	Candidates []Candidate

	// ApplyChange puts a list, drain or purge into force, ApplyRevision a revision of the configuration, and SetFreshness gets the
	// restrictions of the request path. Each stream calls them in a goroutine of its own, in order. They are not used with a Source.
	ApplyChange   func(storestate.Change)
	ApplyRevision func(storestate.Revision)
	SetFreshness  func(decider.Stream, decider.Freshness)
	// Observe is called for each action of the subscribers before it is carried out; may be nil.
	Observe func(decider.Stream, decider.Action)
	// Dial opens connections; nil: TCP.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
}

// validate checks that the options fit together.
func (o *Options) validate() error {
	switch {
	case o.Identity == nil || o.Identity.Name != o.Settings.Self.Name:
		return fmt.Errorf("distribution: %q needs an identity of that name", o.Settings.Self.Name)
	case o.Source == nil && len(o.Candidates) == 0:
		return errors.New("distribution: neither a store nor a distributor to subscribe at")
	case o.Source != nil && o.Listen == nil:
		return errors.New("distribution: a member of the store needs an address at which others subscribe")
	case o.Source != nil && o.Epoch == 0:
		return errors.New("distribution: epochs count from 1")
	}
	return nil
}

// Node is one process in the tree. Whoever starts a Node closes it.
type Node struct {
	options       Options
	streams       map[decider.Stream]*stream
	addresses     map[string]string   // of the candidates, by name
	listener      *store.LinkListener // nil: nobody subscribes here
	lastChildLink atomic.Uint64       // numbers the links of the level below
	done          chan struct{}       // closed when the node ends
	closeOnce     sync.Once
	goroutines    sync.WaitGroup // all but those of the listener
}

// Streams are all streams.
var Streams = []decider.Stream{decider.Purges, decider.Configuration}

var streamNames = map[decider.Stream]string{decider.Purges: "purges", decider.Configuration: "configuration"}

// Start starts a node. It fails if the options do not fit together.
func Start(o Options) (*Node, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	n := &Node{options: o, streams: map[decider.Stream]*stream{}, addresses: map[string]string{}, done: make(chan struct{})}
	for _, c := range o.Candidates {
		n.addresses[c.Peer.Name] = c.Address
	}
	for _, id := range Streams {
		n.streams[id] = newStream(n, id)
	}
	for _, s := range n.streams {
		n.goroutines.Go(s.run)
	}
	if o.Listen != nil {
		n.listener = store.ListenLinks(o.Identity, o.Listen, o.MaxLinks, n.accept)
	}
	if o.Source != nil {
		n.goroutines.Go((&storeFeed{node: n}).run)
	}
	return n, nil
}

// shutdownPoll is how often Shutdown checks whether all subscribers have left, in ms.
const shutdownPoll = 10

// Shutdown moves the subscribers to other distributors. It returns when all have left, or after timeout ms. The node still has to be
// closed.
func (n *Node) Shutdown(timeout float64) {
	for _, s := range n.streams {
		s.post(input{toDistributor: true, event: decider.Shutdown{}})
	}
	for deadline := n.options.Clock.Now() + timeout; n.options.Clock.Now() < deadline; n.pause(shutdownPoll) {
		subscribers := 0
		for _, s := range n.streams {
			subscribers += s.status.Load().Subscribers
		}
		if subscribers == 0 {
			return
		}
	}
}

// pause waits for so many ms, or until the node ends.
func (n *Node) pause(ms float64) {
	elapsed := make(chan struct{})
	cancel := n.options.Clock.After(ms, func() { close(elapsed) })
	defer cancel()
	select {
	case <-elapsed:
	case <-n.done:
	}
}

// Close ends all links and goroutines, and waits for them.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		close(n.done)
		if n.listener != nil {
			_ = n.listener.Close()
		}
	})
	n.goroutines.Wait()
}

const (
	// maxChildMessage bounds a message of the level below, in bytes.
	maxChildMessage = 4 << 10
	// firstMessageTimeout bounds the time until the first one.
	firstMessageTimeout = 5 * time.Second
)

// accept serves a link of the level below, in a goroutine of the listener. A link carries one stream, which its first message names. A
// subscriber under another name than that of its certificate gets no answer.
func (n *Node) accept(l *store.Link) {
	raw, err := l.Receive(maxChildMessage, firstMessageTimeout)
	if err != nil {
		return
	}
	m, err := decider.Decode(raw)
	first, ok := m.(decider.Subscribe)
	if err != nil || !ok || first.Name != l.Peer {
		return
	}
	s := n.streams[first.Stream]
	if s == nil {
		return
	}
	link := decider.Link(n.lastChildLink.Add(1))
	out := newOutbox(l, &n.goroutines, n.done)
	defer out.close()
	if !s.post(input{toDistributor: true, link: link, opened: out}) {
		return
	}
	for err == nil {
		if !s.post(input{toDistributor: true, event: decider.Received{Link: link, Message: m, Bytes: len(raw)}}) {
			return
		}
		if raw, err = l.Receive(maxChildMessage, 0); err == nil {
			m, err = decider.Decode(raw)
		}
	}
	s.post(input{toDistributor: true, event: decider.Disconnected{Link: link}})
}
