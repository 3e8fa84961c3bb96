package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"ravenwheel/internal/logs"
	"ravenwheel/internal/strictjson"
)

// Admin configures the HTTP interface for operators. Its address is a unix socket (unix:PATH) or a loopback address.
type Admin struct {
	Listen string `json:"listen"`
}

// maxSocketPath is the maximum length, in bytes, of the path of a unix socket.
const maxSocketPath = 100

func (f *OperatorFile) checkAdmin(doc *strictjson.Document) {
	if f.Admin == nil {
		return
	}
	path, isUnix := strings.CutPrefix(f.Admin.Listen, "unix:")
	if !isUnix {
		checker{doc, "admin"}.address("listen", f.Admin.Listen, true)
		return
	}
	if path == "" || len(path) > maxSocketPath {
		doc.Failf("admin.listen", "the path of a unix socket must have 1 to %d bytes", maxSocketPath)
	}
}

// State configures the journal from which a process recovers its state after a crash.
type State struct {
	Dir          string  `json:"dir"`      // relative to the directory of the operator's file
	BatchDelayMs float64 `json:"delay_ms"` // how long a write waits for others, to be written in one batch
}

func (f *OperatorFile) checkState(doc *strictjson.Document) {
	if f.State == nil {
		return
	}
	c := checker{doc, "state"}
	c.required("dir", f.State.Dir)
	c.number("delay_ms", &f.State.BatchDelayMs, valueRange{0, 0, 1000})
}

// Log configures the log: the lowest level that is logged (empty: info) and the format of the lines (empty: auto).
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // auto, text or json
}

func (f *OperatorFile) checkLog(doc *strictjson.Document) {
	f.LogOptions = logs.Options{Level: f.Log.Level, Format: f.Log.Format}
	c := checker{doc, "log"}
	c.oneOf("level", f.Log.Level, "", "debug", "info", "warn", "error")
	c.oneOf("format", f.Log.Format, "", "auto", "text", "json")
}

// Signed configures the HTTP front that serves requests with signed links and tokens.
type Signed struct {
	Listen   string         `json:"listen"`
	Audience string         `json:"audience"`  // the audience that tokens must name
	LeewayMs float64        `json:"leeway_ms"` // tolerated error of the clocks of token issuers
	Keys     map[string]Key `json:"keys"`      // by key id; written to the store when the process starts
}

// Key is a signing key: a public key as PKIX DER, or an HMAC secret, encoded in base64.
type Key struct {
	Algorithm string `json:"alg"`
	Base64    string `json:"key"`
}

func (f *OperatorFile) checkSigned(doc *strictjson.Document) {
	if f.Signed == nil {
		return
	}
	c := checker{doc, "signed"}
	c.required("audience", f.Signed.Audience)
	c.address("listen", f.Signed.Listen, false)
	c.number("leeway_ms", &f.Signed.LeewayMs, tokenLeewayMsRange)
	f.SigningKeys = checker{doc, "signed.keys"}.signingKeys(f.Signed.Keys)
}

// SNMP configures the SNMP agent.
type SNMP struct {
	Listen    string `json:"listen"`
	Community string `json:"community"`
}

func (f *OperatorFile) checkSNMP(doc *strictjson.Document) {
	if f.SNMP == nil {
		return
	}
	c := checker{doc, "snmp"}
	c.address("listen", f.SNMP.Listen, false)
	c.required("community", f.SNMP.Community)
}

// Peers configures the membership and gossip among processes.
type Peers struct {
	Name             string            `json:"name"`      // empty: the proxy's name
	Listen           string            `json:"listen"`    // address for other processes, over UDP and TCP
	Advertise        string            `json:"advertise"` // address that other processes are told; empty: Listen
	Seeds            []string          `json:"seeds"`     // addresses of processes to contact first
	AddressesByName  map[string]string `json:"as_seen"`   // addresses of other processes, where they differ from the advertised ones
	Zone             string            `json:"zone"`      // empty: the proxy's zone
	Region           string            `json:"region"`
	Identity         string            `json:"identity"` // directory of ca.crt, NAME.crt and NAME.key
	Dir              string            `json:"dir"`      // stores incarnations and members; empty: the clock numbers incarnations
	DigestIntervalMs float64           `json:"every_ms"` // interval between two digests
}

func (f *OperatorFile) checkPeers(doc *strictjson.Document) {
	p := f.Peers
	if p == nil {
		return
	}
	c := checker{doc, "peers"}
	c.address("listen", p.Listen, false)
	if p.Advertise != "" {
		c.address("advertise", p.Advertise, false)
	}
	for i, seed := range p.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed, false)
	}
	for _, name := range slices.Sorted(maps.Keys(p.AddressesByName)) {
		c.address("as_seen."+name, p.AddressesByName[name], false)
	}
	c.required("identity", p.Identity)
	c.number("every_ms", &p.DigestIntervalMs, valueRange{1000, 100, 60_000})
}
