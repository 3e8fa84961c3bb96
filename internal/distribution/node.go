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
	"ravenwheel/internal/memory"
	"ravenwheel/internal/store"
)

// Candidate is a distributor that a node may subscribe to, and its address.
type Candidate struct {
	Peer    decider.Peer
	Address string
}

// Source is a member of the store.
type Source interface {
	// Observe has the member report its state and each later change to an observer.
	Observe(store.Observer)
	// ReadIndex returns a log index and a time, Unix ms, such that the changes up to the index include all that the store had committed
	// before the time. It fails without a quorum.
	ReadIndex() (index uint64, at float64, err error)
}

// Options configure a Node.
type Options struct {
	// Settings are the settings of both streams. The node sets Stream for each stream, and draws each stream's Seed from Settings.Seed.
	Settings decider.Settings
	Identity *store.Identity
	Clock    *clock.Clock
	Log      *logs.Log

	// Listen accepts the links of processes of the level below; nil: this node distributes to none. MaxLinks bounds these links, of both
	// streams together.
	Listen   net.Listener
	MaxLinks int
	// Memory is the account on which links draw; nil: not limited.
	Memory *memory.Account
	// Source is the member of the store whose changes a root of the tree distributes, and Epoch the number of the store's history. Without
	// a Source the node subscribes to one of the Candidates.
	Source     Source
	Epoch      uint64
	Candidates []Candidate

	// ApplyChange applies a list, drain or purge, ApplyRevision a revision of the configuration, and SetFreshness the restrictions of the
	// request path. Each stream calls them in a goroutine of its own, in order. They are not called with a Source.
	ApplyChange   func(storestate.Change)
	ApplyRevision func(storestate.Revision)
	SetFreshness  func(decider.Stream, decider.Freshness)
	// Observe is called for each action of the two streams' subscribers before it is carried out; may be nil.
	Observe func(decider.Stream, decider.Action)
	// Dial opens connections; nil: TCP.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
}

// validate checks that the options are consistent.
func (o *Options) validate() error {
	switch {
	case o.Identity == nil || o.Identity.Name != o.Settings.Self.Name:
		return fmt.Errorf("distribution: process %q has no identity, or one of another name", o.Settings.Self.Name)
	case o.Source == nil && len(o.Candidates) == 0:
		return errors.New("distribution: neither a member of the store nor a distributor to subscribe to is configured")
	case o.Source != nil && o.Listen == nil:
		return errors.New("distribution: a member of the store needs an address to listen on for subscribers")
	case o.Source != nil && o.Epoch == 0:
		return errors.New("distribution: epoch is 0, but must be 1 or more")
	}
	return nil
}

// Node is one process in the tree of distributors. The caller of Start must close the Node.
type Node struct {
	options       Options
	streams       map[decider.Stream]*stream
	addresses     map[string]string   // of the candidates, by name
	listener      *store.LinkListener // nil: this node distributes to none
	lastChildLink atomic.Uint64       // number of the last link of the level below
	done          chan struct{}       // closed when the node ends
	closeOnce     sync.Once
	goroutines    sync.WaitGroup // all goroutines except those of the listener
}

// Streams lists all streams.
var Streams = []decider.Stream{decider.Purges, decider.Configuration}

var streamNames = map[decider.Stream]string{decider.Purges: "purges", decider.Configuration: "configuration"}

// Start starts a node. It fails if the options are inconsistent.
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
		n.listener = store.ListenLinks(o.Identity, memory.Listener(o.Listen, o.Memory, linkBytes), o.MaxLinks, n.accept)
	}
	if o.Source != nil {
		n.goroutines.Go((&storeFeed{node: n}).run)
	}
	return n, nil
}

// shutdownPoll is how often Shutdown checks whether all subscribers have left, in ms.
const shutdownPoll = 10

// Shutdown moves the subscribers to other distributors. It returns when all have left, or after timeout ms. The caller must still close
// the node.
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

// pause waits for a time in ms, or until the node ends.
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
	// maxChildMessage bounds the size of a message of the level below, in bytes.
	maxChildMessage = 4 << 10
	// firstMessageTimeout bounds the time until the first message on a link of the level below.
	firstMessageTimeout = 5 * time.Second
)

// accept serves a link of the level below, in a goroutine of the listener. A link carries one stream, which its first message names. If
// that message is not a Subscribe with the name of the peer's certificate, the link is closed without an answer.
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
	out := newOutbox(l, &n.goroutines, n.done, n.options.Memory)
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
