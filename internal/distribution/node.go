// Package distribution is the shell round decide/distribution: it carries purges, revisions of the configuration, lists and
// drains from the store's members to every process, through levels of distributors. A process subscribes at one above it,
// passes on to those below it, or both; a member of the store begins a tree. It opens the links (the store's: mutual TLS of
// the cluster), keeps the machines' time, and has what they decide come into force. It decides nothing: who subscribes
// where, what may be left out and what a process does that may be behind is decided, and tested, in decide/distribution;
// here it is run over sockets under faults.
package distribution

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
)

// Candidate is a distributor that may be subscribed at, and its address.
type Candidate struct {
	Peer    distribution.Peer
	Address string
}

// Source is a member of the store.
type Source interface {
	Observe(store.Observer)
	ReadIndex() (index uint64, at float64, err error)
}

// Options set up a node.
type Options struct {
	// Settings are those of both streams; Stream is set for each, and Seed drawn apart.
	Settings distribution.Settings
	Identity *store.Identity
	Clock    *clock.Clock
	Log      *logs.Log

	// Listen is where others subscribe, MostLinks how many links there may be at once, of both streams. nil: nowhere.
	Listen   net.Listener
	MaxLinks int
	// Source is the store that a tree begins at, Epoch the number of its history. nil: Candidates are subscribed at.
	Source     Source
	Epoch      uint64
	Candidates []Candidate

	// Take and Revised have facts and revisions come into force; Guard gets what strict classes go by, of a stream. Each
	// stream calls them from a goroutine of its own, in order. Of no use with Source.
	ApplyChange   func(storestate.Change)
	ApplyRevision func(storestate.Revision)
	SetFreshness  func(distribution.Stream, distribution.Freshness)
	// Observe gets each action of the subscribers before it is carried out. nil: nobody asks.
	Observe func(distribution.Stream, distribution.Action)
	// Dial opens connections. nil: TCP.
	Dial func(addr string, wait time.Duration) (net.Conn, error)
}

// Node is one process in the tree.
type Node struct {
	options       Options
	streams       map[distribution.Stream]*stream
	addresses     map[string]string   // of candidates
	listener      *store.LinkListener // nil: nobody subscribes here
	lastChildLink atomic.Uint64       // numbers links from below
	done          chan struct{}
	closeOnce     sync.Once
	goroutines    sync.WaitGroup // of all goroutines but the listener's
}

// Streams are all that there are.
var Streams = []distribution.Stream{distribution.Purges, distribution.Configuration}

// Start begins. Whoever starts a node closes it.
func Start(o Options) (*Node, error) {
	switch {
	case o.Identity == nil || o.Identity.Name != o.Settings.Self.Name:
		return nil, fmt.Errorf("distribution: %q needs an identity of that name", o.Settings.Self.Name)
	case o.Source == nil && len(o.Candidates) == 0:
		return nil, errors.New("distribution: neither a store nor anyone to subscribe at")
	case o.Source != nil && o.Listen == nil:
		return nil, errors.New("distribution: a member of the store needs an address at which others subscribe")
	case o.Source != nil && o.Epoch == 0:
		return nil, errors.New("distribution: epochs count from 1")
	}
	n := &Node{options: o, streams: map[distribution.Stream]*stream{}, addresses: map[string]string{}, done: make(chan struct{})}
	for _, c := range o.Candidates {
		n.addresses[c.Peer.Name] = c.Address
	}
	for _, at := range Streams {
		n.streams[at] = newStream(n, at)
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

// Stop has subscribers spread over other distributors, and returns when all have gone, or after so many ms.
func (n *Node) Shutdown(wait float64) {
	for _, s := range n.streams {
		s.post(input{toDistributor: true, event: distribution.Shutdown{}})
	}
	for end := n.options.Clock.Now() + wait; n.options.Clock.Now() < end; n.pause(shutdownPoll) {
		left := 0
		for _, s := range n.streams {
			left += s.status.Load().Subscribers
		}
		if left == 0 {
			return
		}
	}
}

// stopEvery ms it is looked whether subscribers have gone.
const shutdownPoll = 10

// pause waits for so many ms, or until the node ends.
func (n *Node) pause(ms float64) {
	over := make(chan struct{})
	stop := n.options.Clock.After(ms, func() { close(over) })
	defer stop()
	select {
	case <-over:
	case <-n.done:
	}
}

// Close ends all links and goroutines.
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
	// mostAsked bytes has a message from below, and firstFor it is waited for the first.
	maxChildMessage     = 4 << 10
	firstMessageTimeout = 5 * time.Second
)

// accept serves a link from below, in a goroutine of the listener. It carries one stream, which the first message names;
// who asks in another's name than that of its certificate gets no answer.
func (n *Node) accept(l *store.Link) {
	raw, err := l.Receive(maxChildMessage, firstMessageTimeout)
	if err != nil {
		return
	}
	m, err := distribution.Decode(raw)
	first, ok := m.(distribution.Subscribe)
	if err != nil || !ok || first.Name != l.Peer {
		return
	}
	s := n.streams[first.Stream]
	if s == nil {
		return
	}
	number := distribution.Link(n.lastChildLink.Add(1))
	out := newOutbox(l, &n.goroutines, n.done)
	defer out.close()
	if !s.post(input{toDistributor: true, link: number, opened: out}) {
		return
	}
	for err == nil {
		if !s.post(input{toDistributor: true, event: distribution.Received{Link: number, Message: m, Bytes: len(raw)}}) {
			return
		}
		if raw, err = l.Receive(maxChildMessage, 0); err == nil {
			m, err = distribution.Decode(raw)
		}
	}
	s.post(input{toDistributor: true, event: distribution.Disconnected{Link: number}})
}

// Status is how a stream stands in a process.
type Status struct {
	Stream      string  `json:"stream"`
	Epoch       uint64  `json:"epoch"`
	Sequence    uint64  `json:"sequence"`
	WatermarkMs int64   `json:"watermark_ms"` // all that was committed before is in force
	LagMs       float64 `json:"behind_ms"`    // at most, the bound on clocks counted
	Parent      string  `json:"at,omitempty"` // where it is subscribed
	Root        bool    `json:"root"`
	Restricted  bool    `json:"held"` // strict classes are
	Subscribers int     `json:"subscribers"`
	Entries     int     `json:"entries"` // that it could give to a new subscriber
	Backlog     int     `json:"backlog"`
	QueuedBytes int     `json:"waiting_bytes"` // to be written, on the link that has most
}

var streamNames = map[distribution.Stream]string{distribution.Purges: "purges", distribution.Configuration: "configuration"}

// Status tells how both streams stand.
func (n *Node) Status() []Status {
	now := n.options.Clock.Now()
	var out []Status
	for _, at := range Streams {
		s := *n.streams[at].status.Load()
		s.LagMs = -1 // nothing whole yet
		if s.WatermarkMs > 0 {
			s.LagMs = now - float64(s.WatermarkMs) + n.options.Settings.MaxClockSkew
		}
		out = append(out, s)
	}
	return out
}
