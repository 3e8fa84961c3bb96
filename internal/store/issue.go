package store

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"time"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	memberValidity    = 2 * 365 * 24 * time.Hour
	// backdating is how long before its issue a certificate is valid from, as members' clocks may differ.
	backdating = time.Hour
	// serialBits is the size of a random serial number.
	serialBits = 120
)

// The files of an identity directory: NAME.crt and NAME.key of each member, and those of the authority.
const (
	authorityName        = "ca"
	certificateExtension = ".crt"
	keyExtension         = ".key"
)

// ErrInvalidName means that the name of a cluster or a member does not match namePattern (lower-case letters, digits, dots and
// dashes, at most 63 characters), or that a member has the authority's name.
var ErrInvalidName = errors.New("store: invalid name")

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// CreateAuthority writes the certificate authority of a new cluster into a directory, as ca.crt and ca.key. Only IssueCertificate
// needs the key. It returns ErrInvalidName, or an error if the directory already holds an authority or can't be written.
func CreateAuthority(dir, cluster string) error {
	if !namePattern.MatchString(cluster) {
		return fmt.Errorf("%w: cluster %q: want up to 63 lower-case letters, digits, dots and dashes", ErrInvalidName, cluster)
	}
	if _, err := os.Stat(filepath.Join(dir, authorityName+certificateExtension)); err == nil {
		return fmt.Errorf("store: %s already holds a cluster's certificate authority", dir)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	t := certificateTemplate("cluster "+cluster, authorityValidity)
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	t.URIs = []*url.URL{{Scheme: uriScheme, Host: cluster}}
	return writeCertificate(dir, authorityName, t, t, key, key)
}

// IssueCertificate writes a member's certificate and key, as NAME.crt and NAME.key, into the directory that holds the authority. It
// returns ErrInvalidName, or an error if the authority's files can't be used or the member's files can't be written.
func IssueCertificate(dir, name string) error {
	if !namePattern.MatchString(name) || name == authorityName {
		return fmt.Errorf("%w: member %q: want up to 63 lower-case letters, digits, dots and dashes, not ca", ErrInvalidName, name)
	}
	authority, err := tls.LoadX509KeyPair(certificatePath(dir, authorityName), keyPath(dir, authorityName))
	if err != nil {
		return fmt.Errorf("store: load the cluster's certificate authority: %w", err)
	}
	cluster, _, err := parseURI(authority.Leaf)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	t := certificateTemplate(name, memberValidity)
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	t.URIs = []*url.URL{{Scheme: uriScheme, Host: cluster, Path: memberPath + name}}
	return writeCertificate(dir, name, t, authority.Leaf, key, authority.PrivateKey.(*ecdsa.PrivateKey))
}

func certificatePath(dir, name string) string { return filepath.Join(dir, name+certificateExtension) }

func keyPath(dir, name string) string { return filepath.Join(dir, name+keyExtension) }

func certificateTemplate(name string, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-backdating), NotAfter: now.Add(validity),
	}
}

// writeCertificate signs a certificate for a key, and writes the certificate and the key.
func writeCertificate(dir, name string, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return errors.Join(
		os.WriteFile(keyPath(dir, name), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600),
		os.WriteFile(certificatePath(dir, name), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644))
}
