// Package serverlist turns the text of server lists into one checked List, or into defects with file, line and column.
// A list is accepted as a whole or not at all. The package defines the format of the list files, when a list is complete,
// and which changes of a list are accepted. It opens no file and resolves no name: texts and addresses are passed in. Its
// decisions are tested in this package.
//
// A list is one file:
//
//	{
//	  "generation": 7,           // higher than that of the list before
//	  "servers": [
//	    {"id": "s-00000001", "addr": "127.0.10.1:4100", "zone": "bangkok", "kind": "small", "weight": 4},
//	  ],
//	  "end": 7                   // the generation again: a file that is being written has no end yet
//	}
//
// Or it is a directory of parts, each with "servers" alone, and a manifest.jsonc with the generation and the parts'
// hashes.
package serverlist

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ravenwheel/policy"
)

// Server is one checked entry. It is stored with the names in its tags.
type Server struct {
	ID        policy.ServerID `cbor:"ID" json:"ID"`
	Host      string          `cbor:"Host" json:"Host"` // in lower case, without brackets or a dot at its end
	Port      int             `cbor:"Port" json:"Port"`
	Addr      string          `cbor:"Addr" json:"Addr"` // address:port, as dialled; set by Draft.Resolve
	Zone      string          `cbor:"Zone" json:"Zone"`
	Kind      string          `cbor:"Kind" json:"Kind"`
	Cell      int             `cbor:"Cell" json:"Cell"`
	Draining  bool            `cbor:"Draining" json:"Draining"`
	Weight    float64         `cbor:"Weight" json:"Weight"`
	StartedMs float64         `cbor:"Started" json:"Started"` // Unix ms; 0: not known
	Warm      bool            `cbor:"Warm" json:"Warm"`       // its cache is filled already: no slow start

	location location // of the entry; used only while it is checked
}

// List is a checked list with addresses. It is immutable.
type List struct {
	Generation uint64
	Servers    []Server // sorted by id
	Sum        uint64   // hash of the servers, which does not depend on the layout of their files
}

// NewList returns a list from its stored generation and servers, which were accepted before.
func NewList(generation uint64, servers []Server) *List {
	return &List{Generation: generation, Servers: servers, Sum: hashServers(servers)}
}

func hashServers(servers []Server) uint64 {
	h := xxhash.New()
	var b []byte
	for _, s := range servers {
		b = binary.BigEndian.AppendUint64(b[:0], uint64(s.ID))
		b = fmt.Appendf(b, "%s\x00%s\x00%s\x00%s\x00%d %v %v %v %v",
			s.Host, s.Addr, s.Zone, s.Kind, s.Cell, s.Draining, s.Weight, s.StartedMs, s.Warm)
		_, _ = h.Write(b)
	}
	return h.Sum64()
}

// FormatID returns a server's id as list files and the protocol write it.
func FormatID(id policy.ServerID) string { return fmt.Sprintf("s-%08x", uint64(id)) }

// ParseID parses an id as FormatID writes it. No other spelling is accepted: an id with capitals would look like another id.
func ParseID(text string) (id policy.ServerID, ok bool) {
	digits, found := strings.CutPrefix(text, "s-")
	n, err := strconv.ParseUint(digits, 16, 32)
	id = policy.ServerID(n)
	return id, found && err == nil && text == FormatID(id)
}

// joinHostPort returns host:port, with an IPv6 address in brackets.
func joinHostPort(host string, port int) string {
	if strings.Contains(host, ":") {
		host = "[" + host + "]"
	}
	return host + ":" + strconv.Itoa(port)
}
