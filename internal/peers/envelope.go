package peers

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
)

// envelope binds a datagram to its sender and its receiver. A datagram consists of the length of the seal in one byte, the seal,
// and the envelope in CBOR. Between peers that know each other's certificate the seal is a MAC of macSize bytes (HMAC-SHA-256 of
// the encoded envelope, truncated) under a key that only these two can derive. Otherwise it is a signature (ECDSA over SHA-256 of
// the encoded envelope), which costs about thirty times as much computation, and 55 bytes more.
type envelope struct {
	_           struct{} `cbor:",toarray"`
	From        string
	To          string // empty if the sender does not know the receiver's name yet
	Incarnation uint64 // of the sender; increases with each start, see nextIncarnation
	Sequence    uint64
	SentAt      int64  // Unix ms
	Certificate []byte // of the sender, in DER; empty if the receiver should know it
	Body        []byte
}

// macSize is the size of a MAC, in bytes. It tells a MAC from a signature, because no signature is as short: one of P-256 in ASN.1
// nearly always has 70 to 72 bytes.
const macSize = 16

// The first byte of a body is its kind. The numbers are part of the protocol: new ones are appended.
const (
	kindMembership         byte = iota // a message of memberlist
	kindDigest                         // a digest, see sendDigest
	kindNameConflict                   // the address of another process that uses the receiver's name
	kindCertificateRequest             // a request that the receiver send its certificate again
)

// mac returns the MAC of an encoded envelope.
func mac(key, encoded []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(encoded)
	return h.Sum(nil)[:macSize]
}

// joinDatagram returns the datagram that consists of a seal and an encoded envelope.
func joinDatagram(seal, raw []byte) []byte {
	out := make([]byte, 0, 1+len(seal)+len(raw))
	return append(append(append(out, byte(len(seal))), seal...), raw...)
}

// splitDatagram splits a datagram into its seal and its envelope, and returns the envelope both encoded (raw) and decoded (e). It
// does not verify the seal.
func splitDatagram(datagram []byte) (seal, raw []byte, e envelope, err error) {
	end := 0
	if len(datagram) > 0 {
		end = 1 + int(datagram[0])
	}
	if end < 2 || len(datagram) <= end {
		return nil, nil, e, errDropped
	}
	seal, raw = datagram[1:end], datagram[end:]
	return seal, raw, e, cbor.Unmarshal(raw, &e)
}

// dropCounters count dropped datagrams by reason.
type dropCounters struct {
	Malformed     atomic.Int64 // not an envelope, without a sender, or in the name of this process itself
	UnknownSender atomic.Int64 // the sender's certificate is not known
	Forged        atomic.Int64 // the seal was not made by the sender
	Replayed      atomic.Int64 // received before, outdated, or from one sender more than maxSenders
	Expired       atomic.Int64 // the time of sending differs from this process's clock by more than maxClockSkew
	Misdirected   atomic.Int64 // for another receiver
	RateLimited   atomic.Int64 // over the rate limit of one address
}

var (
	errDropped       = errors.New("peers: datagram dropped")
	errUnknownSender = errors.New("peers: datagram dropped: the sender's certificate is not known")
)
