package store

import (
	"crypto/ecdsa"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// A member's certificate contains the URI spiffe://CLUSTER/member/NAME, and the certificate authority's the URI spiffe://CLUSTER
// (https://spiffe.io/docs/latest/spiffe-specs/spiffe-id/).
const (
	uriScheme  = "spiffe"
	memberPath = "/member/"
)

// ErrNotMember means that a certificate does not name a member of this cluster.
var ErrNotMember = errors.New("store: not a certificate of a member of this cluster")

// Identity is a member's certificate and key, and the certificate authority of its cluster.
type Identity struct {
	Cluster, Name string

	cert  tls.Certificate
	roots *x509.CertPool
}

// LoadIdentity reads NAME.crt, NAME.key and ca.crt from a directory. It does not check whether the certificate has expired. It
// returns ErrNotMember for a certificate without the URI of a member, and otherwise an error with the file that can't be used.
func LoadIdentity(dir, name string) (*Identity, error) {
	pair, err := tls.LoadX509KeyPair(certificatePath(dir, name), keyPath(dir, name))
	if err != nil {
		return nil, fmt.Errorf("store: load the identity of member %s: %w", name, err)
	}
	authorityPath := certificatePath(dir, authorityName)
	authority, err := os.ReadFile(authorityPath)
	if err != nil {
		return nil, fmt.Errorf("store: load the cluster's certificate authority: %w", err)
	}
	id := &Identity{cert: pair, roots: x509.NewCertPool()}
	if !id.roots.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("store: no valid certificate in %s", authorityPath)
	}
	if id.Cluster, id.Name, err = parseURI(pair.Leaf); err != nil {
		return nil, err
	}
	if id.Name != name {
		return nil, fmt.Errorf("store: the certificate in %s.crt names member %q", name, id.Name)
	}
	return id, nil
}

// parseURI returns the cluster in a certificate's URI and the member's name, which is empty in an authority's certificate.
func parseURI(c *x509.Certificate) (cluster, name string, err error) {
	if len(c.URIs) != 1 || c.URIs[0].Scheme != uriScheme {
		return "", "", ErrNotMember
	}
	u := c.URIs[0]
	name, isMember := strings.CutPrefix(u.Path, memberPath)
	if !isMember && u.Path != "" {
		return "", "", ErrNotMember
	}
	return u.Host, name, nil
}

// TLS returns the configuration for both ends of a connection between members. It requires TLS 1.3 and a certificate that the
// cluster's authority has signed for a member of this cluster. It does not check the host name.
func (id *Identity) TLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{id.cert}, MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection verifies the certificate instead, at both ends and without a host name
		VerifyConnection: func(cs tls.ConnectionState) error {
			_, err := id.verifyConnection(cs)
			return err
		},
	}
}

// Certificate returns the member's certificate in DER encoding.
func (id *Identity) Certificate() []byte { return id.cert.Certificate[0] }

// Sign signs a hash with the member's key. The signature is in ASN.1 encoding.
func (id *Identity) Sign(hash []byte) ([]byte, error) {
	return ecdsa.SignASN1(rand.Reader, id.cert.PrivateKey.(*ecdsa.PrivateKey), hash)
}

// Peer is another member whose certificate was verified.
type Peer struct {
	Name   string
	Key    *ecdsa.PublicKey
	Issued time.Time // start of the certificate's validity, to the second
}

// VerifyPeer verifies a certificate in DER encoding and returns the member that it names. It returns an error of x509,
// ErrNotMember, or an error for a certificate whose key is not ECDSA.
func (id *Identity) VerifyPeer(der []byte) (p Peer, err error) {
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return p, fmt.Errorf("store: %w", err)
	}
	if p.Name, err = id.verify(leaf); err != nil {
		return p, err
	}
	p.Issued = leaf.NotBefore
	var ok bool
	if p.Key, ok = leaf.PublicKey.(*ecdsa.PublicKey); !ok {
		return p, errors.New("store: the certificate's key is not an ECDSA key")
	}
	return p, nil
}

// sharedSecretSize is the size of a shared secret in bytes.
const sharedSecretSize = 32

// SharedSecrets returns two secrets that only this member and another can derive, one for each direction: static
// Diffie-Hellman on the keys of both certificates, expanded by HKDF (RFC 5869) with the cluster, the purpose and the names of
// sender and receiver.
func (id *Identity) SharedSecrets(other Peer, purpose string) (out, in []byte, err error) {
	own, err := id.cert.PrivateKey.(*ecdsa.PrivateKey).ECDH()
	if err != nil {
		return nil, nil, err
	}
	theirs, err := other.Key.ECDH()
	if err != nil {
		return nil, nil, err
	}
	secret, err := own.ECDH(theirs)
	if err != nil {
		return nil, nil, err
	}
	derive := func(from, to string) ([]byte, error) {
		// Names contain no slash, so that no two pairs have the same label.
		label := strings.Join([]string{"ravenwheel", purpose, id.Cluster, from, to}, "/")
		return hkdf.Key(sha256.New, secret, nil, label, sharedSecretSize)
	}
	if out, err = derive(id.Name, other.Name); err != nil {
		return nil, nil, err
	}
	in, err = derive(other.Name, id.Name)
	return out, in, err
}

// verifyConnection verifies the certificate at the other end of a connection, and returns the member's name.
func (id *Identity) verifyConnection(cs tls.ConnectionState) (string, error) {
	if len(cs.PeerCertificates) == 0 {
		return "", errors.New("store: the peer sent no certificate")
	}
	return id.verify(cs.PeerCertificates[0])
}

// verify checks that a certificate is signed by the cluster's authority and names a member of the cluster, and returns the
// member's name.
func (id *Identity) verify(leaf *x509.Certificate) (string, error) {
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: id.roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
		return "", fmt.Errorf("store: %w", err)
	}
	cluster, name, err := parseURI(leaf)
	if err != nil {
		return "", err
	}
	if cluster != id.Cluster || name == "" {
		return "", fmt.Errorf("%w: it names cluster %q, member %q", ErrNotMember, cluster, name)
	}
	return name, nil
}
