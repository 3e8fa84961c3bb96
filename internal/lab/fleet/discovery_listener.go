package fleet

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// heartbeatInterval is how often, in ms, a caller that waits gets an empty frame.
const heartbeatInterval = 1000

// DiscoveryListener serves a discovery service's events at one address.
type DiscoveryListener struct {
	service *DiscoveryService
	ln      net.Listener
	// Calls counts the connections that sent the number of their last event.
	Calls atomic.Int64

	mu          sync.Mutex
	stalled     bool
	callerFault func(caller int64) CallerFault // nil: no caller has a fault
	conns       map[net.Conn]struct{}
}

// CallerFault is an injected fault of one caller's connection. The zero value is a healthy connection.
type CallerFault struct {
	Unresponsive bool    // nothing is sent
	Disconnect   bool    // the connection is closed once the caller has sent its number
	ByteInterval float64 // ms between two bytes; 0 sends frames at once
}

// Listen serves the events at an address. Port 0 lets the kernel choose one.
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

// Addr returns the address at which it listens.
func (l *DiscoveryListener) Addr() string { return l.ln.Addr().String() }

// SetStalled makes the listener accept connections and send nothing, or ends that.
func (l *DiscoveryListener) SetStalled(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = on
}

// SetCallerFault sets the fault of each caller, by its number at this listener from 1 on. It is called before every write.
func (l *DiscoveryListener) SetCallerFault(fault func(caller int64) CallerFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callerFault = fault
}

// fault returns the fault of a caller as it is now.
func (l *DiscoveryListener) fault(caller int64) (fault CallerFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callerFault != nil {
		fault = l.callerFault(caller)
	}
	fault.Unresponsive = fault.Unresponsive || l.stalled
	return fault
}

// Close ends the listener and its connections.
func (l *DiscoveryListener) Close() {
	_ = l.ln.Close()
	l.ResetConnections()
}

// ResetConnections closes all connections; the listener goes on.
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

// serve sends a caller every event after the last one that it has, and heartbeats between.
func (l *DiscoveryListener) serve(nc net.Conn) {
	defer l.remove(nc)
	var last [8]byte
	if _, err := io.ReadFull(nc, last[:]); err != nil {
		return
	}
	caller := l.Calls.Add(1)
	gone := make(chan struct{})
	go func() { // a caller sends nothing more: a read that returns is its end
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

// writeEvents writes frames, or a heartbeat if there are none. sent is the number of the last event before them.
func (l *DiscoveryListener) writeEvents(nc net.Conn, caller int64, sent int, frames [][]byte) error {
	if len(frames) == 0 {
		return l.write(nc, caller, frame(uint64(sent), kindHeartbeat, nil))
	}
	for _, f := range frames {
		if err := l.write(nc, caller, f); err != nil {
			return err
		}
	}
	return nil
}

// wait returns at the next event or heartbeat. It is false once the caller has gone.
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

// write writes a frame at once, or byte by byte where the caller's fault has it so.
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
		if interval > 0 {
			l.pause(interval)
		}
	}
	return nil
}

// pause waits for so many ms.
func (l *DiscoveryListener) pause(ms float64) {
	over := make(chan struct{})
	l.service.clk.After(ms, func() { close(over) })
	<-over
}
