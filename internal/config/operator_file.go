package config

import (
	"os"
	"path/filepath"

	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
	"ravenwheel/internal/strictjson"
)

// OperatorFile is the file that enables what is off on the platform, as JSON with comments. A part that is absent stays
// off. With "proxy" it holds everything that the platform would configure, and the program runs without the platform.
type OperatorFile struct {
	Proxy        *Proxy        `json:"proxy"`
	Limits       *Limits       `json:"limits"`
	Site         *Site         `json:"site"`
	Classes      []Class       `json:"classes"`
	Servers      *Servers      `json:"servers"`
	Admin        *Admin        `json:"admin"`
	State        *State        `json:"state"`
	Log          Log           `json:"log"`
	Signed       *Signed       `json:"signed"`
	Store        Store         `json:"store"`
	SNMP         *SNMP         `json:"snmp"`
	Peers        *Peers        `json:"peers"`
	Distribution *Distribution `json:"distribution"`

	Path        string       `json:"-"` // of the file; empty: there is none
	SigningKeys KeyRing      `json:"-"` // the decoded keys of Signed
	LogOptions  logs.Options `json:"-"` // what Log says
}

// KeyRing holds signing keys by their key id.
type KeyRing map[string]store.Key

// LoadOperatorFile reads an operator's file. An empty path is a file without any part. The error is that of reading the file,
// or strictjson.Defects.
func LoadOperatorFile(path string) (*OperatorFile, error) {
	if path == "" {
		return &OperatorFile{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseOperatorFile(path, raw)
}

// ParseOperatorFile decodes and validates the text of an operator's file, applies the default values, and resolves relative
// paths against the directory of path. The error is strictjson.Defects: everything that is invalid, by line.
func ParseOperatorFile(path string, raw []byte) (*OperatorFile, error) {
	file := &OperatorFile{Path: path, SigningKeys: KeyRing{}}
	doc := strictjson.Decode(path, raw, file)
	if doc.Valid() {
		file.check(doc)
	}
	doc.Defects.Sort()
	if err := doc.Defects.Err(); err != nil {
		return nil, err
	}
	file.resolvePaths(filepath.Dir(path))
	return file, nil
}

// check validates the parts. Those of a proxy without the platform come first: the deadlines of its classes are the default of
// other values.
func (f *OperatorFile) check(doc *strictjson.Document) {
	f.checkParts(doc)
	if f.Proxy != nil && f.Limits != nil && f.Site != nil {
		f.checkStandalone(doc)
	}
	f.checkServers(doc)
	f.checkAdmin(doc)
	f.checkState(doc)
	f.checkPeers(doc)
	f.checkLog(doc)
	f.checkSigned(doc)
	f.checkStore(doc)
	f.checkDistribution(doc)
	f.checkSNMP(doc)
}

// checkParts reports parts that are missing beside "proxy", and those that make no sense without it.
func (f *OperatorFile) checkParts(doc *strictjson.Document) {
	standalone := f.Proxy != nil
	for _, part := range []struct {
		name  string
		given bool
	}{
		{"limits", f.Limits != nil},
		{"site", f.Site != nil},
		{"classes", len(f.Classes) > 0},
	} {
		switch {
		case part.given && !standalone:
			doc.Failf(part.name, "%s is only allowed with proxy: without it, the platform configures this", part.name)
		case !part.given && standalone:
			doc.Failf("proxy", "proxy needs %s: with proxy, the program runs without the platform", part.name)
		}
	}
	if standalone && f.Servers == nil {
		doc.Failf("proxy", "proxy needs servers: with proxy, there is no discovery that lists them")
	}
}

// resolvePaths makes relative paths relative to a directory. A watched list and a state directory are always given.
func (f *OperatorFile) resolvePaths(dir string) {
	resolve := func(path *string) {
		if !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	if f.Servers != nil {
		resolve(&f.Servers.Path)
	}
	if f.State != nil {
		resolve(&f.State.Dir)
	}
	optional := []*string{&f.Store.Dir, &f.Store.Identity}
	if f.Peers != nil {
		optional = append(optional, &f.Peers.Identity, &f.Peers.Dir)
	}
	if f.Distribution != nil {
		optional = append(optional, &f.Distribution.Identity)
	}
	for _, path := range optional {
		if *path != "" {
			resolve(path)
		}
	}
}
