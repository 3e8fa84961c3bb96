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
	// maxRemembered is how many members are remembered over a restart.
	maxRemembered = 16
	// rememberedFile is the file in which they are stored, as a JSON list of strings "name/host:port".
	rememberedFile = "peers.known"
)

// rememberedMembers are members that were alive when this process ran last, for a start at which all seeds are gone. They are selected by a
// hash of both names, so that the file changes only when those members do, and hundreds of processes that start together do not all
// join the same ones.
type rememberedMembers struct {
	path      string   // empty: they are not stored
	addresses []string // as memberlist joins them
}

// loadRemembered reads the file in a directory. One that is missing or malformed counts as empty, as it is written anew.
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

// validAddress reports whether an address is "name/host:port" with an IP address: no other one was written.
func validAddress(s string) bool {
	name, address, _ := strings.Cut(s, "/")
	host, _, err := net.SplitHostPort(address)
	return name != "" && err == nil && net.ParseIP(host) != nil
}

// save stores members that are alive, if they are others than before; alive is reordered. A process that is alone keeps what it has, as it
// may be the one that is cut off.
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
