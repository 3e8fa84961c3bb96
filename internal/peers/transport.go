package peers

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"ravenwheel/internal/store"
)

// transport carries memberlist's datagrams in envelopes and its streams over mutual TLS, so that no message is taken from
// anybody who has no certificate of the cluster. It implements memberlist.NodeAwareTransport.
type transport struct {
	sealer           *sealer
	identity         *store.Identity
	tlsConfig        *tls.Config
	udp              *net.UDPConn
	tcp              net.Listener
	advertised       advertisedAddress
	addressOverrides map[string]string // addresses of others as they are seen from here, by name
	packets          chan *memberlist.Packet
	streams          chan net.Conn
	// digest takes the datagrams that are not memberlist's.
	onDigest       func(from string, start uint64, body []byte)
	onNameConflict func(other string)

	// Sent and Received count bytes of datagrams and, roughly, of streams; Digests and Streams are what of Sent they were.
	sentBytes, receivedBytes, digestBytes, streamBytes atomic.Int64

	stop context.CancelFunc
	done sync.WaitGroup
}

// netAddr is what others are told.
type advertisedAddress struct {
	ip   net.IP
	port int
}

// The first byte of a body tells whose it is.
const (
	kindMembership byte = iota
	kindDigest
	kindNameConflict       // the address of another under the receiver's name
	kindCertificateRequest // the receiver's certificate is wanted
)

// Bounds of streams.
const (
	handshakeTimeout    = 5 * time.Second
	maxHandshakes       = 64
	maxQueuedPackets    = 1024
	datagramHeaderBytes = 28 // of IP and UDP, counted with what is sent
)

var errUnexpectedPeer = errors.New("peers: another answers there")

func listen(addr, advertise string, p *sealer, seen map[string]string) (*transport, error) {
	t := &transport{
		sealer: p, identity: p.identity, tlsConfig: p.identity.TLS(), addressOverrides: seen, packets: make(chan *memberlist.Packet, maxQueuedPackets),
		streams: make(chan net.Conn),
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	at := ln.Addr().(*net.TCPAddr)
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err != nil {
		ln.Close()
		return nil, fmt.Errorf("peers: %w", err)
	}
	t.tcp, t.advertised = ln, advertisedAddress{at.IP, at.Port}
	if advertise != "" {
		out, err := net.ResolveTCPAddr("tcp", advertise)
		if err != nil {
			_ = t.udp.Close()
			ln.Close()
			return nil, fmt.Errorf("peers: advertise: %w", err)
		}
		t.advertised = advertisedAddress{out.IP, out.Port}
	}
	return t, nil
}

// run begins to take what comes.
func (t *transport) run() {
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	t.done.Add(2)
	go t.readPackets(ctx)
	go t.accept(ctx)
}

func (t *transport) readPackets(ctx context.Context) {
	defer t.done.Done()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		t.receivedBytes.Add(int64(n + datagramHeaderBytes))
		name, start, body, err := t.sealer.open(from.String(), buf[:n])
		if errors.Is(err, errUnknownSender) && t.sealer.mayRequestCertificate(name) {
			// Guards against one that started anew and knows nobody's key: it dropped what those said who had brought their
			// certificates to its forerunner, and gave them up as dead.
			_ = t.send(memberlist.Address{Addr: from.String(), Name: name}, kindCertificateRequest, nil)
		}
		if err != nil || len(body) == 0 {
			continue
		}
		switch body[0] {
		case kindCertificateRequest:
			t.sealer.resendCertificate(name)
			continue
		case kindDigest:
			t.onDigest(name, start, body[1:])
			continue
		case kindNameConflict:
			t.onNameConflict(string(body[1:]))
			continue
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: append([]byte(nil), body[1:]...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}:
		case <-ctx.Done():
			return
		}
	}
}

func (t *transport) accept(ctx context.Context) {
	defer t.done.Done()
	room := make(chan struct{}, maxHandshakes)
	for {
		nc, err := t.tcp.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			nc.Close()
			continue
		}
		go func() {
			defer func() { <-room }()
			c, err := t.handshake(ctx, tls.Server(nc, t.tlsConfig), "")
			if err != nil {
				nc.Close()
				return
			}
			select {
			case t.streams <- c:
			case <-ctx.Done():
				c.Close()
			}
		}()
	}
}

// shake completes a handshake, learns who is there, and holds it to the name that was meant.
func (t *transport) handshake(ctx context.Context, c *tls.Conn, want string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	name, err := t.sealer.learnCertificate(c.ConnectionState().PeerCertificates[0].Raw)
	if err != nil {
		return nil, err
	}
	if want != "" && name != want {
		return nil, fmt.Errorf("%w: %s, not %s", errUnexpectedPeer, name, want)
	}
	return countingConn{c, t}, nil
}

// counted is a stream whose bytes are counted.
type countingConn struct {
	net.Conn
	transport *transport
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.receivedBytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.sentBytes.Add(int64(n))
	c.transport.streamBytes.Add(int64(n))
	return n, err
}

// at is where a member is, as seen from here.
func (t *transport) addressOf(a memberlist.Address) string {
	if addr, ok := t.addressOverrides[a.Name]; ok && a.Name != "" {
		return addr
	}
	return a.Addr
}

func (t *transport) send(a memberlist.Address, kind byte, b []byte) error {
	raw, err := t.sealer.seal(a.Name, append([]byte{kind}, b...))
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp", t.addressOf(a))
	if err != nil {
		return err
	}
	n, err := t.udp.WriteToUDP(raw, to)
	t.sentBytes.Add(int64(n + datagramHeaderBytes))
	if kind == kindDigest {
		t.digestBytes.Add(int64(n + datagramHeaderBytes))
	}
	return err
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertised.ip, t.advertised.port, nil
}

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return time.Now(), t.send(a, kindMembership, b)
}

// PacketCh implements memberlist.Transport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	nc, err := net.DialTimeout("tcp", t.addressOf(a), timeout)
	if err != nil {
		return nil, err
	}
	c, err := t.handshake(context.Background(), tls.Client(nc, t.tlsConfig), a.Name)
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	t.stop()
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	t.done.Wait()
	return err
}
