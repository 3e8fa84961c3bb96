package fleet

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// heartbeatInterval is how often, in ms, a caller receives a heartbeat while there is no event.
const heartbeatInterval = 1000

// DiscoveryListener serves a discovery service's events at one address. A caller is a client that has connected to it.
type DiscoveryListener struct {
	service *DiscoveryService
	ln      net.Listener
	// Calls counts the connections whose caller has sent the number of the last event that it has, which starts the event stream.
	Calls atomic.Int64

	mu          sync.Mutex
	stalled     bool
	callerFault func(caller int64) CallerFault // by the caller's number; nil: no caller has a fault
	conns       map[net.Conn]struct{}
}

// CallerFault is an injected fault of one caller's connection. The zero value is a healthy connection.
type CallerFault struct {
	Unresponsive bool    // the listener sends nothing
	Disconnect   bool    // the listener closes the connection once the caller has sent the number of its last event
	ByteInterval float64 // the listener sends single bytes with this pause, in ms, between them; 0: whole frames
	Latency      float64 // the listener sends an event this long, in ms, after it was published
	// EventInterval is the pause, in ms, after each event. Events that are published meanwhile wait.
	EventInterval float64
}

// Listen starts a listener that serves the events at an address. With port 0 the kernel chooses a port.
func (s *DiscoveryService) Listen(addr string) (*DiscoveryListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("discovery service: %w", err)
	}
	l := &DiscoveryListener{service: s, ln: ln, conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *DiscoveryListener) accept() {
	for {
		nc, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[nc] = struct{}{}
		l.mu.Unlock()
		go l.serve(nc)
	}
}

// Addr returns the address at which the listener accepts connections.
func (l *DiscoveryListener) Addr() string { return l.ln.Addr().String() }

// SetStalled stalls the listener, which then accepts connections and sends nothing, or ends the stall.
func (l *DiscoveryListener) SetStalled(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = on
}

// SetCallerFault sets the function that returns the fault of a caller, given its number at this listener, counted from 1. The
// listener calls it before every write.
func (l *DiscoveryListener) SetCallerFault(fault func(caller int64) CallerFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callerFault = fault
}

// fault returns the present fault of a caller.
func (l *DiscoveryListener) fault(caller int64) (fault CallerFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callerFault != nil {
		fault = l.callerFault(caller)
	}
	fault.Unresponsive = fault.Unresponsive || l.stalled
	return fault
}

// Close closes the listener and its connections.
func (l *DiscoveryListener) Close() {
	_ = l.ln.Close()
	l.ResetConnections()
}

// ResetConnections closes all connections. The listener still accepts new ones.
func (l *DiscoveryListener) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for nc := range l.conns {
		_ = nc.Close()
	}
}

func (l *DiscoveryListener) remove(nc net.Conn) {
	_ = nc.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, nc)
}

// serve reads the number of the last event that a caller has, and sends it every later event, with heartbeats in between.
func (l *DiscoveryListener) serve(nc net.Conn) {
	defer l.remove(nc)
	var last [8]byte
	if _, err := io.ReadFull(nc, last[:]); err != nil {
		return
	}
	caller := l.Calls.Add(1)
	gone := make(chan struct{})
	go func() { // the caller sends nothing more, so Copy returns when the connection ends
		_, _ = io.Copy(io.Discard, nc)
		close(gone)
	}()
	sent := int(binary.BigEndian.Uint64(last[:]))
	for {
		frames, changed := l.service.eventsAfter(sent)
		fault := l.fault(caller)
		if fault.Disconnect {
			return
		}
		if !fault.Unresponsive {
			if err := l.writeEvents(nc, caller, sent, frames); err != nil {
				return
			}
			sent += len(frames)
		}
		if !l.wait(changed, gone) {
			return
		}
	}
}

// writeEvents writes frames, or a heartbeat if there are none. sent is the number of the last event that was sent before.
func (l *DiscoveryListener) writeEvents(nc net.Conn, caller int64, sent int, frames [][]byte) error {
	if len(frames) == 0 {
		return l.write(nc, caller, frame(uint64(sent), kindHeartbeat, nil))
	}
	l.pause(l.fault(caller).Latency)
	for _, f := range frames {
		if err := l.write(nc, caller, f); err != nil {
			return err
		}
		l.pause(l.fault(caller).EventInterval)
	}
	return nil
}

// wait waits until the next event or heartbeat is due, and returns true; it returns false if the caller has closed the connection.
func (l *DiscoveryListener) wait(changed, gone <-chan struct{}) bool {
	heartbeat := make(chan struct{})
	stop := l.service.clk.After(heartbeatInterval, func() { close(heartbeat) })
	defer stop()
	select {
	case <-heartbeat:
		return true
	case <-changed:
		return true
	case <-gone:
		return false
	}
}

// write writes a frame whole, or byte by byte if the caller's fault has a ByteInterval.
func (l *DiscoveryListener) write(nc net.Conn, caller int64, frame []byte) error {
	for len(frame) > 0 {
		size := len(frame)
		interval := l.fault(caller).ByteInterval
		if interval > 0 {
			size = 1
		}
		if _, err := nc.Write(frame[:size]); err != nil {
			return err
		}
		frame = frame[size:]
		l.pause(interval)
	}
	return nil
}

// pause waits for a time in ms.
func (l *DiscoveryListener) pause(ms float64) {
	if ms <= 0 {
		return
	}
	over := make(chan struct{})
	l.service.clk.After(ms, func() { close(over) })
	<-over
}
