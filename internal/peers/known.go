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

// mostKnown members are remembered over a restart.
const maxRemembered = 16

// known are members that were alive when this process ran last, for a start at which every seed is gone: name and address, as
// memberlist joins them. Which of them is drawn by both names, so that the file changes only where those members do, and
// hundreds that start together don't all ask the same ones.
type rememberedMembers struct {
	path      string // empty: nowhere to keep them
	addresses []string
}

func loadRemembered(dir string) (k rememberedMembers) {
	if dir == "" {
		return k
	}
	k.path = filepath.Join(dir, "peers.known")
	raw, err := os.ReadFile(k.path)
	if err != nil || json.Unmarshal(raw, &k.addresses) != nil {
		return rememberedMembers{path: k.path} // it is a help, and made anew
	}
	k.addresses = slices.DeleteFunc(k.addresses, func(s string) bool { return !validAddress(s) })
	k.addresses = k.addresses[:min(maxRemembered, len(k.addresses))]
	return k
}

// joinable tells whether a line is "name/host:port", with an address and no name of a host: nothing else was written.
func validAddress(s string) bool {
	name, addr, _ := strings.Cut(s, "/")
	host, _, err := net.SplitHostPort(addr)
	return name != "" && err == nil && net.ParseIP(host) != nil
}

// keep writes the members of now, where they are others. One that is alone keeps what it has: it may be the one cut off.
func (k *rememberedMembers) save(self string, alive []Member) error {
	if k.path == "" || len(alive) == 0 {
		return nil
	}
	rank := func(m Member) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(self + "/" + m.Name))
		return h.Sum64()
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	list := make([]string, 0, maxRemembered)
	for _, m := range alive[:min(maxRemembered, len(alive))] {
		list = append(list, m.Name+"/"+m.Addr)
	}
	if slices.Equal(list, k.addresses) {
		return nil
	}
	raw, err := json.Marshal(list)
	if err != nil {
		return err
	}
	k.addresses = list
	return errors.Join(os.WriteFile(k.path+".new", raw, 0o600), os.Rename(k.path+".new", k.path))
}
