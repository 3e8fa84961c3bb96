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

// dayMs is the upper bound of most durations, in ms: a longer one is a mistake.
const dayMs = 24 * 3600 * 1000

// maxCount bounds sizes and counts that the machine limits.
const maxCount = 1 << 20

// valueRange is the default of a number and its inclusive bounds.
type valueRange struct{ defaultValue, least, most float64 }

// The ranges of values that both an operator's file and a live revision set.
var (
	openRequestsRange     = valueRange{4096, 1, maxCount}
	attemptsPerConnRange  = valueRange{defaultAttemptsPerConn, 1, 1000}
	connectTimeoutMsRange = valueRange{defaultConnectTimeoutMs, 1, 60_000}
	idleTimeoutMsRange    = valueRange{30_000, 0, dayMs}
	tokenLeewayMsRange    = valueRange{0, 0, dayMs}
)

// signatureAlgorithms are the JWT algorithms that a signing key may have.
var signatureAlgorithms = []string{"HS256", "ES256", "EdDSA"}

// checker applies defaults to the fields of one part of a file and reports the ones that are invalid, as defects of the document.
type checker struct {
	doc  *strictjson.Document
	part string // path of the part; empty: the file as a whole
}

// path is the path of a field in the file.
func (c checker) path(field string) string {
	if c.part == "" {
		return field
	}
	return c.part + "." + field
}

// required reports a text field that is empty.
func (c checker) required(field, value string) {
	if value == "" {
		c.doc.Failf(c.path(field), "%s needs %s", c.part, field)
	}
}

// number applies the default to a field that is absent and reports a value that is out of range.
func (c checker) number(field string, value *float64, r valueRange) {
	if !c.doc.Has(c.path(field)) {
		*value = r.defaultValue
	}
	if *value < r.least || *value > r.most {
		c.doc.Failf(c.path(field), "%s %.10g is not from %.10g to %.10g", field, *value, r.least, r.most)
	}
}

// count is number for an integer.
func (c checker) count(field string, value *int, r valueRange) {
	number := float64(*value)
	c.number(field, &number, r)
	*value = int(number)
}

// address reports a value that is not an IP address with a port, or not on loopback where it has to be.
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

// oneOf reports a value that is none of the words. An empty word, which comes first, is not named in the report.
func (c checker) oneOf(field, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.doc.Failf(c.path(field), "%s %q is not one of %s", field, value, strings.TrimPrefix(strings.Join(words, ", "), ", "))
	}
}

// knownName reports a name that is not in the list of all names of its kind.
func (c checker) knownName(field, kind, name string, all []string) {
	if !slices.Contains(all, name) {
		c.doc.Failf(c.path(field), "unknown %s %q", kind, name)
	}
}

// signingKeys decodes the keys of the part and reports those that are invalid.
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
