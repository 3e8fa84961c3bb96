package peers

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"ravenwheel/internal/memory"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	handshakeTimeout = 5 * time.Second
	maxHandshakes    = 64 // of incoming streams at once
	// maxQueuedPackets is how many datagrams may wait until memberlist reads them.
	maxQueuedPackets = 1024
	// datagramHeaderBytes is the size of the IP and UDP headers, which are counted with the bytes sent and received.
	datagramHeaderBytes = 28
	// acceptRetryDelay is the delay after a failed accept. Without it, a process that has no free descriptors would retry in a busy
	// loop.
	acceptRetryDelay = 10 * time.Millisecond
)

// errUnexpectedPeer means that a process other than the intended one has answered.
var errUnexpectedPeer = errors.New("peers: unexpected peer")

// advertisedAddress is the address that is announced to other processes.
type advertisedAddress struct {
	ip   net.IP
	port int
}

// transport carries memberlist's datagrams in sealed envelopes, and its streams over mutual TLS. No message is accepted from a
// process that has no certificate of the cluster. transport implements memberlist.NodeAwareTransport.
type transport struct {
	sealer           *sealer
	tlsConfig        *tls.Config
	udp              *net.UDPConn
	tcp              net.Listener
	advertised       advertisedAddress
	addressOverrides map[string]string // see Options
	packets          chan *memberlist.Packet
	streams          chan net.Conn

	// Handlers of datagrams that are not memberlist's. They are set before run is called.
	onDigest       func(from string, incarnation uint64, body []byte)
	onNameConflict func(otherAddress string)

	// Bytes of datagrams with their headers, and of streams without the overhead of TLS. digestBytes and streamBytes are parts of
	// sentBytes.
	sentBytes, receivedBytes, digestBytes, streamBytes atomic.Int64

	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// streamBytes is the cost of a stream in bytes: its TLS state, its buffers and its goroutine.
const streamBytes = 64 << 10

// listen opens the sockets at the address of the options.
func listen(o Options, s *sealer) (*transport, error) {
	address, advertise := o.Listen, o.Advertise
	t := &transport{
		sealer: s, tlsConfig: s.identity.TLS(), addressOverrides: o.AddressOverrides,
		packets: make(chan *memberlist.Packet, maxQueuedPackets), streams: make(chan net.Conn),
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	listenAddr := ln.Addr().(*net.TCPAddr)
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: listenAddr.IP, Port: listenAddr.Port}); err != nil {
		ln.Close()
		return nil, fmt.Errorf("peers: %w", err)
	}
	t.tcp, t.advertised = memory.Listener(ln, o.Memory, streamBytes), advertisedAddress{listenAddr.IP, listenAddr.Port}
	if advertise != "" {
		resolved, err := net.ResolveTCPAddr("tcp", advertise)
		if err != nil {
			_ = t.udp.Close()
			ln.Close()
			return nil, fmt.Errorf("peers: resolving the address to advertise: %w", err)
		}
		t.advertised = advertisedAddress{resolved.IP, resolved.Port}
	}
	return t, nil
}

// run starts to receive datagrams and streams.
func (t *transport) run() {
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	t.goroutines.Add(2)
	go t.readPackets(ctx)
	go t.acceptStreams(ctx)
}

func (t *transport) readPackets(ctx context.Context) {
	defer t.goroutines.Done()
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
		datagram, err := t.sealer.open(from.String(), buf[:n])
		if errors.Is(err, errUnknownSender) && t.sealer.mayRequestCertificate(datagram.from) {
			// The sender may have sent its certificate to an earlier incarnation of this process only. Unless it sends the
			// certificate again, this process drops its answers to probes and counts it as failed.
			_ = t.send(memberlist.Address{Addr: from.String(), Name: datagram.from}, kindCertificateRequest, nil)
		}
		if err != nil || len(datagram.body) == 0 {
			continue
		}
		kind, body := datagram.body[0], datagram.body[1:]
		switch kind {
		case kindCertificateRequest:
			t.sealer.resendCertificate(datagram.from)
		case kindDigest:
			t.onDigest(datagram.from, datagram.incarnation, body)
		case kindNameConflict:
			t.onNameConflict(string(body))
		default:
			packet := &memberlist.Packet{Buf: append([]byte(nil), body...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}
			select {
			case t.packets <- packet:
			case <-ctx.Done():
				return
			}
		}
	}
}

// acceptStreams accepts streams, and closes those that exceed maxHandshakes.
func (t *transport) acceptStreams(ctx context.Context) {
	defer t.goroutines.Done()
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := t.tcp.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case handshakes <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		go func() {
			defer func() { <-handshakes }()
			t.acceptStream(ctx, conn)
		}()
	}
}

// acceptStream completes the handshake of an incoming stream, and passes the stream to memberlist.
func (t *transport) acceptStream(ctx context.Context, conn net.Conn) {
	stream, err := t.handshake(ctx, tls.Server(conn, t.tlsConfig), "")
	if err != nil {
		conn.Close()
		return
	}
	select {
	case t.streams <- stream:
	case <-ctx.Done():
		stream.Close()
	}
}

// handshake completes a TLS handshake and stores the certificate of the other end. The certificate must have the name wantName,
// unless that is empty.
func (t *transport) handshake(ctx context.Context, conn *tls.Conn, wantName string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	name, err := t.sealer.learnCertificate(conn.ConnectionState().PeerCertificates[0].Raw)
	if err != nil {
		return nil, err
	}
	if wantName != "" && name != wantName {
		return nil, fmt.Errorf("%w: got %s, want %s", errUnexpectedPeer, name, wantName)
	}
	return countingConn{conn, t}, nil
}

// countingConn is a stream whose bytes the transport counts.
type countingConn struct {
	net.Conn
	transport *transport
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.sentBytes.Add(int64(n))
	c.transport.streamBytes.Add(int64(n))
	return n, err
}

// addressOf returns the address at which this process reaches a member.
func (t *transport) addressOf(a memberlist.Address) string {
	if address, ok := t.addressOverrides[a.Name]; ok && a.Name != "" {
		return address
	}
	return a.Addr
}

// send sends a datagram of the given kind.
func (t *transport) send(to memberlist.Address, kind byte, body []byte) error {
	raw, err := t.sealer.seal(to.Name, append([]byte{kind}, body...))
	if err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp", t.addressOf(to))
	if err != nil {
		return err
	}
	n, err := t.udp.WriteToUDP(raw, address)
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
	conn, err := net.DialTimeout("tcp", t.addressOf(a), timeout)
	if err != nil {
		return nil, err
	}
	stream, err := t.handshake(context.Background(), tls.Client(conn, t.tlsConfig), a.Name)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return stream, nil
}

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	t.stop()
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	t.goroutines.Wait()
	return err
}
