package peers

import (
	"cmp"
	"encoding/json"
	"errors"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	// maxRemembered is the number of members that are remembered across a restart.
	maxRemembered = 16
	// rememberedFile is the name of the file that holds them, as a JSON list of strings "name/host:port".
	rememberedFile = "peers.known"
)

// rememberedMembers are members that were alive when this process last ran, for a start at which no seed answers. They are selected
// by a hash of the names of both processes, so that the file changes only when these members do, and hundreds of processes that
// start together do not all join the same members.
type rememberedMembers struct {
	path      string   // of the file; empty: the members are not stored
	addresses []string // in the form that memberlist.Join takes
}

// loadRemembered reads the file in a directory. A file that is missing or malformed counts as empty, because save writes a new one.
func loadRemembered(dir string) (r rememberedMembers) {
	if dir == "" {
		return r
	}
	r.path = filepath.Join(dir, rememberedFile)
	raw, err := os.ReadFile(r.path)
	if err != nil || json.Unmarshal(raw, &r.addresses) != nil {
		return rememberedMembers{path: r.path}
	}
	r.addresses = slices.DeleteFunc(r.addresses, func(s string) bool { return !validAddress(s) })
	r.addresses = r.addresses[:min(maxRemembered, len(r.addresses))]
	return r
}

// validAddress reports whether an entry has the form "name/host:port" with an IP address. save writes no others.
func validAddress(s string) bool {
	name, address, _ := strings.Cut(s, "/")
	host, _, err := net.SplitHostPort(address)
	return name != "" && err == nil && net.ParseIP(host) != nil
}

// save stores the members to remember if they differ from those that are stored. It reorders alive, the members that are alive. If
// no other member is alive, the file stays as it is, because this process may be cut off from the others.
func (r *rememberedMembers) save(self string, alive []Member) error {
	if r.path == "" || len(alive) == 0 {
		return nil
	}
	rank := func(m Member) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(self + "/" + m.Name))
		return h.Sum64()
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	addresses := make([]string, 0, maxRemembered)
	for _, m := range alive[:min(maxRemembered, len(alive))] {
		addresses = append(addresses, m.Name+"/"+m.Addr)
	}
	if slices.Equal(addresses, r.addresses) {
		return nil
	}
	raw, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	r.addresses = addresses
	return errors.Join(os.WriteFile(r.path+".new", raw, 0o600), os.Rename(r.path+".new", r.path))
}
