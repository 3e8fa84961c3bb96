package peers

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
)

// envelope binds a datagram to its sender and its receiver. On the wire: the length of the seal in one byte, the seal, and the envelope
// in CBOR. Between peers that know each other's certificate the seal is a MAC of macSize bytes (HMAC-SHA-256 of the encoded envelope,
// truncated) under a key that only the two can derive, else a signature (ECDSA over SHA-256 of the encoded envelope). A signature costs
// about thirty times as much, and 55 bytes more.
type envelope struct {
	_           struct{} `cbor:",toarray"`
	From        string
	To          string // empty if the sender does not know the receiver's name yet
	Incarnation uint64 // of the sender, rising with each start; by the clock, Unix ms
	Sequence    uint64
	SentAt      int64  // Unix ms
	Certificate []byte // of the sender, in DER; empty: the receiver knows it
	Body        []byte
}

// macSize is the size of a MAC, in bytes. No signature is as short: one of P-256 in ASN.1 nearly always has 70 to 72 bytes.
const macSize = 16

// The first byte of a body: its kind. The numbers are on the wire: new ones are appended.
const (
	kindMembership         byte = iota // a message of memberlist
	kindDigest                         // a digest, see sendDigest
	kindNameConflict                   // the address of another process under the receiver's name
	kindCertificateRequest             // the receiver is to send its certificate
)

// mac returns the MAC of an encoded envelope.
func mac(key, encoded []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(encoded)
	return h.Sum(nil)[:macSize]
}

// joinDatagram returns a datagram of a seal and an encoded envelope.
func joinDatagram(seal, raw []byte) []byte {
	out := make([]byte, 0, 1+len(seal)+len(raw))
	return append(append(append(out, byte(len(seal))), seal...), raw...)
}

// splitDatagram splits a datagram into its seal and its envelope, encoded and decoded. It does not verify the seal.
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
	Malformed     atomic.Int64 // not an envelope, or one of this process itself
	UnknownSender atomic.Int64 // the sender's certificate is not known
	Forged        atomic.Int64 // the seal is not the sender's
	Replayed      atomic.Int64 // received before, or too far behind
	Expired       atomic.Int64 // sent too long ago, or in the future
	Misdirected   atomic.Int64 // for another receiver
	RateLimited   atomic.Int64 // too many from one address
}

var (
	errDropped       = errors.New("peers: datagram dropped")
	errUnknownSender = errors.New("peers: datagram dropped: certificate of the sender not known")
)
