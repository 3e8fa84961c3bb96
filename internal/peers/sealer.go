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
	// maxDatagram is the largest datagram that is read, in bytes. memberlist keeps to 1,400; a certificate and the envelope are added.
	maxDatagram = 4096
	// maxClockSkew is how far the time of a datagram may be off, in ms, for clocks and delay together. A process that has
	// restarted could not tell an older one from a replay.
	maxClockSkew = 60_000
	// maxSenders is how many senders are remembered, with their keys, windows and rates.
	maxSenders = 8192
)

// sealer seals datagrams to other processes, and opens theirs.
type sealer struct {
	identity    *store.Identity
	clock       *clock.Clock
	incarnation uint64
	sequence    atomic.Uint64
	dropped     dropCounters

	mu                     sync.Mutex
	peerKeys               map[string]*peerKeys
	certificatesSent       map[string]int     // datagrams with the certificate, by receiver
	certificateRequestedAt map[string]float64 // when the certificate of a sender was requested last, by its name
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

// seal returns a datagram for one receiver; to is empty if its name is not known yet.
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

// openedDatagram is what a datagram that was opened says.
type openedDatagram struct {
	from        string
	incarnation uint64 // of the sender
	body        []byte
}

// open verifies a datagram from an address. A datagram that is dropped is counted, and the error is errDropped or, with the sender's
// name, errUnknownSender.
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

// senderKeys returns the keys of an envelope's sender, by the certificate that it brings or by one that is known; nil: neither.
func (s *sealer) senderKeys(e envelope) *peerKeys {
	keys := s.keysOf(e.From)
	if len(e.Certificate) > 0 && (keys == nil || !bytes.Equal(keys.certificate, e.Certificate)) {
		if presented, err := s.verifyCertificate(e.Certificate); err == nil && presented.Name == e.From {
			return presented
		}
	}
	return keys
}

// verify reports whether a seal is that of the peer.
func (k *peerKeys) verify(seal, raw []byte) bool {
	if len(seal) == macSize {
		return hmac.Equal(seal, mac(k.receiveKey, raw))
	}
	sum := sha256.Sum256(raw)
	return ecdsa.VerifyASN1(k.Key, sum[:], seal)
}
