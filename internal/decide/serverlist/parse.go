// Package serverlist turns the text of server lists into one checked set, or into defects with file, line and
// column. A set is taken whole or not at all. The package owns the form of the lists, what makes a set complete, and
// which change of it is believed; it opens no file and asks no resolver: texts and answers come in.
//
// One file:
//
//	{
//	  "generation": 7,           // above that of the list before
//	  "servers": [
//	    {"id": "s-00000001", "addr": "127.0.10.1:4100", "zone": "bangkok", "kind": "small", "weight": 4},
//	  ],
//	  "end": 7                   // the generation once more: a file that is written in place is torn until then
//	}
//
// Or a directory of parts, each with "servers" alone, bound by a manifest.jsonc with the generation and the parts'
// hashes.
package serverlist

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"path"
	"slices"
	"strconv"
	"strings"

	"ravenwheel/internal/strictjson"
	"ravenwheel/policy"
)

// ManifestName is the file that binds the parts in a directory.
const ManifestName = "manifest.jsonc"

// File is one text, under the name that defects show.
type File struct {
	Name string
	Data []byte
}

// Requirements are what a list is held against. Where Zones or Kinds is empty, every name will do.
type Requirements struct {
	Zones, Kinds           []string
	ParentKind, OriginKind string
	// Clients are the zones with clients: each needs a ready cache.
	Clients []string
	// Writes: there are classes that run at the origin, so that one is needed.
	Writes bool
	// MaxDropped is the share of the ready servers that one list may take out of use, unless it says "force": true.
	// A list cut short by hand looks like one that means it.
	MaxDropped float64
}

// Server is one entry, checked.
type Server struct {
	ID        policy.CacheID `cbor:"ID" json:"ID"`
	Host      string         `cbor:"Host" json:"Host"` // in small letters, without a dot at its end
	Port      int            `cbor:"Port" json:"Port"`
	Addr      string         `cbor:"Addr" json:"Addr"` // host and port as they are dialled; set by Settle
	Zone      string         `cbor:"Zone" json:"Zone"`
	Kind      string         `cbor:"Kind" json:"Kind"`
	Cell      int            `cbor:"Cell" json:"Cell"`
	Draining  bool           `cbor:"Draining" json:"Draining"`
	Weight    float64        `cbor:"Weight" json:"Weight"`
	StartedMs float64        `cbor:"Started" json:"Started"` // Unix ms; 0: not told
	Warm      bool           `cbor:"Warm" json:"Warm"`

	place place
}

// place is where an entry stands.
type place struct {
	doc  *strictjson.Doc
	path string
}

// Draft is a set that is complete and sound in itself. Names of hosts are not resolved yet, and it has not been held
// against the set before it.
type Draft struct {
	Generation uint64
	Force      bool
	Servers    []Server // by id

	facts Requirements
	docs  []*strictjson.Doc
	head  place
}

// Bounds of the figures in a list.
const (
	mostServers = 100_000
	mostWeight  = 1e6
	mostCell    = math.MaxUint16
	mostParts   = 1000
	mostName    = 253 // of a host, RFC 1035
)

type listForm struct {
	Generation *uint64     `json:"generation"`
	Force      bool        `json:"force"`
	Servers    []entryForm `json:"servers"`
	End        *uint64     `json:"end"`
}

type partForm struct {
	Servers []entryForm `json:"servers"`
}

type manifestForm struct {
	Generation *uint64     `json:"generation"`
	Force      bool        `json:"force"`
	Parts      []partEntry `json:"parts"`
	End        *uint64     `json:"end"`
}

type partEntry struct {
	File   string `json:"file"`
	SHA256 string `json:"sha256"`
}

type entryForm struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell,omitempty"`
	State   string  `json:"state,omitempty"` // ready (or absent) or draining
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms,omitempty"`
	Warm    bool    `json:"warm,omitempty"`
}

// Parse reads one list file, or a manifest and its parts (any file named manifest.jsonc makes it that).
func Parse(files []File, facts Requirements) (*Draft, strictjson.Defects) {
	d := &Draft{facts: facts}
	d.read(files)
	if d.defects() == nil {
		d.check()
	}
	if bad := d.defects(); bad != nil {
		return nil, bad
	}
	slices.SortFunc(d.Servers, func(a, b Server) int { return int(int64(a.ID) - int64(b.ID)) })
	return d, nil
}

func (d *Draft) defects() strictjson.Defects {
	var all strictjson.Defects
	for _, doc := range d.docs {
		all = append(all, doc.Defects...)
	}
	all.Sort()
	return all
}

func (d *Draft) decode(f File, into any) *strictjson.Doc {
	doc := strictjson.Decode(f.Name, f.Data, into)
	d.docs = append(d.docs, doc)
	return doc
}

// whole notes a head, and whether its file is whole: its end must say what its beginning says.
func (d *Draft) whole(doc *strictjson.Doc, generation, end *uint64, force bool) {
	d.head, d.Force = place{doc, "generation"}, force
	if !doc.Ok() {
		return
	}
	switch {
	case generation == nil:
		doc.Fail("generation", "generation is missing")
	case *generation == 0:
		doc.Fail("generation", "generation counts from 1")
	case end == nil:
		doc.Fail("end", "end is missing: it gives the generation once more, behind all else")
	case *end != *generation:
		doc.Fail("end", "end says %d, generation %d: the file is half written", *end, *generation)
	default:
		d.Generation = *generation
	}
}

func (d *Draft) read(files []File) {
	manifest := slices.IndexFunc(files, func(f File) bool { return path.Base(f.Name) == ManifestName })
	switch {
	case manifest >= 0:
		d.readParts(files[manifest], files)
	case len(files) == 1:
		var l listForm
		doc := d.decode(files[0], &l)
		d.whole(doc, l.Generation, l.End, l.Force)
		d.add(doc, l.Servers)
	case len(files) == 0:
		d.decode(File{Name: "the list"}, &listForm{})
	default:
		d.docs = append(d.docs, strictjson.Decode(path.Dir(files[0].Name), []byte("{}"), &listForm{}))
		d.docs[0].Fail("?", "%d files and no %s to bind them", len(files), ManifestName)
	}
}

// readParts reads the parts that a manifest names. Each must be there, as it was when the manifest was written.
func (d *Draft) readParts(head File, files []File) {
	var m manifestForm
	doc := d.decode(head, &m)
	d.whole(doc, m.Generation, m.End, m.Force)
	if !doc.Ok() {
		return
	}
	if len(m.Parts) == 0 || len(m.Parts) > mostParts {
		doc.Fail("parts", "wants 1 to %d parts, not %d", mostParts, len(m.Parts))
		return
	}
	named := map[string]bool{}
	for i, p := range m.Parts {
		at := fmt.Sprintf("parts[%d]", i)
		n := slices.IndexFunc(files, func(f File) bool { return path.Base(f.Name) == p.File })
		switch {
		case p.File == "" || p.File != path.Base(p.File) || p.File == ManifestName:
			doc.Fail(at+".file", "%q is no part of this directory", p.File)
			continue
		case named[p.File]:
			doc.Fail(at+".file", "%s is named twice", p.File)
			continue
		case n < 0:
			doc.Fail(at+".file", "%s is not there", p.File)
			continue
		}
		named[p.File] = true
		sum := sha256.Sum256(files[n].Data)
		if want, err := hex.DecodeString(p.SHA256); err != nil || len(want) != len(sum) {
			doc.Fail(at+".sha256", "wants 64 hexadecimal digits")
			continue
		} else if !slices.Equal(want, sum[:]) {
			doc.Fail(at+".sha256", "%s has the hash %x: it is not the part that was meant", p.File, sum[:6])
			continue
		}
		var part partForm
		pd := d.decode(files[n], &part)
		d.add(pd, part.Servers)
	}
}

// add takes the entries of one file.
func (d *Draft) add(doc *strictjson.Doc, entries []entryForm) {
	if !doc.Ok() {
		return
	}
	if !doc.Has("servers") {
		doc.Fail("servers", "servers is missing")
		return
	}
	if len(d.Servers)+len(entries) > mostServers {
		doc.Fail("servers", "more than %d servers", mostServers)
		return
	}
	for i, e := range entries {
		p := place{doc, "servers[" + strconv.Itoa(i) + "]"}
		if s, ok := d.entry(p, e); ok {
			d.Servers = append(d.Servers, s)
		}
	}
}

// entry checks one entry by itself.
func (d *Draft) entry(p place, e entryForm) (s Server, ok bool) {
	ok = true
	fail := func(field, format string, args ...any) {
		ok = false
		p.doc.Fail(p.path+"."+field, format, args...)
	}
	if s.ID, ok = readID(e.ID); !ok {
		fail("id", "id %q is not of the form s-00c41f7a", e.ID)
	}
	var err string
	if s.Host, s.Port, err = readAddr(e.Addr); err != "" {
		fail("addr", "addr %q %s", e.Addr, err)
	}
	if e.Zone == "" || len(d.facts.Zones) > 0 && !slices.Contains(d.facts.Zones, e.Zone) {
		fail("zone", "unknown zone %q", e.Zone)
	}
	if e.Kind == "" || len(d.facts.Kinds) > 0 && !slices.Contains(d.facts.Kinds, e.Kind) {
		fail("kind", "unknown kind %q", e.Kind)
	}
	if e.State != "" && e.State != "ready" && e.State != "draining" {
		fail("state", "state %q is neither ready nor draining", e.State)
	}
	if !p.doc.Has(p.path + ".weight") {
		fail("weight", "weight is missing")
	} else if !(e.Weight > 0 && e.Weight <= mostWeight) {
		fail("weight", "weight %v is not above 0 and at most %v", e.Weight, float64(mostWeight))
	}
	if e.Cell < 0 || e.Cell > mostCell {
		fail("cell", "cell %d is not 0 to %d", e.Cell, mostCell)
	}
	if e.Started < 0 || e.Started > 1e15 {
		fail("started_ms", "started_ms %v is no time in Unix milliseconds", e.Started)
	}
	if e.Warm && e.Started > 0 {
		fail("warm", "warm contradicts started_ms")
	}
	s.Zone, s.Kind, s.Cell, s.Draining, s.Weight = e.Zone, e.Kind, e.Cell, e.State == "draining", e.Weight
	s.StartedMs, s.Warm, s.place = e.Started, e.Warm, p
	return s, ok
}

// readID reads an id as the cache servers' protocol writes it.
func readID(text string) (policy.CacheID, bool) {
	digits, found := strings.CutPrefix(text, "s-")
	n, err := strconv.ParseUint(digits, 16, 32)
	// Guards against spellings that differ: the same id in capitals would pass for another.
	return policy.CacheID(n), found && err == nil && text == FormatID(policy.CacheID(n))
}

// ParseID reads an id as Name writes it.
func ParseID(text string) (policy.CacheID, bool) { return readID(text) }

// FormatID is a server's id as lists and the protocol write it.
func FormatID(id policy.CacheID) string { return fmt.Sprintf("s-%08x", uint64(id)) }

// readAddr reads HOST:PORT, with the host in the one spelling that names are compared in.
func readAddr(text string) (host string, port int, err string) {
	i := strings.LastIndexByte(text, ':')
	if i < 0 {
		return "", 0, "has no port"
	}
	host, digits := text[:i], text[i+1:]
	n, bad := strconv.ParseUint(digits, 10, 16)
	if bad != nil || n == 0 {
		return "", 0, fmt.Sprintf("has no port from 1 to 65535 but %q", digits)
	}
	if inner, ok := strings.CutPrefix(host, "["); ok {
		if host, ok = strings.CutSuffix(inner, "]"); !ok || !strings.Contains(host, ":") {
			return "", 0, "has brackets that hold no IPv6 address"
		}
		return strings.ToLower(host), int(n), ""
	}
	host = strings.TrimSuffix(strings.ToLower(host), ".")
	switch {
	case host == "":
		return "", 0, "has no host"
	case len(host) > mostName:
		return "", 0, "has a host of more than 253 characters"
	}
	for _, label := range strings.Split(host, ".") {
		if label == "" || len(label) > 63 || label[0] == '-' || label[len(label)-1] == '-' || strings.Trim(label, labelChars) != "" {
			return "", 0, "has no host that can be looked up"
		}
	}
	return host, int(n), ""
}

const labelChars = "abcdefghijklmnopqrstuvwxyz0123456789-_"

// check holds the entries against one another, and the set against what the proxy needs.
func (d *Draft) check() {
	ids, addrs := map[policy.CacheID]*Server{}, map[string]*Server{}
	caches, origins := map[string]int{}, 0
	for i := range d.Servers {
		s := &d.Servers[i]
		if o := ids[s.ID]; o != nil {
			s.place.doc.Fail(s.place.path+".id", "id %s is that of %s too", FormatID(s.ID), o.place)
		} else {
			ids[s.ID] = s
		}
		at := s.Host + ":" + strconv.Itoa(s.Port)
		if o := addrs[at]; o != nil {
			s.place.doc.Fail(s.place.path+".addr", "%s is the address of %s at %s too", at, FormatID(o.ID), o.place)
		} else {
			addrs[at] = s
		}
		switch {
		case s.Draining:
		case s.Kind == d.facts.OriginKind:
			origins++
		case s.Kind != d.facts.ParentKind:
			caches[s.Zone]++
		}
	}
	if d.facts.Writes && origins == 0 {
		d.head.doc.Fail("servers", "no ready server of kind %q, and there are classes that write", d.facts.OriginKind)
	}
	for _, z := range d.facts.Clients {
		if caches[z] == 0 {
			d.head.doc.Fail("servers", "no ready cache in zone %q, which has clients", z)
		}
	}
}

// String names the place of an entry, for the defect of another one.
func (p place) String() string { return p.doc.File + ":" + p.doc.Place(p.path) }
