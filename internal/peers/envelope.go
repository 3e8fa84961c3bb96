package peers

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/dedup"
	"ravenwheel/internal/store"
)

// envelope binds a datagram to who sent it and whom it is for. On the wire: the length of its seal in one byte, the seal, the
// envelope as CBOR. To one whose certificate is known the seal is a MAC of macSize bytes (HMAC-SHA-256 of the rest, cut off)
// under a key that only the two can make; to others it is a signature (ECDSA over SHA-256 of the rest). A signature costs
// thirty times as much, and 55 bytes more: 300 that join were held up by nothing but those.
type envelope struct {
	_           struct{} `cbor:",toarray"`
	From        string
	To          string
	Incarnation uint64 // of the sender: Unix ms, rising with each start
	Sequence    uint64
	SentAt      int64 // Unix ms
	Certificate []byte
	Body        []byte
}

// Bounds of datagrams. Times are in ms.
const (
	// mostDatagram is the largest that is read: memberlist keeps to 1,400 bytes, a certificate and the envelope come on top.
	maxDatagram = 4096
	// mostSkew: clocks may be apart, and a datagram late; what is older can't be told from a replay to one that restarted.
	maxClockSkew = 60_000
	// perSender, burst: datagrams a second that one address may send, before any signature is checked.
	ratePerSender, rateBurst = 1000, 2000
	// mostSenders whose windows and rates are held.
	maxSenders = 8192
	// introduce: a sender brings its certificate with so many datagrams to each receiver, and with one in introduceEvery
	// later. In what a member tells of itself it made its word, which gossip repeats, six times as long: a hundred that
	// started together took twenty seconds to hear of each other.
	firstCertificates, certificateInterval = 3, 64
)

// macSize is no length of a signature: one of P-256 in ASN.1 has 8 bytes at least, 70 to 72 nearly always, and one that came
// to 16 would have to hold two numbers of 40 bits, which nobody will see.
const macSize = 16

// Dropped counts datagrams that were not taken, by reason.
type DropCounters struct {
	Malformed, UnknownSender, Forged, Replayed, Expired, Misdirected, RateLimited atomic.Int64
}

var (
	errDropped       = errors.New("dropped")
	errUnknownSender = errors.New("dropped: the sender's key is not known")
)

// post seals what goes out and opens what comes in.
type sealer struct {
	identity    *store.Identity
	clock       *clock.Clock
	incarnation uint64
	sequence    atomic.Uint64
	dropped     DropCounters

	mu               sync.Mutex
	peerKeys         map[string]*peerKeys
	certificatesSent map[string]int     // datagrams with the certificate, by receiver
	requestedAt      map[string]float64 // when senders that were not known were asked last
	windows          map[string]*replayWindows
	limiters         map[string]*rate.Limiter
}

func newSealer(id *store.Identity, clk *clock.Clock, start uint64) *sealer {
	return &sealer{
		identity: id, clock: clk, incarnation: start, peerKeys: map[string]*peerKeys{}, certificatesSent: map[string]int{}, requestedAt: map[string]float64{}, windows: map[string]*replayWindows{},
		limiters: map[string]*rate.Limiter{},
	}
}

// seal makes a datagram for one receiver; to is empty where its name is not known yet.
func (p *sealer) seal(to string, body []byte) ([]byte, error) {
	e := envelope{From: p.identity.Name, To: to, Incarnation: p.incarnation, Sequence: p.sequence.Add(1), SentAt: int64(p.clock.Now()), Body: body}
	if p.needsCertificate(to) || e.Sequence%certificateInterval == 0 {
		e.Certificate = p.identity.Certificate()
	}
	raw, err := cbor.Marshal(e)
	if err != nil {
		return nil, err
	}
	var seal []byte
	if h := p.keysOf(to); h != nil {
		seal = mac(h.sendKey, raw)
	} else {
		sum := sha256.Sum256(raw)
		if seal, err = p.identity.Sign(sum[:]); err != nil {
			return nil, err
		}
	}
	out := make([]byte, 0, 1+len(seal)+len(raw))
	return append(append(append(out, byte(len(seal))), seal...), raw...), nil
}

func mac(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)[:macSize]
}

// unmet tells whether a receiver may not know the certificate yet, and counts that it comes now.
func (p *sealer) needsCertificate(to string) bool {
	if to == "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.certificatesSent[to] >= firstCertificates || len(p.certificatesSent) >= maxSenders {
		return false
	}
	p.certificatesSent[to]++
	return true
}

// introduceAgain has the next datagrams to a receiver bring the certificate again: it has started anew.
func (p *sealer) resendCertificate(to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.certificatesSent, to)
}

// mayAsk tells whether a sender that is not known may be asked who it is: each once a second, as the name is not proven.
func (p *sealer) mayRequestCertificate(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if last, known := p.requestedAt[name]; known && now-last < certificateRequestInterval {
		return false
	}
	if len(p.requestedAt) >= maxSenders {
		clear(p.requestedAt)
	}
	p.requestedAt[name] = now
	return true
}

// askEvery ms at most.
const certificateRequestInterval = 1000

// open checks a datagram from an address, and returns who sent it, in which of its starts, and what it says.
func (p *sealer) open(addr string, b []byte) (from string, start uint64, body []byte, err error) {
	if !p.allow(addr) {
		p.dropped.RateLimited.Add(1)
		return "", 0, nil, errDropped
	}
	var e envelope
	n := 0
	if len(b) > 0 {
		n = 1 + int(b[0])
	}
	if n < 2 || len(b) <= n || cbor.Unmarshal(b[n:], &e) != nil || e.From == "" || e.From == p.identity.Name {
		p.dropped.Malformed.Add(1)
		return "", 0, nil, errDropped
	}
	if e.To != "" && e.To != p.identity.Name {
		p.dropped.Misdirected.Add(1)
		return "", 0, nil, errDropped
	}
	if age := int64(p.clock.Now()) - e.SentAt; age > maxClockSkew || age < -maxClockSkew {
		p.dropped.Expired.Add(1)
		return "", 0, nil, errDropped
	}
	h := p.keysOf(e.From)
	if len(e.Certificate) > 0 && (h == nil || !bytes.Equal(h.certificate, e.Certificate)) {
		if met, err := p.verifyCertificate(e.Certificate); err == nil && met.Name == e.From {
			h = met
		}
	}
	if h == nil {
		p.dropped.UnknownSender.Add(1)
		return e.From, 0, nil, errUnknownSender
	}
	sum := sha256.Sum256(b[n:])
	if seal := b[1:n]; len(seal) == macSize && !hmac.Equal(seal, mac(h.receiveKey, b[n:])) || len(seal) != macSize && !ecdsa.VerifyASN1(h.Key, sum[:], seal) {
		p.dropped.Forged.Add(1)
		return "", 0, nil, errDropped
	}
	if !p.acceptNew(e, h) {
		p.dropped.Replayed.Add(1)
		return "", 0, nil, errDropped
	}
	return e.From, e.Incarnation, e.Body, nil
}

// holder is another whose certificate was checked, with the secrets shared with it.
type peerKeys struct {
	store.Peer
	certificate         []byte
	sendKey, receiveKey []byte
}

func (p *sealer) keysOf(name string) *peerKeys {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peerKeys[name]
}

// check finds whose certificate it is. One that is known keeps its own unless the other was issued later: a key that leaked is
// then of no more use, and who has a new one needs nobody else to start anew.
func (p *sealer) verifyCertificate(cert []byte) (*peerKeys, error) {
	h, err := p.identity.VerifyPeer(cert)
	if err != nil {
		return nil, err
	}
	if known := p.keysOf(h.Name); known != nil && !h.Issued.After(known.Issued) {
		return known, nil
	}
	out, in, err := p.identity.SharedSecrets(h, "peers")
	if err != nil {
		return nil, err
	}
	return &peerKeys{Peer: h, certificate: bytes.Clone(cert), sendKey: out, receiveKey: in}, nil
}

// learn takes the certificate of a stream's other end, which has shown that it holds the key; it returns whose it is.
func (p *sealer) learnCertificate(cert []byte) (name string, err error) {
	h, err := p.verifyCertificate(cert)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remember(h)
	return h.Name, nil
}

func (p *sealer) remember(h *peerKeys) {
	if p.peerKeys[h.Name] != nil || len(p.peerKeys) < maxSenders {
		p.peerKeys[h.Name] = h
	}
}

// fresh books a datagram whose seal holds.
func (p *sealer) acceptNew(e envelope, h *peerKeys) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remember(h)
	w := p.windows[e.From]
	if w == nil {
		if len(p.windows) >= maxSenders {
			return false
		}
		w = &replayWindows{byIncarnation: map[uint64]*dedup.Window{}}
		p.windows[e.From] = w
	}
	if !w.accept(e.Incarnation, e.Sequence) {
		return false
	}
	w.lastAcceptedAt = p.clock.Now()
	return true
}

// hears counts the others of which a datagram was taken in the last ms.
func (p *sealer) heardWithin(within float64) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.windows {
		if p.clock.Now()-w.lastAcceptedAt <= within {
			n++
		}
	}
	return n
}

// starts are the windows of a sender's newest starts. Guards against two processes under one name: with one window, the
// later start of the second would shut out the first, which the others know.
type replayWindows struct {
	lastAcceptedAt float64 // when the last datagram was taken
	byIncarnation  map[uint64]*dedup.Window
	floor          uint64 // starts up to this are forgotten, and taken no more
}

const maxIncarnations = 4

func (s *replayWindows) accept(start, seq uint64) bool {
	w := s.byIncarnation[start]
	if w == nil {
		if start <= s.floor {
			return false
		}
		if len(s.byIncarnation) >= maxIncarnations {
			oldest := slices.Min(slices.Collect(maps.Keys(s.byIncarnation)))
			if start < oldest {
				return false
			}
			delete(s.byIncarnation, oldest)
			s.floor = oldest
		}
		w = &dedup.Window{}
		s.byIncarnation[start] = w
	}
	return w.Accept(start, seq)
}

// allowed keeps one address to its rate: signatures cost more to check than to make up.
func (p *sealer) allow(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limiters[addr]
	if l == nil {
		if len(p.limiters) >= maxSenders {
			clear(p.limiters)
		}
		l = rate.NewLimiter(ratePerSender, rateBurst)
		p.limiters[addr] = l
	}
	return l.Allow()
}
