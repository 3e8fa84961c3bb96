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

// ManifestName is the name of the file that binds the parts in a directory.
const ManifestName = "manifest.jsonc"

// Bounds of a list.
const (
	maxServers = 100_000
	maxParts   = 1000
)

// File is one text, under the name that defects show.
type File struct {
	Name string
	Data []byte
}

// Requirements are what a list is checked against. Where Zones or Kinds is empty, every name is valid.
type Requirements struct {
	Zones, Kinds           []string
	ParentKind, OriginKind string
	// ClientZones are the zones with clients: each needs a ready cache.
	ClientZones []string
	// Writes: there are classes of requests that run at the origin, so that one is needed.
	OriginRequired bool
	// MaxDropped is the fraction of the ready servers that one list may take out of use, unless it says "force": true.
	// Otherwise a list that was cut short by mistake would be applied. 0, or 1 and more: no bound.
	MaxDropped float64
}

// Draft is a list that is complete and valid in itself. Its hosts are not resolved yet, and it has not been compared with
// the list in use: see Resolve.
type Draft struct {
	Generation uint64
	Force      bool     // MaxDropped does not apply
	Servers    []Server // by id

	requirements Requirements
	docs         []*strictjson.Document
	header       location // of the generation
}

// location is where an entry or a field stands.
type location struct {
	doc  *strictjson.Document
	path string
}

// String names the location for the defect of another entry.
func (l location) String() string { return l.doc.File + ":" + l.doc.Position(l.path) }

// fail notes a defect of a field of the entry there.
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

// Parse reads one list file, or a manifest (a file named ManifestName) and its parts. It returns a draft, or all defects.
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

// Unresolved returns the draft as a list without addresses, for comparing lists where no resolver is.
func (d *Draft) Unresolved() *List { return NewList(d.Generation, d.Servers) }

func (d *Draft) defects() strictjson.Defects {
	var all strictjson.Defects
	for _, doc := range d.docs {
		all = append(all, doc.Defects...)
	}
	all.Sort()
	return all
}

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
		doc.Failf("?", "%d files and no %s to bind them", len(files), ManifestName)
	}
}

// readHeader reads the generation, and checks that the file is complete: its end must repeat the generation.
func (d *Draft) readHeader(doc *strictjson.Document, generation, end *uint64, force bool) {
	d.header, d.Force = location{doc, "generation"}, force
	if !doc.Valid() {
		return
	}
	switch {
	case generation == nil:
		doc.Failf("generation", "generation is missing")
	case *generation == 0:
		doc.Failf("generation", "generation counts from 1")
	case end == nil:
		doc.Failf("end", "end is missing: it gives the generation once more, behind all else")
	case *end != *generation:
		doc.Failf("end", "end says %d, generation %d: the file is half written", *end, *generation)
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
		doc.Failf("parts", "wants 1 to %d parts, not %d", maxParts, len(m.Parts))
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

// findPart returns the file of a part. It must be there, unchanged since the manifest was written. named are the parts
// found before.
func findPart(loc location, info partInfo, files []File, seen map[string]bool) (f File, ok bool) {
	i := slices.IndexFunc(files, func(f File) bool { return path.Base(f.Name) == info.File })
	switch {
	case info.File == "" || info.File != path.Base(info.File) || info.File == ManifestName:
		loc.fail("file", "%q is no part of this directory", info.File)
		return f, false
	case seen[info.File]:
		loc.fail("file", "%s is named twice", info.File)
		return f, false
	case i < 0:
		loc.fail("file", "%s is not there", info.File)
		return f, false
	}
	seen[info.File] = true
	sum := sha256.Sum256(files[i].Data)
	want, err := hex.DecodeString(info.SHA256)
	switch {
	case err != nil || len(want) != len(sum):
		loc.fail("sha256", "wants 64 hexadecimal digits")
		return f, false
	case !slices.Equal(want, sum[:]):
		loc.fail("sha256", "%s has the hash %x: it is not the part that was meant", info.File, sum[:6])
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
