package peers

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/hmac"
	"crypto/sha256"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/store"
)

const (
	// maxDatagram is the largest datagram that is read, in bytes. A message of memberlist has 1,400 bytes at most, to which a
	// certificate and the envelope are added.
	maxDatagram = 4096
	// maxClockSkew is how far the time at which a datagram was sent may differ from this process's clock, in ms. It covers both the
	// difference of the clocks and the delay. Older datagrams are dropped, because a process that has restarted could not tell them
	// from replays.
	maxClockSkew = 60_000
	// maxSenders limits the senders whose keys, replay windows and rates are held.
	maxSenders = 8192
)

// sealer seals datagrams to other processes, and verifies and opens the datagrams that they send.
type sealer struct {
	identity    *store.Identity
	clock       *clock.Clock
	incarnation uint64
	sequence    atomic.Uint64
	dropped     dropCounters

	mu                     sync.Mutex
	peerKeys               map[string]*peerKeys
	certificatesSent       map[string]int     // number of datagrams sent with the certificate, by receiver
	certificateRequestedAt map[string]float64 // time of the last request for a sender's certificate, in ms, by the sender's name
	windows                map[string]*replayWindows
	limiters               map[string]*rate.Limiter // by address
}

func newSealer(identity *store.Identity, clk *clock.Clock, incarnation uint64) *sealer {
	return &sealer{
		identity: identity, clock: clk, incarnation: incarnation,
		peerKeys: map[string]*peerKeys{}, certificatesSent: map[string]int{}, certificateRequestedAt: map[string]float64{},
		windows: map[string]*replayWindows{}, limiters: map[string]*rate.Limiter{},
	}
}

// seal returns a datagram for one receiver. to is the name of the receiver, or empty if that is not known yet.
func (s *sealer) seal(to string, body []byte) ([]byte, error) {
	e := envelope{
		From: s.identity.Name, To: to, Incarnation: s.incarnation, Sequence: s.sequence.Add(1), SentAt: int64(s.clock.Now()), Body: body,
	}
	if s.needsCertificate(to) || e.Sequence%certificateInterval == 0 {
		e.Certificate = s.identity.Certificate()
	}
	raw, err := cbor.Marshal(e)
	if err != nil {
		return nil, err
	}
	if keys := s.keysOf(to); keys != nil {
		return joinDatagram(mac(keys.sendKey, raw), raw), nil
	}
	sum := sha256.Sum256(raw)
	signature, err := s.identity.Sign(sum[:])
	if err != nil {
		return nil, err
	}
	return joinDatagram(signature, raw), nil
}

// openedDatagram is the content of a datagram that was verified.
type openedDatagram struct {
	from        string
	incarnation uint64 // of the sender
	body        []byte
}

// open verifies a datagram that came from an address and returns its content. A datagram that is not accepted is counted in
// dropped. The error is then errUnknownSender, with the sender's unproven name in the result, or errDropped.
func (s *sealer) open(address string, datagram []byte) (openedDatagram, error) {
	if !s.allow(address) {
		s.dropped.RateLimited.Add(1)
		return openedDatagram{}, errDropped
	}
	seal, raw, e, err := splitDatagram(datagram)
	if err != nil || e.From == "" || e.From == s.identity.Name {
		s.dropped.Malformed.Add(1)
		return openedDatagram{}, errDropped
	}
	if e.To != "" && e.To != s.identity.Name {
		s.dropped.Misdirected.Add(1)
		return openedDatagram{}, errDropped
	}
	if age := int64(s.clock.Now()) - e.SentAt; age > maxClockSkew || age < -maxClockSkew {
		s.dropped.Expired.Add(1)
		return openedDatagram{}, errDropped
	}
	keys := s.senderKeys(e)
	if keys == nil {
		s.dropped.UnknownSender.Add(1)
		return openedDatagram{from: e.From}, errUnknownSender
	}
	if !keys.verify(seal, raw) {
		s.dropped.Forged.Add(1)
		return openedDatagram{}, errDropped
	}
	if !s.acceptNew(e, keys) {
		s.dropped.Replayed.Add(1)
		return openedDatagram{}, errDropped
	}
	return openedDatagram{from: e.From, incarnation: e.Incarnation, body: e.Body}, nil
}

// senderKeys returns the keys of an envelope's sender, by a valid certificate in the envelope or by one that is known already. It
// returns nil if there is neither.
func (s *sealer) senderKeys(e envelope) *peerKeys {
	keys := s.keysOf(e.From)
	if len(e.Certificate) > 0 && (keys == nil || !bytes.Equal(keys.certificate, e.Certificate)) {
		if presented, err := s.verifyCertificate(e.Certificate); err == nil && presented.Name == e.From {
			return presented
		}
	}
	return keys
}

// verify reports whether the seal of an encoded envelope was made by the peer.
func (k *peerKeys) verify(seal, raw []byte) bool {
	if len(seal) == macSize {
		return hmac.Equal(seal, mac(k.receiveKey, raw))
	}
	sum := sha256.Sum256(raw)
	return ecdsa.VerifyASN1(k.Key, sum[:], seal)
}
