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
	_     struct{} `cbor:",toarray"`
	From  string
	To    string
	Start uint64 // of the sender: Unix ms, rising with each start
	Seq   uint64
	At    int64 // Unix ms
	Cert  []byte
	Body  []byte
}

// Bounds of datagrams. Times are in ms.
const (
	// mostDatagram is the largest that is read: memberlist keeps to 1,400 bytes, a certificate and the envelope come on top.
	mostDatagram = 4096
	// mostSkew: clocks may be apart, and a datagram late; what is older can't be told from a replay to one that restarted.
	mostSkew = 60_000
	// perSender, burst: datagrams a second that one address may send, before any signature is checked.
	perSender, burst = 1000, 2000
	// mostSenders whose windows and rates are held.
	mostSenders = 8192
	// introduce: a sender brings its certificate with so many datagrams to each receiver, and with one in introduceEvery
	// later. In what a member tells of itself it made its word, which gossip repeats, six times as long: a hundred that
	// started together took twenty seconds to hear of each other.
	introduce, introduceEvery = 3, 64
)

// macSize is no length of a signature: one of P-256 in ASN.1 has 8 bytes at least, 70 to 72 nearly always, and one that came
// to 16 would have to hold two numbers of 40 bits, which nobody will see.
const macSize = 16

// Dropped counts datagrams that were not taken, by reason.
type Dropped struct {
	Malformed, Unknown, Forged, Replayed, Old, Misdirected, Flood atomic.Int64
}

var (
	errDropped = errors.New("dropped")
	errUnknown = errors.New("dropped: the sender's key is not known")
)

// post seals what goes out and opens what comes in.
type post struct {
	id      *store.Identity
	clk     *clock.Clock
	start   uint64
	seq     atomic.Uint64
	Dropped Dropped

	mu      sync.Mutex
	known   map[string]*holder
	met     map[string]int     // datagrams with the certificate, by receiver
	asked   map[string]float64 // when senders that were not known were asked last
	windows map[string]*starts
	rates   map[string]*rate.Limiter
}

func newPost(id *store.Identity, clk *clock.Clock, start uint64) *post {
	return &post{
		id: id, clk: clk, start: start, known: map[string]*holder{}, met: map[string]int{}, asked: map[string]float64{}, windows: map[string]*starts{},
		rates: map[string]*rate.Limiter{},
	}
}

// seal makes a datagram for one receiver; to is empty where its name is not known yet.
func (p *post) seal(to string, body []byte) ([]byte, error) {
	e := envelope{From: p.id.Name, To: to, Start: p.start, Seq: p.seq.Add(1), At: int64(p.clk.Now()), Body: body}
	if p.unmet(to) || e.Seq%introduceEvery == 0 {
		e.Cert = p.id.Certificate()
	}
	raw, err := cbor.Marshal(e)
	if err != nil {
		return nil, err
	}
	var seal []byte
	if h := p.holder(to); h != nil {
		seal = mac(h.out, raw)
	} else {
		sum := sha256.Sum256(raw)
		if seal, err = p.id.Sign(sum[:]); err != nil {
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
func (p *post) unmet(to string) bool {
	if to == "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.met[to] >= introduce || len(p.met) >= mostSenders {
		return false
	}
	p.met[to]++
	return true
}

// introduceAgain has the next datagrams to a receiver bring the certificate again: it has started anew.
func (p *post) introduceAgain(to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.met, to)
}

// mayAsk tells whether a sender that is not known may be asked who it is: each once a second, as the name is not proven.
func (p *post) mayAsk(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	if last, known := p.asked[name]; known && now-last < askEvery {
		return false
	}
	if len(p.asked) >= mostSenders {
		clear(p.asked)
	}
	p.asked[name] = now
	return true
}

// askEvery ms at most.
const askEvery = 1000

// open checks a datagram from an address, and returns who sent it, in which of its starts, and what it says.
func (p *post) open(addr string, b []byte) (from string, start uint64, body []byte, err error) {
	if !p.allowed(addr) {
		p.Dropped.Flood.Add(1)
		return "", 0, nil, errDropped
	}
	var e envelope
	n := 0
	if len(b) > 0 {
		n = 1 + int(b[0])
	}
	if n < 2 || len(b) <= n || cbor.Unmarshal(b[n:], &e) != nil || e.From == "" || e.From == p.id.Name {
		p.Dropped.Malformed.Add(1)
		return "", 0, nil, errDropped
	}
	if e.To != "" && e.To != p.id.Name {
		p.Dropped.Misdirected.Add(1)
		return "", 0, nil, errDropped
	}
	if age := int64(p.clk.Now()) - e.At; age > mostSkew || age < -mostSkew {
		p.Dropped.Old.Add(1)
		return "", 0, nil, errDropped
	}
	h := p.holder(e.From)
	if len(e.Cert) > 0 && (h == nil || !bytes.Equal(h.cert, e.Cert)) {
		if met, err := p.check(e.Cert); err == nil && met.Name == e.From {
			h = met
		}
	}
	if h == nil {
		p.Dropped.Unknown.Add(1)
		return e.From, 0, nil, errUnknown
	}
	sum := sha256.Sum256(b[n:])
	if seal := b[1:n]; len(seal) == macSize && !hmac.Equal(seal, mac(h.in, b[n:])) || len(seal) != macSize && !ecdsa.VerifyASN1(h.Key, sum[:], seal) {
		p.Dropped.Forged.Add(1)
		return "", 0, nil, errDropped
	}
	if !p.fresh(e, h) {
		p.Dropped.Replayed.Add(1)
		return "", 0, nil, errDropped
	}
	return e.From, e.Start, e.Body, nil
}

// holder is another whose certificate was checked, with the secrets shared with it.
type holder struct {
	store.Peer
	cert    []byte
	out, in []byte
}

func (p *post) holder(name string) *holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[name]
}

// check finds whose certificate it is. One that is known keeps its own unless the other was issued later: a key that leaked is
// then of no more use, and who has a new one needs nobody else to start anew.
func (p *post) check(cert []byte) (*holder, error) {
	h, err := p.id.VerifyPeer(cert)
	if err != nil {
		return nil, err
	}
	if known := p.holder(h.Name); known != nil && !h.Issued.After(known.Issued) {
		return known, nil
	}
	out, in, err := p.id.SharedSecrets(h, "peers")
	if err != nil {
		return nil, err
	}
	return &holder{Peer: h, cert: bytes.Clone(cert), out: out, in: in}, nil
}

// learn takes the certificate of a stream's other end, which has shown that it holds the key; it returns whose it is.
func (p *post) learn(cert []byte) (name string, err error) {
	h, err := p.check(cert)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(h)
	return h.Name, nil
}

func (p *post) keep(h *holder) {
	if p.known[h.Name] != nil || len(p.known) < mostSenders {
		p.known[h.Name] = h
	}
}

// fresh books a datagram whose seal holds.
func (p *post) fresh(e envelope, h *holder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(h)
	w := p.windows[e.From]
	if w == nil {
		if len(p.windows) >= mostSenders {
			return false
		}
		w = &starts{by: map[uint64]*dedup.Window{}}
		p.windows[e.From] = w
	}
	if !w.take(e.Start, e.Seq) {
		return false
	}
	w.heard = p.clk.Now()
	return true
}

// hears counts the others of which a datagram was taken in the last ms.
func (p *post) hears(within float64) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.windows {
		if p.clk.Now()-w.heard <= within {
			n++
		}
	}
	return n
}

// starts are the windows of a sender's newest starts. Guards against two processes under one name: with one window, the
// later start of the second would shut out the first, which the others know.
type starts struct {
	heard float64 // when the last datagram was taken
	by    map[uint64]*dedup.Window
	floor uint64 // starts up to this are forgotten, and taken no more
}

const mostStarts = 4

func (s *starts) take(start, seq uint64) bool {
	w := s.by[start]
	if w == nil {
		if start <= s.floor {
			return false
		}
		if len(s.by) >= mostStarts {
			oldest := slices.Min(slices.Collect(maps.Keys(s.by)))
			if start < oldest {
				return false
			}
			delete(s.by, oldest)
			s.floor = oldest
		}
		w = &dedup.Window{}
		s.by[start] = w
	}
	return w.Accept(start, seq)
}

// allowed keeps one address to its rate: signatures cost more to check than to make up.
func (p *post) allowed(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.rates[addr]
	if l == nil {
		if len(p.rates) >= mostSenders {
			clear(p.rates)
		}
		l = rate.NewLimiter(perSender, burst)
		p.rates[addr] = l
	}
	return l.Allow()
}
