package distribution

import (
	"errors"

	"ravenwheel/internal/clock"
	decider "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/store"
)

// frameOverhead bounds the size of a frame beside its entries, in bytes.
const frameOverhead = 4 << 10

// errUnexpectedPeer means that another process than the wanted distributor has answered at the distributor's address.
var errUnexpectedPeer = errors.New("distribution: unexpected peer")

// connect opens a link to a distributor, reads it until it ends, and reports its end.
func (s *stream) connect(a decider.Connect) {
	if l, err := s.dial(a.To.Name); err == nil {
		s.read(l, a.Link)
	}
	s.post(input{event: decider.Disconnected{Link: a.Link}})
}

// dial opens a link to a distributor. It fails with errUnexpectedPeer if another process answers.
func (s *stream) dial(name string) (*store.Link, error) {
	o := &s.node.options
	l, err := store.DialLink(o.Identity, s.node.addresses[name], clock.Duration(s.settings.ConnectTimeout), o.Dial)
	if err != nil {
		return nil, err
	}
	if l.Peer != name {
		l.Close()
		o.Log.Warn("distribution").Str("wanted", name).Str("found", l.Peer).Msg("unexpected process at a distributor's address; link closed")
		return nil, errUnexpectedPeer
	}
	return l, nil
}

// read reports a link to the level above as opened, and the messages that are received on it. It closes the link when the node ends.
func (s *stream) read(l *store.Link, link decider.Link) {
	defer l.Close()
	finished := make(chan struct{})
	defer close(finished)
	s.node.goroutines.Go(func() {
		select {
		case <-finished:
		case <-s.node.done:
			l.Close()
		}
	})
	out := newOutbox(l, &s.node.goroutines, s.node.done, s.node.options.Memory)
	defer out.close()
	if !s.post(input{link: link, opened: out}) {
		return
	}
	maxFrame := max(s.settings.Credit/2, s.settings.MaxFrame, s.settings.MaxEntry) + frameOverhead
	for {
		raw, err := l.Receive(maxFrame, 0)
		if err != nil {
			return
		}
		m, err := decider.Decode(raw)
		if err != nil {
			s.node.options.Log.Warn("distribution").Err(err).Str("distributor", l.Peer).Msg("malformed frame received; link closed")
			return
		}
		if !s.post(input{event: decider.Received{Link: link, Message: m, Bytes: len(raw)}}) {
			return
		}
	}
}
