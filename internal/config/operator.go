package config

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"ravenwheel/internal/store"
)

// Operator is the file that sets up what is off on the platform. A part that is absent stays off.
type Operator struct {
	Signed *struct {
		Listen   string  `json:"listen"`
		Audience string  `json:"audience"`
		LeewayMs float64 `json:"leeway_ms"`
		Keys     map[string]struct {
			Alg string `json:"alg"`
			Key string `json:"key"` // base64: PKIX DER of a public key, or an HMAC secret
		} `json:"keys"` // put into the store at the start
	} `json:"signed"`
	Store struct {
		Self      store.Peer   `json:"self"`
		Peers     []store.Peer `json:"peers"`
		Dir       string       `json:"dir"`
		TimeoutMs float64      `json:"timeout_ms"`
	} `json:"store"`
	SNMP *struct {
		Listen    string `json:"listen"`
		Community string `json:"community"`
	} `json:"snmp"`
}

// LoadOperator reads an operator's file; with no path all of it is off.
func LoadOperator(path string) (*Operator, error) {
	o := &Operator{}
	if path == "" {
		return o, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, o); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s := o.Signed; s != nil && (s.Listen == "" || s.Audience == "" || s.LeewayMs < 0) {
		return nil, fmt.Errorf("%s: signed needs listen, audience and a leeway of 0 or more", path)
	}
	if s := o.SNMP; s != nil && (s.Listen == "" || s.Community == "") {
		return nil, fmt.Errorf("%s: snmp needs listen and community", path)
	}
	if _, err := o.Keys(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

// Keys are the signing keys of the file.
func (o *Operator) Keys() (map[string]store.Key, error) {
	keys := map[string]store.Key{}
	if o.Signed == nil {
		return keys, nil
	}
	for kid, k := range o.Signed.Keys {
		data, err := base64.StdEncoding.DecodeString(k.Key)
		if err != nil || len(data) == 0 || k.Alg != "HS256" && k.Alg != "ES256" && k.Alg != "EdDSA" {
			return nil, fmt.Errorf("key %q: alg must be HS256, ES256 or EdDSA, key base64", kid)
		}
		keys[kid] = store.Key{Alg: k.Alg, Data: data}
	}
	return keys, nil
}

// Timeout is how long a change to the store may take.
func (o *Operator) Timeout() time.Duration {
	return time.Duration(o.Store.TimeoutMs * float64(time.Millisecond))
}
