package peers

import (
	"bytes"

	"ravenwheel/internal/store"
)

const (
	// The first firstCertificates datagrams to each receiver contain the certificate, and after them every certificateInterval-th
	// datagram of this process. The certificate is not part of a member's metadata, because gossip repeats the metadata, which
	// would become six times as long.
	firstCertificates   = 3
	certificateInterval = 64
	// certificateRequestInterval is the shortest time between two requests for one sender's certificate, in ms.
	certificateRequestInterval = 1000
	// keyPurpose separates the keys of this package from keys that are derived from the same certificates for other purposes.
	keyPurpose = "peers"
)

// peerKeys holds the verified certificate of another process and the secrets shared with that process.
type peerKeys struct {
	store.Peer
	certificate         []byte
	sendKey, receiveKey []byte
}

func (s *sealer) keysOf(name string) *peerKeys {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerKeys[name]
}

// verifyCertificate verifies a certificate and returns the keys of its owner. A certificate that is known already stays in use
// unless the given one was issued later. A leaked key is therefore useless once its owner has sent a new certificate, and no other
// process has to restart for that.
func (s *sealer) verifyCertificate(certificate []byte) (*peerKeys, error) {
	owner, err := s.identity.VerifyPeer(certificate)
	if err != nil {
		return nil, err
	}
	if known := s.keysOf(owner.Name); known != nil && !owner.Issued.After(known.Issued) {
		return known, nil
	}
	sendKey, receiveKey, err := s.identity.SharedSecrets(owner, keyPurpose)
	if err != nil {
		return nil, err
	}
	return &peerKeys{Peer: owner, certificate: bytes.Clone(certificate), sendKey: sendKey, receiveKey: receiveKey}, nil
}

// learnCertificate verifies and stores the certificate of the other end of a stream, which has proven in the handshake that it has
// the key. It returns the name of the certificate's owner.
func (s *sealer) learnCertificate(certificate []byte) (name string, err error) {
	keys, err := s.verifyCertificate(certificate)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeKeys(keys)
	return keys.Name, nil
}

// storeKeys stores a peer's keys, unless those of maxSenders other peers are stored. The caller holds the lock.
func (s *sealer) storeKeys(keys *peerKeys) {
	if s.peerKeys[keys.Name] != nil || len(s.peerKeys) < maxSenders {
		s.peerKeys[keys.Name] = keys
	}
}

// needsCertificate reports whether a receiver may not know this process's certificate yet. If so it counts that the certificate is
// sent now.
func (s *sealer) needsCertificate(to string) bool {
	if to == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.certificatesSent[to] >= firstCertificates || len(s.certificatesSent) >= maxSenders {
		return false
	}
	s.certificatesSent[to]++
	return true
}

// resendCertificate makes the next datagrams to a receiver contain the certificate again, because the receiver may have restarted.
func (s *sealer) resendCertificate(to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.certificatesSent, to)
}

// mayRequestCertificate reports whether a sender's certificate may be requested now, and records the request. The rate is limited
// because the sender has not proven its name.
func (s *sealer) mayRequestCertificate(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if last, known := s.certificateRequestedAt[name]; known && now-last < certificateRequestInterval {
		return false
	}
	if len(s.certificateRequestedAt) >= maxSenders {
		clear(s.certificateRequestedAt)
	}
	s.certificateRequestedAt[name] = now
	return true
}
