package multiprocess

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/peers"
	"ravenwheel/internal/store"
)

// seeds are how many processes the others are told of at their start.
const seeds = 3

// setPeers gives each process keys, an address for its peers and an admin address, and has it see those of other zones
// through relays.
func (f *Field) setPeers() error {
	keys := f.Keys()
	if err := store.NewCluster(keys, "field"); err != nil {
		return err
	}
	if err := Each(f.Processes, func(p *Process) error {
		return store.Issue(keys, p.Name)
	}); err != nil {
		return err
	}
	for i, p := range f.Processes {
		// Its other port is not held yet, and the kernel may give the same one again.
		for p.PeerAddr = p.Listen; p.PeerAddr == p.Listen; {
			var err error
			if p.PeerAddr, err = freeAt(f.address(p.Zone, i%f.opt.Processes+1)); err != nil {
				return err
			}
		}
	}
	f.relays = make([]map[string]*relay, f.opt.Zones)
	for z := range f.relays {
		f.relays[z] = map[string]*relay{}
		for i, p := range f.Processes {
			if p.Zone == z {
				continue
			}
			r, err := relayTo(f.address(100+z, 1+p.Zone), p.PeerAddr, f.opt.Seed*1000+uint64(i))
			if err != nil {
				return err
			}
			f.relays[z][p.Name] = r
		}
	}
	for _, p := range f.Processes {
		if err := f.writeOperator(p); err != nil {
			return err
		}
	}
	return nil
}

// Keys is the directory of all keys of a field with peers.
func (f *Field) Keys() string { return filepath.Join(f.opt.Dir, "keys") }

// seen is where processes of a zone find a process.
func (f *Field) seen(zone int, p *Process) string {
	if r := f.relays[zone][p.Name]; r != nil {
		return r.addr()
	}
	return p.PeerAddr
}

func (f *Field) writeOperator(p *Process) error {
	seen, list := map[string]string{}, []string{}
	for _, q := range f.Processes {
		if q.Zone != p.Zone {
			seen[q.Name] = f.seen(p.Zone, q)
		}
	}
	for i := range seeds {
		// Spread over the field, so that every zone has one when there are as many.
		if q := f.Processes[i*len(f.Processes)/seeds]; q != p {
			list = append(list, f.seen(p.Zone, q))
		}
	}
	raw, err := json.Marshal(map[string]any{
		"admin": map[string]any{"listen": p.Admin()},
		"peers": map[string]any{
			"listen": p.PeerAddr, "seeds": list, "as_seen": seen, "identity": f.Keys(), "dir": p.dir,
			"region": fmt.Sprintf("region-%d", p.Zone/4),
		},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, "operator.json")
	p.args = []string{"serve", "--operator", path}
	return os.WriteFile(path, raw, 0o600)
}

// Admin is where a process of a field with peers listens for operators.
func (p *Process) Admin() string { return "unix:" + filepath.Join(p.dir, "admin.sock") }

// Peers is what a process says of its peers.
func (p *Process) Peers() (s peers.Status, err error) {
	err = admin.Call(p.Admin(), "/v1/peers", nil, &s)
	return s, err
}

// Counters are a process's own counts since its start.
func (p *Process) Counters() (n map[string]int64, err error) {
	err = admin.Call(p.Admin(), "/v1/counters", nil, &n)
	return n, err
}

// View is what a process says that all know together; of one server, with who says what.
func (p *Process) View(server string) (v admin.ViewResponse, err error) {
	path := "/v1/view"
	if server != "" {
		path += "?server=" + server
	}
	err = admin.Call(p.Admin(), path, nil, &v)
	return v, err
}

// Brief is what a process says of its peers without naming them.
func (p *Process) Brief() (s peers.Status, err error) {
	err = admin.Call(p.Admin(), "/v1/peers?members=no", nil, &s)
	return s, err
}

// Between sets what befalls what processes of one zone send to those of another: their datagrams, the streams they open, and
// what they answer on streams that those have opened.
func (f *Field) Between(from, to int, l Link) {
	for _, p := range f.Processes {
		if r := f.relays[from][p.Name]; r != nil && p.Zone == to {
			r.set(false, l)
		}
		if r := f.relays[to][p.Name]; r != nil && p.Zone == from {
			r.set(true, l)
		}
	}
}

// Remembers is how many others a process would ask at its next start beside its seeds.
func (p *Process) Remembers() int {
	raw, err := os.ReadFile(filepath.Join(p.dir, "peers.known"))
	var list []string
	if err != nil || json.Unmarshal(raw, &list) != nil {
		return 0
	}
	return len(list)
}

// Rehouse gives a process that does not run another address, where its next start listens for its peers. Those of its own zone
// hear of it from the process alone; the relays of other zones lead there, as a translated address would.
func (f *Field) Rehouse(p *Process) (err error) {
	if p.Running() {
		return fmt.Errorf("%s: %w", p.Name, errRunning)
	}
	if p.PeerAddr, err = freeAt(f.address(p.Zone, 200)); err != nil {
		return err
	}
	for _, to := range f.relays {
		if r := to[p.Name]; r != nil {
			r.lead(p.PeerAddr)
		}
	}
	return f.writeOperator(p)
}

// Agree tells whether all of some processes take exactly those for alive, at their addresses, and else what the first that does not says.
func Agree(ps, alive []*Process) error {
	names := make([]string, 0, len(alive))
	for _, p := range alive {
		names = append(names, p.Name+" "+p.PeerAddr)
	}
	want := peers.MembersFingerprint(names)
	return Each(ps, func(p *Process) error {
		got, err := p.Brief()
		if err == nil && got.Fingerprint != want {
			return fmt.Errorf("%s takes %d for alive; %d are", p.Name, got.Alive, len(alive))
		}
		return err
	})
}
