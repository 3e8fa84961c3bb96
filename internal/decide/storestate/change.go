package storestate

import (
	"math"

	"ravenwheel/internal/decide/serverlist"
)

// Kind is what a change does.
type Kind int

// The kinds, with the fields of Change that each one uses. Their numbers are stored, so new kinds are added at the end.
const (
	RedeemToken Kind = iota + 1 // redeems a one-time token: Name is its id, ExpiresAt when it expires
	PutKey                      // adds or replaces a signing key: Name is its id, Key the key
	DeleteKey                   // deletes a signing key: Name is its id
	RevokeToken                 // revokes a token: Name is its id, ExpiresAt when it expires
	SetConfig                   // makes Text the configuration, if BaseRevision is the current revision; Author is who changed it
	SetList                     // replaces a server list: Name is its name, List the new list
	StartDrain                  // starts the drain of a server: Name is its name
	EndDrain                    // ends the drain of a server: Name is its name
	AddPurge                    // adds a purge: Purge is the purge, ExpiresAt when no copy that it matches can be left
)

// Key is a signing key. A token that names the key must be signed with the key's algorithm.
type Key struct {
	Alg  string `cbor:"1,keyasint" json:"alg"`
	Data []byte `cbor:"2,keyasint" json:"key"` // PKIX DER of a public key, or an HMAC secret
}

// List is a server list.
type List struct {
	Generation uint64              `cbor:"1,keyasint" json:"generation"`
	Servers    []serverlist.Server `cbor:"2,keyasint" json:"servers"`
}

// Purge invalidates all cached copies of an object, or of a group's objects, that were made before a time.
type Purge struct {
	Object   string  `cbor:"1,keyasint,omitempty" json:"object,omitempty"` // empty: the purge is of a group
	Group    int     `cbor:"2,keyasint,omitempty" json:"group,omitempty"`
	IssuedAt float64 `cbor:"3,keyasint" json:"made_ms"` // copies made before this time are invalid
	// ExpiresAt is when no copy made before IssuedAt can be left any more. In a Change it is ignored in favour of Change.ExpiresAt.
	ExpiresAt float64 `cbor:"4,keyasint,omitempty" json:"until_ms"`
}

// Change is one entry of the log. Its kind determines which of the fields from Name on are used.
type Change struct {
	ID           string  `cbor:"1,keyasint"` // the same whenever the change is submitted again; empty: not deduplicated
	ProposedAt   float64 `cbor:"2,keyasint"` // by the proposer's clock
	Kind         Kind    `cbor:"3,keyasint"`
	Name         string  `cbor:"4,keyasint,omitempty"`
	ExpiresAt    float64 `cbor:"5,keyasint,omitempty"`
	Key          *Key    `cbor:"6,keyasint,omitempty"`
	BaseRevision uint64  `cbor:"7,keyasint,omitempty"` // revision of the configuration that Text was derived from
	Text         string  `cbor:"8,keyasint,omitempty"` // of the configuration
	Author       string  `cbor:"9,keyasint,omitempty"` // of the configuration's change
	List         *List   `cbor:"10,keyasint,omitempty"`
	Purge        *Purge  `cbor:"11,keyasint,omitempty"`
	// Replayed means that the member had the change on its disk when it was started. It is not encoded.
	Replayed bool `cbor:"-"`
}

// Verdict is the outcome of a change.
type Verdict int

// The verdicts. Their numbers are stored, so new ones are added at the end.
const (
	OK              Verdict = iota
	AlreadyRedeemed         // the one-time token was redeemed before
	Conflict                // BaseRevision is not the current revision of the configuration
	Stale                   // the list's generation is earlier than the stored list's, or the same with other servers
	Invalid                 // this version can't apply the change: unknown kind or encoding, or a missing or non-finite field
)

// Result is the outcome of a change. For a change of the configuration, Revision is the revision that it made or, with verdict
// Conflict, the current one.
type Result struct {
	Verdict  Verdict `cbor:"1,keyasint"`
	Revision uint64  `cbor:"2,keyasint,omitempty"`
}

// FactKey returns the key in State.FactIndexes of the fact that a kind of change sets under a name. A fact is a purge, a drain, a
// list, each with its name, or the configuration. The key is empty for kinds that set no fact.
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

// allFinite reports whether no time is NaN or infinite.
func allFinite(times ...float64) bool {
	for _, t := range times {
		if math.IsNaN(t) || math.IsInf(t, 0) {
			return false
		}
	}
	return true
}
