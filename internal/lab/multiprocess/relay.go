package multiprocess

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link is what befalls what goes one way between two places. The zero value lets all of it pass at once.
type Link struct {
	Cut    bool    // nothing passes and nobody is told: what is sent is lost, streams stand still
	Loss   float64 // share of datagrams
	Twice  float64 // share of datagrams that come twice
	Delay  float64 // ms
	Jitter float64 // ms more, drawn for each datagram: they overtake each other
	Rate   float64 // KB a second that pass; what would wait for longer than mostQueued is lost. 0: all
	Reset  bool    // streams are broken off, and new ones too
}

// mostQueued ms of datagrams wait where a link has a rate.
const mostQueued = 1000.0

// relay passes on what one place sends to one process: datagrams one way, streams there and back, each way with what befalls it.
type relay struct {
	udp *net.UDPConn
	tcp net.Listener

	mu   sync.Mutex
	to   string
	link Link
	back Link    // for what streams bring back
	free float64 // when the link with a rate has passed on what waits, ms of the process
	rng  *rand.Rand
	open map[net.Conn]struct{}
	over bool
}

const mostDatagram = 64 << 10

// relayTo opens a relay at an address, with the same port for datagrams and streams.
func relayTo(ip, to string, seed uint64) (*relay, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	at := ln.Addr().(*net.TCPAddr)
	pc, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		ln.Close()
		return nil, err
	}
	r := &relay{udp: pc, tcp: ln, to: to, rng: rand.New(rand.NewPCG(seed, 1)), open: map[net.Conn]struct{}{}}
	go r.datagrams()
	go r.streams()
	return r, nil
}

func (r *relay) addr() string { return r.tcp.Addr().String() }

// set changes what befalls one way.
func (r *relay) set(back bool, l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if back {
		r.back = l
	} else {
		r.link = l
	}
	for nc := range r.open {
		if l.Reset {
			abort(nc)
		}
	}
}

func abort(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetLinger(0)
	_ = nc.Close()
}

// lead has the relay pass on to another address from now on.
func (r *relay) lead(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to = to
}

// now is the time in which relays keep their rates.
func now() float64 { return float64(time.Since(began)) / float64(time.Millisecond) }

var began = time.Now()

// queue is for how many ms so many bytes wait where a link has a rate, and whether they are lost to the queue.
func (r *relay) queue(l Link, bytes int) (wait float64, lost bool) {
	if l.Rate <= 0 {
		return 0, false
	}
	if wait = max(0, r.free-now()); wait > mostQueued {
		return 0, true
	}
	wait += float64(bytes) / l.Rate
	r.free = now() + wait
	return wait, false
}

func (r *relay) datagrams() {
	buf := make([]byte, mostDatagram)
	for {
		n, err := r.udp.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		l := r.link
		lost, twice, wait := r.rng.Float64() < l.Loss, r.rng.Float64() < l.Twice, l.Delay+r.rng.Float64()*l.Jitter
		queued, full := r.queue(l, n)
		dest := r.to
		r.mu.Unlock()
		to, err := net.ResolveUDPAddr("udp", dest)
		if err != nil || l.Cut || lost || full {
			continue
		}
		wait += queued
		b := append([]byte(nil), buf[:n]...)
		pass := func() {
			_, _ = r.udp.WriteToUDP(b, to)
			if twice {
				_, _ = r.udp.WriteToUDP(b, to)
			}
		}
		if wait <= 0 {
			pass()
			continue
		}
		time.AfterFunc(time.Duration(wait*float64(time.Millisecond)), pass)
	}
}

func (r *relay) streams() {
	for {
		nc, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			if !r.hold(nc) {
				return
			}
			defer r.drop(nc)
			r.mu.Lock()
			to := r.to
			r.mu.Unlock()
			out, err := net.DialTimeout("tcp", to, time.Second)
			if err != nil {
				return
			}
			defer out.Close()
			if !r.hold(out) {
				return
			}
			defer r.drop(out)
			done := make(chan struct{}, 2)
			go func() { r.copy(out, nc, &r.link); done <- struct{}{} }()
			go func() { r.copy(nc, out, &r.back); done <- struct{}{} }()
			<-done
		}()
	}
}

func (r *relay) hold(nc net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || r.link.Reset || r.back.Reset {
		abort(nc)
		return false
	}
	r.open[nc] = struct{}{}
	return true
}

func (r *relay) drop(nc net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, nc)
}

// cutEvery: how often a stream that stands still looks whether it may go on.
const cutEvery = 20 * time.Millisecond

func (r *relay) copy(to io.Writer, from io.Reader, way *Link) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for cut := true; cut && n > 0; {
			r.mu.Lock()
			l := *way
			cut = l.Cut && !r.over
			r.mu.Unlock()
			wait := l.Delay
			if l.Rate > 0 {
				wait += float64(n) / l.Rate
			}
			if cut {
				time.Sleep(cutEvery)
			} else if wait > 0 {
				time.Sleep(time.Duration(wait * float64(time.Millisecond)))
			}
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) close() {
	_ = r.udp.Close()
	_ = r.tcp.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	for nc := range r.open {
		_ = nc.Close()
	}
}
