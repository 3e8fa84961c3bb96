package config

import "ravenwheel/internal/strictjson"

// Live is what a revision of the shared configuration may change without a restart. A part that is absent stays as the
// operator's file has it.
type Live struct {
	Log    *Log           `json:"log"`
	Limits *LiveLimits    `json:"limits"`
	Signed *LiveSigned    `json:"signed"`
	Keys   map[string]Key `json:"keys"` // all signing keys: others are dropped; absent: the keys stay

	SigningKeys KeyRing `json:"-"` // the decoded Keys; nil: absent
}

// LiveLimits are the limits of service that a revision changes, each to its default where it is absent.
type LiveLimits struct {
	MaxOpenRequests  int     `json:"requests"`
	ConnectTimeoutMs float64 `json:"connect_ms"`
	IdleTimeoutMs    float64 `json:"idle_ms"`
	AttemptsPerConn  int     `json:"streams_per_connection"`
}

// LiveSigned is what a revision changes of the signed front.
type LiveSigned struct {
	LeewayMs float64 `json:"leeway_ms"`
}

// restartParts are the parts of an operator's file that a revision can't change.
var restartParts = []string{"proxy", "site", "classes", "servers", "admin", "state", "store", "snmp"}

// ParseLive decodes and validates the text of a revision. name stands in place of a file's name in the error, which is
// strictjson.Defects.
func ParseLive(name, text string) (*Live, error) {
	live := &Live{}
	doc := strictjson.Decode(name, []byte(text), live)
	if doc.Valid() {
		live.check(doc)
	} else {
		reportRestartParts(doc, name, text)
	}
	doc.Defects.Sort()
	if err := doc.Defects.Err(); err != nil {
		return nil, err
	}
	return live, nil
}

// reportRestartParts adds a defect for each part that takes a restart, which is to the decoder an unknown field.
func reportRestartParts(doc *strictjson.Document, name, text string) {
	var nothing struct{}
	undecoded := strictjson.Decode(name, []byte(text), &nothing)
	for _, part := range restartParts {
		if undecoded.Has(part) {
			doc.Failf("", "%s can't be changed without a restart: set it in the operator's file", part)
		}
	}
}

func (l *Live) check(doc *strictjson.Document) {
	if l.Log != nil {
		checker{doc, "log"}.oneOf("level", l.Log.Level, "debug", "info", "warn", "error")
		if l.Log.Format != "" {
			doc.Failf("log.format", "format can't be changed without a restart: set it in the operator's file")
		}
	}
	if l.Limits != nil {
		c := checker{doc, "limits"}
		c.count("requests", &l.Limits.MaxOpenRequests, openRequestsRange)
		c.count("streams_per_connection", &l.Limits.AttemptsPerConn, attemptsPerConnRange)
		c.number("connect_ms", &l.Limits.ConnectTimeoutMs, connectTimeoutMsRange)
		c.number("idle_ms", &l.Limits.IdleTimeoutMs, idleTimeoutMsRange)
	}
	if l.Signed != nil {
		checker{doc, "signed"}.number("leeway_ms", &l.Signed.LeewayMs, tokenLeewayMsRange)
	}
	if l.Keys != nil {
		l.SigningKeys = checker{doc, "keys"}.signingKeys(l.Keys)
	}
}
