package config

import (
	"fmt"
	"os"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/memory"
	"ravenwheel/internal/store"
	"ravenwheel/internal/strictjson"
)

// Store configures this process as a member of the replicated store. Without a name, the store has no other members and is
// kept in memory.
type Store struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`   // address for other members, over mutual TLS
	Peers     []store.Member `json:"peers"`    // all members of a new cluster, including this one
	Join      string         `json:"join"`     // instead of Peers: address of a member of the cluster to join
	Dir       string         `json:"dir"`      // directory of the log
	Identity  string         `json:"identity"` // directory of ca.crt, NAME.crt and NAME.key
	TimeoutMs float64        `json:"timeout_ms"`
}

// Timeout returns how long a change of the store may take.
func (s *Store) Timeout() time.Duration { return clock.Duration(s.TimeoutMs) }

// Open starts this member of the store. onChange and account are passed on as store.Options.OnChange and
// Memory. The error is that of reading the
// identity, of creating the directory, or of store.Open.
func (s *Store) Open(clk *clock.Clock, onChange func(storestate.Change), account *memory.Account) (*store.Store, error) {
	options := store.Options{
		Timeout: s.Timeout(), Clock: clk, Peers: s.Peers, Join: s.Join, Dir: s.Dir, OnChange: onChange, Memory: account,
	}
	if s.Name == "" {
		return store.Open(options)
	}
	identity, err := store.LoadIdentity(s.Identity, s.Name)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return nil, err
	}
	options.Self, options.Identity = store.Member{Name: s.Name, Addr: s.Listen}, identity
	return store.Open(options)
}

func (f *OperatorFile) checkStore(doc *strictjson.Document) {
	c := checker{doc, "store"}
	c.number("timeout_ms", &f.Store.TimeoutMs, valueRange{2000, 10, 60_000})
	if f.Store.Name == "" {
		f.Store.checkUnnamed(c)
	} else {
		f.Store.checkMember(c)
	}
}

// checkUnnamed reports fields that only a member of a cluster may have.
func (s *Store) checkUnnamed(c checker) {
	for _, field := range []string{"listen", "peers", "join", "dir", "identity"} {
		if c.doc.Has(c.path(field)) {
			c.doc.Failf(c.path(field), "%s is only allowed with name: a store without a name has no other members and is in memory", field)
		}
	}
}

func (s *Store) checkMember(c checker) {
	c.address("listen", s.Listen, false)
	c.required("dir", s.Dir)
	c.required("identity", s.Identity)
	if (len(s.Peers) == 0) == (s.Join == "") {
		c.doc.Failf(c.part, "store needs either peers, all members of a new cluster, or join, the address of a member of an existing cluster")
	}
	if s.Join != "" {
		c.address("join", s.Join, false)
	}
	listed := len(s.Peers) == 0
	for i, peer := range s.Peers {
		checker{c.doc, fmt.Sprintf("store.peers[%d]", i)}.address("addr", peer.Addr, false)
		listed = listed || peer.Name == s.Name && peer.Addr == s.Listen
	}
	if !listed {
		c.doc.Failf("store.peers", "peers must include this member: %q at %s", s.Name, s.Listen)
	}
}
