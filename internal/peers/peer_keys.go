package peers

import (
	"bytes"

	"ravenwheel/internal/store"
)

const (
	// firstCertificates is how many datagrams bring the certificate to each receiver at first, and certificateInterval how many
	// datagrams later there is one with it. The certificate is not part of a member's metadata, which gossip repeats: that would be
	// six times as long.
	firstCertificates   = 3
	certificateInterval = 64
	// certificateRequestInterval is the shortest time between two requests for one sender's certificate, in ms.
	certificateRequestInterval = 1000
	// keyPurpose separates the keys of this package from others that are derived from the same certificates.
	keyPurpose = "peers"
)

// peerKeys is another process whose certificate was verified, with the secrets shared with it.
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

// verifyCertificate verifies a certificate and returns the keys of its owner. The certificate that is known stays in use unless the
// other one was issued later: a leaked key is useless once a new certificate is issued, which no other process has to restart for.
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

// learnCertificate takes in the certificate of the other end of a stream, which has proven that it has the key. It returns whose it is.
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

// storeKeys takes in a peer's keys, unless there are too many. The caller holds the lock.
func (s *sealer) storeKeys(keys *peerKeys) {
	if s.peerKeys[keys.Name] != nil || len(s.peerKeys) < maxSenders {
		s.peerKeys[keys.Name] = keys
	}
}

// needsCertificate reports whether a receiver may not know the certificate yet, and counts that it is sent now.
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

// resendCertificate has the next datagrams to a receiver bring the certificate again, as it has restarted.
func (s *sealer) resendCertificate(to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.certificatesSent, to)
}

// mayRequestCertificate reports whether a sender may be asked for its certificate now. The rate is limited, as the name is not proven.
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
