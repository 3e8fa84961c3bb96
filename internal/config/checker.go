package config

import (
	"encoding/base64"
	"net"
	"net/netip"
	"slices"
	"strings"

	"ravenwheel/internal/store"
	"ravenwheel/internal/strictjson"
)

// dayMs is one day in ms. It is the upper bound of most durations: a longer one is taken for a mistake.
const dayMs = 24 * 3600 * 1000

// maxCount is the upper bound of sizes and counts that the machine limits anyway, such as memory in MB.
const maxCount = 1 << 20

// valueRange is the default of a number and its inclusive bounds.
type valueRange struct{ defaultValue, least, most float64 }

// The ranges of values that both an operator's file and a revision of the shared configuration set.
var (
	openRequestsRange     = valueRange{4096, 1, maxCount}
	attemptsPerConnRange  = valueRange{defaultAttemptsPerConn, 1, 1000}
	connectTimeoutMsRange = valueRange{defaultConnectTimeoutMs, 1, 60_000}
	idleTimeoutMsRange    = valueRange{30_000, 0, dayMs}
	tokenLeewayMsRange    = valueRange{0, 0, dayMs}
)

// signatureAlgorithms are the JWT algorithms that a signing key may have.
var signatureAlgorithms = []string{"HS256", "ES256", "EdDSA"}

// checker applies defaults to the fields of one part of a file and reports invalid ones as defects of the document.
type checker struct {
	doc  *strictjson.Document
	part string // path of the part in the file; empty: the whole file
}

// path returns the path of a field of the part, as seen from the root of the file.
func (c checker) path(field string) string {
	if c.part == "" {
		return field
	}
	return c.part + "." + field
}

// required reports a string field that is empty.
func (c checker) required(field, value string) {
	if value == "" {
		c.doc.Failf(c.path(field), "%s needs %s", c.part, field)
	}
}

// number sets a field that is absent to its default and reports a value that is out of range.
func (c checker) number(field string, value *float64, r valueRange) {
	if !c.doc.Has(c.path(field)) {
		*value = r.defaultValue
	}
	if *value < r.least || *value > r.most {
		c.doc.Failf(c.path(field), "%s %.10g is not from %.10g to %.10g", field, *value, r.least, r.most)
	}
}

// count does for an integer what number does for a float64.
func (c checker) count(field string, value *int, r valueRange) {
	number := float64(*value)
	c.number(field, &number, r)
	*value = int(number)
}

// address reports a value that is not an IP address with a port, or, if loopback is set, not a loopback address.
func (c checker) address(field, value string, loopback bool) {
	host, port, err := net.SplitHostPort(value)
	ip, notIP := netip.ParseAddr(host)
	switch {
	case err != nil || port == "" || notIP != nil:
		c.doc.Failf(c.path(field), "%s %q is not an IP address with a port, such as 127.0.0.1:4100", field, value)
	case loopback && !ip.IsLoopback():
		c.doc.Failf(c.path(field), "%s %q is not a loopback address", field, value)
	}
}

// oneOf reports a value that is not one of the words. If the first word is empty, the report does not list it.
func (c checker) oneOf(field, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.doc.Failf(c.path(field), "%s %q is not one of %s", field, value, strings.TrimPrefix(strings.Join(words, ", "), ", "))
	}
}

// knownName reports a name that is not in all. kind says in the report what the name stands for, such as zone.
func (c checker) knownName(field, kind, name string, all []string) {
	if !slices.Contains(all, name) {
		c.doc.Failf(c.path(field), "unknown %s %q", kind, name)
	}
}

// signingKeys decodes signing keys, given by key id, and reports invalid ones.
func (c checker) signingKeys(keys map[string]Key) KeyRing {
	ring := KeyRing{}
	for id, key := range keys {
		entry := checker{c.doc, c.path(id)}
		data, err := base64.StdEncoding.DecodeString(key.Base64)
		if err != nil || len(data) == 0 {
			c.doc.Failf(entry.path("key"), "key %q is empty or not valid base64", id)
		}
		entry.oneOf("alg", key.Algorithm, signatureAlgorithms...)
		ring[id] = store.Key{Alg: key.Algorithm, Data: data}
	}
	return ring
}
