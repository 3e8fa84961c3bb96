package config

import (
	"encoding/base64"

	"ravenwheel/internal/store"
	"ravenwheel/internal/strictjson"
)

// Live is what a revision of the shared configuration may say: what changes without a restart. A part that is absent
// stays as the operator's file has it. Whatever else a revision names takes a restart, and is refused.
type Live struct {
	Log    *Log           `json:"log"`
	Limits *LiveLimits    `json:"limits"`
	Signed *LiveSigned    `json:"signed"`
	Keys   map[string]Key `json:"keys"` // all signing keys: those that it does not name are dropped; absent: they stay
	Ring   KeyRing        `json:"-"`
}

// LiveLimits are limits and time-outs. Times are in ms.
type LiveLimits struct {
	Requests int     `json:"requests"`
	Connect  float64 `json:"connect_ms"`
	Idle     float64 `json:"idle_ms"`
	Streams  int     `json:"streams_per_connection"`
}

// LiveSigned is of the signed front.
type LiveSigned struct {
	LeewayMs float64 `json:"leeway_ms"`
}

// restart are the parts of an operator's file that a revision can't change.
var restart = []string{"proxy", "site", "classes", "servers", "admin", "state", "store", "snmp"}

// ParseLive reads a revision, named for its defects.
func ParseLive(name, text string) (*Live, error) {
	l := &Live{}
	doc := strictjson.Decode(name, []byte(text), l)
	if doc.Ok() {
		l.check(doc)
	} else {
		var any struct{}
		other := strictjson.Decode(name, []byte(text), &any)
		for _, part := range restart {
			if other.Has(part) {
				doc.Fail("", "%s is not changed in service: it takes a restart", part)
			}
		}
	}
	doc.Defects.Sort()
	if err := doc.Defects.Err(); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Live) check(doc *strictjson.Doc) {
	if l.Log != nil {
		checker{doc, "log"}.oneOf("level", l.Log.Level, "debug", "info", "warn", "error")
		if l.Log.Format != "" {
			doc.Fail("log.format", "the form of the log takes a restart")
		}
	}
	if x := l.Limits; x != nil {
		c := checker{doc, "limits"}
		c.count("requests", &x.Requests, 4096, 1, 1<<20)
		c.count("streams_per_connection", &x.Streams, 32, 1, 1000)
		c.within("connect_ms", &x.Connect, 400, 1, 60_000)
		c.within("idle_ms", &x.Idle, 30_000, 0, day)
	}
	if l.Signed != nil {
		checker{doc, "signed"}.within("leeway_ms", &l.Signed.LeewayMs, 0, 0, day)
	}
	if l.Keys == nil {
		return
	}
	l.Ring = KeyRing{}
	for kid, k := range l.Keys {
		data, err := base64.StdEncoding.DecodeString(k.Key)
		if err != nil || len(data) == 0 {
			doc.Fail("keys."+kid+".key", "key %q is not base64", kid)
		}
		checker{doc, "keys." + kid}.oneOf("alg", k.Alg, "HS256", "ES256", "EdDSA")
		l.Ring[kid] = store.Key{Alg: k.Alg, Data: data}
	}
}
