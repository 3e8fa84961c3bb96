package config

import (
	"os"
	"path/filepath"

	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
	"ravenwheel/internal/strictjson"
)

// OperatorFile is an operator's configuration file, in JSON with comments. It enables features that are off on the platform; a
// feature whose part is absent stays off. With "proxy", the file has everything that the platform would configure, and the
// program runs without the platform.
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

	Path        string       `json:"-"` // of the file; empty: there is no file
	SigningKeys KeyRing      `json:"-"` // the decoded Signed.Keys
	LogOptions  logs.Options `json:"-"` // from Log
}

// KeyRing holds signing keys by their key id.
type KeyRing map[string]store.Key

// LoadOperatorFile reads an operator's file. An empty path gives a file without any part. The error is that of reading the
// file, or strictjson.Defects.
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
// paths against the directory of path. The error is strictjson.Defects, which has everything that is invalid, sorted by line.
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

// check validates all parts. The parts of a proxy without the platform come first, since other defaults depend on the
// deadlines of its classes.
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

// checkParts reports parts that "proxy" needs and that are missing, and parts that are only allowed with "proxy".
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

// resolvePaths resolves relative paths against a directory. Paths that may be empty stay empty: only the path of a watched list
// and the directory of the state are always set.
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
