package storestate

import (
	"math"

	"ravenwheel/internal/decide/serverlist"
)

// Kind is what a change does.
type Kind int

// The kinds. Their numbers are stored: new kinds are added at the end.
const (
	SpendToken  Kind = iota + 1 // Name is a token id that may be used once, ExpiresAt the end of its token
	PutKey                      // Name is a key id, Key the key
	DeleteKey                   // Name is a key id
	RevokeToken                 // Name is a token id, ExpiresAt the end of its token
	SetConfig                   // Text replaces that of BaseRevision
	SetList                     // Name is the list's, List the list
	StartDrain                  // Name is a server's
	EndDrain                    // Name is a server's
	AddPurge                    // Purge is the purge, ExpiresAt when it can no longer match a copy
)

// Key is a signing key. Its algorithm is fixed with it.
type Key struct {
	Alg  string `cbor:"1,keyasint" json:"alg"`
	Data []byte `cbor:"2,keyasint" json:"key"` // PKIX DER of a public key, or an HMAC secret
}

// List is a server list.
type List struct {
	Generation uint64              `cbor:"1,keyasint" json:"generation"`
	Servers    []serverlist.Server `cbor:"2,keyasint" json:"servers"`
}

// Purge voids all copies of an object, or of a group's objects, that were made before a time.
type Purge struct {
	Object    string  `cbor:"1,keyasint,omitempty" json:"object,omitempty"` // empty: the purge is of a group
	Group     int     `cbor:"2,keyasint,omitempty" json:"group,omitempty"`
	IssuedAt  float64 `cbor:"3,keyasint" json:"made_ms"`            // copies made before this time are void
	ExpiresAt float64 `cbor:"4,keyasint,omitempty" json:"until_ms"` // from then on no older copy can be left; ignored in a Change, which has its own
}

// Change is one entry of the log. Which fields count depends on its kind.
type Change struct {
	ID           string  `cbor:"1,keyasint"` // the same whenever the change is submitted again; empty: not deduplicated
	ProposedAt   float64 `cbor:"2,keyasint"` // by the proposer's clock
	Kind         Kind    `cbor:"3,keyasint"`
	Name         string  `cbor:"4,keyasint,omitempty"`
	ExpiresAt    float64 `cbor:"5,keyasint,omitempty"`
	Key          *Key    `cbor:"6,keyasint,omitempty"`
	BaseRevision uint64  `cbor:"7,keyasint,omitempty"` // of the configuration: the revision that Text was derived from
	Text         string  `cbor:"8,keyasint,omitempty"` // of the configuration
	Author       string  `cbor:"9,keyasint,omitempty"` // of the configuration
	List         *List   `cbor:"10,keyasint,omitempty"`
	Purge        *Purge  `cbor:"11,keyasint,omitempty"`
}

// Verdict is the outcome of a change.
type Verdict int

// The verdicts. Their numbers are stored: new ones are added at the end.
const (
	OK           Verdict = iota
	AlreadySpent         // the token id was used before
	Conflict             // the configuration has another revision than BaseRevision
	Stale                // the list is of an earlier generation, or of the same with other servers
	Invalid              // this version can't apply the change
)

// Result is the outcome of a change and, for one of the configuration, the revision that it made or conflicted with.
type Result struct {
	Verdict  Verdict `cbor:"1,keyasint"`
	Revision uint64  `cbor:"2,keyasint,omitempty"`
}

// FactKey returns the key in State.FactIndexes of the fact that a kind of change sets under a name. The facts are the purges,
// drains and lists, each by its name, and the configuration. The key is empty for kinds that set none.
func FactKey(kind Kind, name string) string {
	switch kind {
	case AddPurge:
		return "purge " + name
	case StartDrain:
		return "drain " + name
	case SetList:
		return "list " + name
	case SetConfig:
		return "config"
	}
	return ""
}

func allFinite(times ...float64) bool {
	for _, t := range times {
		if math.IsNaN(t) || math.IsInf(t, 0) {
			return false
		}
	}
	return true
}
