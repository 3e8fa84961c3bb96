package multiprocess

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// LinkFault is a fault of what one zone sends to another. With the zero value, everything is forwarded at once.
type LinkFault struct {
	Blocked           bool    // datagrams are lost and streams stall; connections stay open
	LossFraction      float64 // of datagrams
	DuplicateFraction float64 // of datagrams
	Delay             float64 // ms
	Jitter            float64 // ms; up to this much is added at random to the delay of each datagram, which reorders them
	Bandwidth         float64 // KB/s, 0: unlimited; datagrams that arrive while the queue takes longer than maxQueueTime are lost
	Reset             bool    // open streams are reset, and new ones when they are accepted
}

// maxQueueTime is the time, in ms, that a link with limited bandwidth may need to send its queue and still accept datagrams.
const maxQueueTime = 1000.0

// Sizes of buffers, in bytes.
const (
	maxDatagram      = 64 << 10
	streamBufferSize = 16 << 10
)

// dialTimeout bounds the time to connect to the target of a relay.
const dialTimeout = time.Second

// blockedInterval is the time between two checks of a stalled stream whether the link is still blocked.
const blockedInterval = 20 * time.Millisecond

// relay forwards what one zone sends to one process: datagrams to the process, and streams in both directions.
type relay struct {
	udp *net.UDPConn
	tcp net.Listener

	mu            sync.Mutex
	target        string
	forwardFault  LinkFault
	backwardFault LinkFault // of what the target sends on streams
	queueEmptyAt  time.Time // when all datagrams in the queue of a link with limited bandwidth are sent
	rng           *rand.Rand
	conns         map[net.Conn]struct{}
	closed        bool
}

// startRelay starts a relay at an IP address, with the same port for datagrams and streams, that forwards to target.
func startRelay(ip, target string, seed uint64) (*relay, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	addr := ln.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port})
	if err != nil {
		ln.Close()
		return nil, err
	}
	r := &relay{udp: udp, tcp: ln, target: target, rng: rand.New(rand.NewPCG(seed, 1)), conns: map[net.Conn]struct{}{}}
	go r.forwardDatagrams()
	go r.acceptStreams()
	return r, nil
}

func (r *relay) addr() string { return r.tcp.Addr().String() }

// setForwardFault sets the fault of what is sent to the target.
func (r *relay) setForwardFault(fault LinkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forwardFault = fault
	r.resetStreamsIf(fault.Reset)
}

// setBackwardFault sets the fault of what the target sends on streams.
func (r *relay) setBackwardFault(fault LinkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backwardFault = fault
	r.resetStreamsIf(fault.Reset)
}

// resetStreamsIf resets all connections if reset is set. The caller holds the lock.
func (r *relay) resetStreamsIf(reset bool) {
	if !reset {
		return
	}
	for nc := range r.conns {
		abort(nc)
	}
}

// abort closes a connection with a TCP reset.
func abort(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetLinger(0)
	_ = nc.Close()
}

// setTarget changes where datagrams and new streams are forwarded.
func (r *relay) setTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// enqueue adds a datagram to the queue of a link with limited bandwidth. It returns how many ms the datagram waits, or that the
// queue is full. The caller holds the lock.
func (r *relay) enqueue(fault LinkFault, bytes int) (wait float64, full bool) {
	if fault.Bandwidth <= 0 {
		return 0, false
	}
	if wait = max(0, milliseconds(time.Until(r.queueEmptyAt))); wait > maxQueueTime {
		return 0, true
	}
	wait += float64(bytes) / fault.Bandwidth // 1 KB/s is 1 byte per ms
	r.queueEmptyAt = time.Now().Add(duration(wait))
	return wait, false
}

func (r *relay) forwardDatagrams() {
	buf := make([]byte, maxDatagram)
	for {
		n, err := r.udp.Read(buf)
		if err != nil {
			return
		}
		r.forwardDatagram(append([]byte(nil), buf[:n]...))
	}
}

// forwardDatagram forwards a datagram. The fault of the link may drop, delay or duplicate it.
func (r *relay) forwardDatagram(datagram []byte) {
	r.mu.Lock()
	fault, target := r.forwardFault, r.target
	lost := r.rng.Float64() < fault.LossFraction
	twice := r.rng.Float64() < fault.DuplicateFraction
	wait := fault.Delay + r.rng.Float64()*fault.Jitter
	queueTime, full := r.enqueue(fault, len(datagram))
	r.mu.Unlock()
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil || fault.Blocked || lost || full {
		return
	}
	send := func() {
		_, _ = r.udp.WriteToUDP(datagram, addr)
		if twice {
			_, _ = r.udp.WriteToUDP(datagram, addr)
		}
	}
	wait += queueTime
	if wait <= 0 {
		send()
		return
	}
	time.AfterFunc(duration(wait), send)
}

func (r *relay) acceptStreams() {
	for {
		nc, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go r.serveStream(nc)
	}
}

// serveStream copies between a connection and a new one to the target, until one direction ends.
func (r *relay) serveStream(nc net.Conn) {
	defer nc.Close()
	if !r.register(nc) {
		return
	}
	defer r.unregister(nc)
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	targetConn, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	defer targetConn.Close()
	if !r.register(targetConn) {
		return
	}
	defer r.unregister(targetConn)
	done := make(chan struct{}, 2)
	go func() { r.copy(targetConn, nc, &r.forwardFault); done <- struct{}{} }()
	go func() { r.copy(nc, targetConn, &r.backwardFault); done <- struct{}{} }()
	<-done
}

// register adds a connection to those that the relay resets and closes. If a fault resets streams or the relay is closed, it
// resets the connection instead and returns false.
func (r *relay) register(nc net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.forwardFault.Reset || r.backwardFault.Reset {
		abort(nc)
		return false
	}
	r.conns[nc] = struct{}{}
	return true
}

func (r *relay) unregister(nc net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, nc)
}

// copy forwards one direction of a stream until either end fails, subject to the fault of the link, which may change meanwhile.
func (r *relay) copy(to io.Writer, from io.Reader, fault *LinkFault) {
	buf := make([]byte, streamBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			r.delayStream(fault, n)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delayStream waits until the link is not blocked, and then for its delay and the time that the bytes take at its bandwidth.
func (r *relay) delayStream(fault *LinkFault, bytes int) {
	current := r.currentFault(fault)
	for ; current.Blocked; current = r.currentFault(fault) {
		time.Sleep(blockedInterval)
	}
	wait := current.Delay
	if current.Bandwidth > 0 {
		wait += float64(bytes) / current.Bandwidth
	}
	if wait > 0 {
		time.Sleep(duration(wait))
	}
}

// currentFault returns the present fault of a link. Once the relay is closed, the link is never blocked, so that streams end.
func (r *relay) currentFault(fault *LinkFault) LinkFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := *fault
	current.Blocked = current.Blocked && !r.closed
	return current
}

// close stops the relay and closes all its streams.
func (r *relay) close() {
	_ = r.udp.Close()
	_ = r.tcp.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for nc := range r.conns {
		_ = nc.Close()
	}
}

// duration converts a time in ms.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// milliseconds converts a duration to ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
