package config

import "ravenwheel/internal/strictjson"

// Live is a revision of the shared configuration: the values that may change without a restart. Where a part is absent, the
// values of the operator's file stay in force.
type Live struct {
	Log    *Log           `json:"log"`
	Limits *LiveLimits    `json:"limits"`
	Signed *LiveSigned    `json:"signed"`
	Keys   map[string]Key `json:"keys"` // the complete set of signing keys; absent: the keys do not change

	SigningKeys KeyRing `json:"-"` // the decoded Keys; nil: Keys is absent
}

// LiveLimits are the limits that a revision changes. A limit that is absent is set to its default.
type LiveLimits struct {
	MaxOpenRequests  int     `json:"requests"`
	ConnectTimeoutMs float64 `json:"connect_ms"`
	IdleTimeoutMs    float64 `json:"idle_ms"`
	AttemptsPerConn  int     `json:"streams_per_connection"`
}

// LiveSigned is the setting of the signed front that a revision changes.
type LiveSigned struct {
	LeewayMs float64 `json:"leeway_ms"`
}

// restartParts are the parts of an operator's file that a revision can't change.
var restartParts = []string{"proxy", "site", "classes", "servers", "admin", "state", "store", "snmp"}

// ParseLive decodes and validates the text of a revision. The error is strictjson.Defects, with name in place of a file's name.
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

// reportRestartParts adds a defect for each part that can't change without a restart. The decoder has reported such a part only
// as an unknown field.
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
