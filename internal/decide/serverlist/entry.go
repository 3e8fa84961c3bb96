package serverlist

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Limits of an entry.
const (
	maxWeight      = 1e6
	maxCell        = math.MaxUint16
	maxStartedMs   = 1e15 // Unix ms
	maxHostLength  = 253  // RFC 1035
	maxLabelLength = 63   // RFC 1035
)

// labelChars are the characters that a label of a host name may have, in lower case.
const labelChars = "abcdefghijklmnopqrstuvwxyz0123456789-_"

// checkEntry checks one entry by itself, and records all of its defects.
func checkEntry(loc location, e serverJSON, r *Requirements) (s Server, ok bool) {
	ok = true
	fail := func(field, format string, args ...any) {
		ok = false
		loc.fail(field, format, args...)
	}
	var valid bool
	if s.ID, valid = ParseID(e.ID); !valid {
		fail("id", "id %q is not of the form s-00c41f7a", e.ID)
	}
	var err error
	if s.Host, s.Port, err = parseAddr(e.Addr); err != nil {
		fail("addr", "addr %q %s", e.Addr, err)
	}
	if e.Zone == "" || len(r.Zones) > 0 && !slices.Contains(r.Zones, e.Zone) {
		fail("zone", "unknown zone %q", e.Zone)
	}
	if e.Kind == "" || len(r.Kinds) > 0 && !slices.Contains(r.Kinds, e.Kind) {
		fail("kind", "unknown kind %q", e.Kind)
	}
	if e.State != "" && e.State != "ready" && e.State != "draining" {
		fail("state", "state %q is neither ready nor draining", e.State)
	}
	if !loc.doc.Has(loc.path + ".weight") {
		fail("weight", "weight is missing")
	} else if !(e.Weight > 0 && e.Weight <= maxWeight) {
		fail("weight", "weight %v is not above 0 and at most %v", e.Weight, float64(maxWeight))
	}
	if e.Cell < 0 || e.Cell > maxCell {
		fail("cell", "cell %d is not from 0 to %d", e.Cell, maxCell)
	}
	if e.Started < 0 || e.Started > maxStartedMs {
		fail("started_ms", "started_ms %v is not a valid time in Unix milliseconds", e.Started)
	}
	if e.Warm && e.Started > 0 {
		fail("warm", "warm contradicts started_ms")
	}
	s.Zone, s.Kind, s.Cell, s.Draining, s.Weight = e.Zone, e.Kind, e.Cell, e.State == "draining", e.Weight
	s.StartedMs, s.Warm, s.location = e.Started, e.Warm, loc
	return s, ok
}

// parseAddr splits HOST:PORT, and returns the host in the form in which hosts are compared: in lower case, without brackets or
// a dot at its end.
func parseAddr(text string) (host string, port int, err error) {
	colon := strings.LastIndexByte(text, ':')
	if colon < 0 {
		return "", 0, errors.New("has no port")
	}
	host, digits := text[:colon], text[colon+1:]
	n, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || n == 0 {
		return "", 0, fmt.Errorf("has the port %q, which is not a number from 1 to 65535", digits)
	}
	if inner, ok := strings.CutPrefix(host, "["); ok {
		if host, ok = strings.CutSuffix(inner, "]"); !ok || !strings.Contains(host, ":") {
			return "", 0, errors.New("has brackets without an IPv6 address in them")
		}
		return strings.ToLower(host), int(n), nil
	}
	host = strings.TrimSuffix(strings.ToLower(host), ".")
	if err := checkHost(host); err != nil {
		return "", 0, err
	}
	return host, int(n), nil
}

// checkHost checks the form of an IPv4 address or a name in lower case.
func checkHost(host string) error {
	switch {
	case host == "":
		return errors.New("has no host")
	case len(host) > maxHostLength:
		return fmt.Errorf("has a host of more than %d characters", maxHostLength)
	}
	for _, label := range strings.Split(host, ".") {
		if !validLabel(label) {
			return errors.New("has a host that is neither an IP address nor a host name")
		}
	}
	return nil
}

func validLabel(label string) bool {
	return label != "" && len(label) <= maxLabelLength && label[0] != '-' && label[len(label)-1] != '-' &&
		strings.Trim(label, labelChars) == ""
}
