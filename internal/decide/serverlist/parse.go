package serverlist

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path"
	"slices"
	"strconv"

	"ravenwheel/internal/strictjson"
)

// ManifestName is the name of the file that names the parts of a list in a directory, with their hashes.
const ManifestName = "manifest.jsonc"

// Limits of a list.
const (
	maxServers = 100_000
	maxParts   = 1000
)

// File is the content of one file. Defects show its Name.
type File struct {
	Name string
	Data []byte
}

// Requirements are what a list is checked against. If Zones or Kinds is empty, every name of that sort is valid.
type Requirements struct {
	Zones, Kinds           []string
	ParentKind, OriginKind string
	// ClientZones are the zones that have clients. Each of them needs a ready cache.
	ClientZones []string
	// OriginRequired is true if there are classes of requests that only the origin can serve, as they write.
	OriginRequired bool
	// MaxDropped is the fraction of the ready servers that one list may take out of use, unless the list has "force": true.
	// Without this limit, a list that was cut short by mistake would be applied. 0, or 1 and more: no limit.
	MaxDropped float64
}

// Draft is a list that is complete and valid by itself. Its hosts have not been resolved, and it has not been compared with
// the list in use: Resolve does both.
type Draft struct {
	Generation uint64
	Force      bool     // MaxDropped does not apply
	Servers    []Server // sorted by id

	requirements Requirements
	docs         []*strictjson.Document
	header       location // of the generation
}

// location is the place of an entry or a field in a file.
type location struct {
	doc  *strictjson.Document
	path string
}

// String returns the location as a defect of another entry refers to it.
func (l location) String() string { return l.doc.File + ":" + l.doc.Position(l.path) }

// fail records a defect of a field of the entry at the location.
func (l location) fail(field, format string, args ...any) {
	l.doc.Failf(l.path+"."+field, format, args...)
}

// The JSON forms of list files, parts and manifests.
type (
	listJSON struct {
		Generation *uint64      `json:"generation"`
		Force      bool         `json:"force"`
		Servers    []serverJSON `json:"servers"`
		End        *uint64      `json:"end"`
	}
	partJSON struct {
		Servers []serverJSON `json:"servers"`
	}
	manifestJSON struct {
		Generation *uint64    `json:"generation"`
		Force      bool       `json:"force"`
		Parts      []partInfo `json:"parts"`
		End        *uint64    `json:"end"`
	}
	partInfo struct {
		File   string `json:"file"`
		SHA256 string `json:"sha256"`
	}
	serverJSON struct {
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
)

// Parse decodes and checks one list file, or a manifest (a file named ManifestName) and its parts. It returns a draft, or all
// defects.
func Parse(files []File, requirements Requirements) (*Draft, strictjson.Defects) {
	d := &Draft{requirements: requirements}
	d.read(files)
	if d.defects() == nil {
		d.check()
	}
	if defects := d.defects(); defects != nil {
		return nil, defects
	}
	slices.SortFunc(d.Servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return d, nil
}

// Unresolved returns the draft as a list without addresses, for comparing lists without a resolver.
func (d *Draft) Unresolved() *List { return NewList(d.Generation, d.Servers) }

func (d *Draft) defects() strictjson.Defects {
	var all strictjson.Defects
	for _, doc := range d.docs {
		all = append(all, doc.Defects...)
	}
	all.Sort()
	return all
}

// decode decodes a file and keeps the document, whose defects are those of the draft.
func (d *Draft) decode(f File, into any) *strictjson.Document {
	doc := strictjson.Decode(f.Name, f.Data, into)
	d.docs = append(d.docs, doc)
	return doc
}

func (d *Draft) read(files []File) {
	manifest := slices.IndexFunc(files, func(f File) bool { return path.Base(f.Name) == ManifestName })
	switch {
	case manifest >= 0:
		d.readParts(files[manifest], files)
	case len(files) == 1:
		var l listJSON
		doc := d.decode(files[0], &l)
		d.readHeader(doc, l.Generation, l.End, l.Force)
		d.addServers(doc, l.Servers)
	case len(files) == 0:
		d.decode(File{Name: "the list"}, &listJSON{})
	default:
		doc := d.decode(File{Name: path.Dir(files[0].Name), Data: []byte("{}")}, &listJSON{})
		doc.Failf("?", "%d files, but no %s that names them", len(files), ManifestName)
	}
}

// readHeader reads the generation, and checks that the file is complete: the field end must repeat the generation.
func (d *Draft) readHeader(doc *strictjson.Document, generation, end *uint64, force bool) {
	d.header, d.Force = location{doc, "generation"}, force
	if !doc.Valid() {
		return
	}
	switch {
	case generation == nil:
		doc.Failf("generation", "generation is missing")
	case *generation == 0:
		doc.Failf("generation", "generation is 0, but must be 1 or more")
	case end == nil:
		doc.Failf("end", "end is missing: the last field of the file must repeat the generation")
	case *end != *generation:
		doc.Failf("end", "end is %d, but generation is %d: the file is only partly written", *end, *generation)
	default:
		d.Generation = *generation
	}
}

// readParts reads the parts that a manifest names.
func (d *Draft) readParts(manifest File, files []File) {
	var m manifestJSON
	doc := d.decode(manifest, &m)
	d.readHeader(doc, m.Generation, m.End, m.Force)
	if !doc.Valid() {
		return
	}
	if len(m.Parts) == 0 || len(m.Parts) > maxParts {
		doc.Failf("parts", "has %[2]d parts, but must have 1 to %[1]d", maxParts, len(m.Parts))
		return
	}
	seen := map[string]bool{}
	for i, info := range m.Parts {
		f, ok := findPart(location{doc, fmt.Sprintf("parts[%d]", i)}, info, files, seen)
		if !ok {
			continue
		}
		var part partJSON
		partDoc := d.decode(f, &part)
		d.addServers(partDoc, part.Servers)
	}
}

// findPart returns the file of a part, which must be unchanged since the manifest was written. seen has the parts that were
// found before.
func findPart(loc location, info partInfo, files []File, seen map[string]bool) (f File, ok bool) {
	i := slices.IndexFunc(files, func(f File) bool { return path.Base(f.Name) == info.File })
	switch {
	case info.File == "" || info.File != path.Base(info.File) || info.File == ManifestName:
		loc.fail("file", "%q is not the name of a part in this directory", info.File)
		return f, false
	case seen[info.File]:
		loc.fail("file", "part %s is named twice", info.File)
		return f, false
	case i < 0:
		loc.fail("file", "part %s is missing", info.File)
		return f, false
	}
	seen[info.File] = true
	sum := sha256.Sum256(files[i].Data)
	want, err := hex.DecodeString(info.SHA256)
	switch {
	case err != nil || len(want) != len(sum):
		loc.fail("sha256", "sha256 is not a hash of 64 hexadecimal digits")
		return f, false
	case !slices.Equal(want, sum[:]):
		loc.fail("sha256", "part %s does not match this hash; its own starts with %x", info.File, sum[:6])
		return f, false
	}
	return files[i], true
}

// addServers checks and adds the entries of one file.
func (d *Draft) addServers(doc *strictjson.Document, entries []serverJSON) {
	if !doc.Valid() {
		return
	}
	if !doc.Has("servers") {
		doc.Failf("servers", "servers is missing")
		return
	}
	if len(d.Servers)+len(entries) > maxServers {
		doc.Failf("servers", "more than %d servers", maxServers)
		return
	}
	for i, e := range entries {
		loc := location{doc, "servers[" + strconv.Itoa(i) + "]"}
		if s, ok := checkEntry(loc, e, &d.requirements); ok {
			d.Servers = append(d.Servers, s)
		}
	}
}
