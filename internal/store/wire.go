package store

import (
	"bufio"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"
)

// A member has one address. The first byte on a connection says what it carries: raft's own stream, or calls, each a
// length of 4 bytes and CBOR, answered in order, or on an address of its own a link, of the same frames.
const (
	forRaft  = 'R'
	forCalls = 'C'
	forLinks = 'D'
	mostCall = 32 << 20
)

// The calls.
const (
	callApply    = "apply"    // a change, at the leader
	callIndex    = "index"    // what a linearizable read must have seen
	callStatus   = "status"   // of this member
	callJoin     = "join"     // at the leader
	callRemove   = "remove"   // at the leader
	callTransfer = "transfer" // at the leader
)

type request struct {
	Call   string `cbor:"1,keyasint"`
	Change []byte `cbor:"2,keyasint,omitempty"`
	Name   string `cbor:"3,keyasint,omitempty"`
	Addr   string `cbor:"4,keyasint,omitempty"`
}

type reply struct {
	Result []byte  `cbor:"1,keyasint,omitempty"` // of a change
	Index  uint64  `cbor:"2,keyasint,omitempty"`
	Err    string  `cbor:"3,keyasint,omitempty"`
	Maybe  bool    `cbor:"4,keyasint,omitempty"` // with Err: it may have happened
	Leader string  `cbor:"5,keyasint,omitempty"` // with Err: ask there
	Status *Status `cbor:"6,keyasint,omitempty"`
}

var calls, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()

func writeFrame(w io.Writer, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return writeBytes(w, b)
}

func writeBytes(w io.Writer, b []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b))), b...))
	return err
}

func readFrame(r io.Reader, v any) error {
	b, err := readBytes(r, mostCall)
	if err != nil {
		return err
	}
	return calls.Unmarshal(b, v)
}

func readBytes(r io.Reader, most int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if int64(n) > int64(most) {
		return nil, fmt.Errorf("store: a frame of %d bytes", n)
	}
	// Grown as the bytes come: a claim alone costs nothing.
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil || len(b) < int(n) {
		return nil, errors.Join(err, io.ErrUnexpectedEOF)
	}
	return b, nil
}

// wire is a member's address: raft's stream layer, and the calls of others.
type wire struct {
	ln     net.Listener
	id     *Identity
	dial   func(addr string, wait time.Duration) (net.Conn, error)
	serve  func(peer string, q request) reply
	wait   time.Duration
	stream chan net.Conn
	links  func(*Link) // in place of serve and stream; nil: an address of the store
	most   int         // connections at once
	done   chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	over     bool
	greeting sync.WaitGroup // of those that run greet
}

const (
	// helloWait bounds what a peer that says nothing holds; mostConns those that do at once.
	helloWait = 5 * time.Second
	mostConns = 256
	// callIdle: a connection for calls on which nothing comes for so long is closed.
	callIdle = time.Minute
)

func (w *wire) run() {
	for {
		nc, err := w.ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.over || len(w.conns) >= w.most {
			w.mu.Unlock()
			nc.Close()
			continue
		}
		w.conns[nc] = struct{}{}
		w.greeting.Add(1)
		w.mu.Unlock()
		go func() {
			defer w.greeting.Done()
			w.greet(nc)
		}()
	}
}

func (w *wire) drop(nc net.Conn) {
	nc.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, nc)
}

// greet finds out who has connected and what for. Whoever has no certificate of the cluster gets no further.
func (w *wire) greet(raw net.Conn) {
	_ = raw.SetDeadline(time.Now().Add(helloWait))
	nc := tls.Server(raw, w.id.TLS())
	var kind [1]byte
	if err := nc.Handshake(); err != nil {
		w.drop(raw)
		return
	}
	peer, err := w.id.peer(nc.ConnectionState())
	if err == nil {
		_, err = io.ReadFull(nc, kind[:])
	}
	if err != nil {
		w.drop(raw)
		return
	}
	_ = raw.SetDeadline(time.Time{})
	if w.links != nil {
		if kind[0] == forLinks {
			w.links(&Link{Peer: peer, nc: nc, in: bufio.NewReader(nc), end: func() { raw.Close() }})
		}
		w.drop(raw)
		return
	}
	if kind[0] == forRaft {
		select {
		case w.stream <- tracked{nc, w, raw}:
		case <-w.done:
			w.drop(raw)
		}
		return
	}
	defer w.drop(raw)
	in := bufio.NewReader(nc)
	for kind[0] == forCalls {
		_ = raw.SetDeadline(time.Now().Add(callIdle))
		var q request
		if err := readFrame(in, &q); err != nil {
			return
		}
		if err := writeFrame(nc, w.serve(peer, q)); err != nil {
			return
		}
	}
}

// tracked is a stream that is forgotten when raft closes it.
type tracked struct {
	net.Conn
	w   *wire
	raw net.Conn
}

func (t tracked) Close() error {
	t.w.drop(t.raw)
	return nil
}

func (w *wire) connect(addr string, kind byte, wait time.Duration) (*tls.Conn, error) {
	raw, err := w.dial(addr, wait)
	if err != nil {
		return nil, err
	}
	_ = raw.SetDeadline(time.Now().Add(wait))
	nc := tls.Client(raw, w.id.TLS())
	if err := nc.Handshake(); err != nil {
		raw.Close()
		return nil, err
	}
	if _, err := nc.Write([]byte{kind}); err != nil {
		raw.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	return nc, nil
}

// call asks a member. sent tells whether the call may have reached it.
func (w *wire) call(addr string, q request, wait time.Duration) (r reply, sent bool, err error) {
	nc, err := w.connect(addr, forCalls, wait)
	if err != nil {
		return r, false, err
	}
	defer nc.Close()
	// Guards against a member that was cut off: a call that hangs would hold its caller for good.
	_ = nc.SetDeadline(time.Now().Add(wait))
	if err := writeFrame(nc, q); err != nil {
		return r, true, err
	}
	err = readFrame(nc, &r)
	return r, true, err
}

// Accept implements raft.StreamLayer.
func (w *wire) Accept() (net.Conn, error) {
	select {
	case nc := <-w.stream:
		return nc, nil
	case <-w.done:
		return nil, net.ErrClosed
	}
}

// Dial implements raft.StreamLayer.
func (w *wire) Dial(addr raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	nc, err := w.connect(string(addr), forRaft, wait)
	if err != nil {
		return nil, err // and no interface round a nil
	}
	return nc, nil
}

// Addr implements raft.StreamLayer.
func (w *wire) Addr() net.Addr { return w.ln.Addr() }

// Close implements raft.StreamLayer.
func (w *wire) Close() error {
	w.mu.Lock()
	if w.over {
		w.mu.Unlock()
		return nil
	}
	w.over = true
	conns := w.conns
	w.conns = map[net.Conn]struct{}{}
	w.mu.Unlock()
	close(w.done)
	for nc := range conns {
		nc.Close()
	}
	return w.ln.Close()
}
