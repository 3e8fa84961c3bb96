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

// seedCount is the number of seeds: processes that every process contacts first when it starts.
const seedCount = 3

// zonesPerRegion is the number of zones of a region.
const zonesPerRegion = 4

// operatorFile holds the keys of the operator's file that a process needs for gossip. JSON names are those of that file.
type operatorFile struct {
	Admin operatorAdmin `json:"admin"`
	Peers operatorPeers `json:"peers"`
}

type operatorAdmin struct {
	Listen string `json:"listen"`
}

type operatorPeers struct {
	Listen            string            `json:"listen"`
	Seeds             []string          `json:"seeds"`
	AddressSubstitute map[string]string `json:"as_seen"` // by name of another process: the address at which this process reaches it
	KeysDir           string            `json:"identity"`
	Dir               string            `json:"dir"`
	Region            string            `json:"region"`
}

// configurePeers assigns keys, a gossip address and an admin address to each process, and starts the relays through which
// processes reach those of other zones.
func (c *Cluster) configurePeers() error {
	if err := c.issueKeys(); err != nil {
		return err
	}
	if err := c.choosePeerAddresses(); err != nil {
		return err
	}
	if err := c.startRelays(); err != nil {
		return err
	}
	for _, p := range c.Processes {
		if err := c.writeOperatorFile(p); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) issueKeys() error {
	keys := c.KeysDir()
	if err := store.CreateAuthority(keys, "field"); err != nil {
		return err
	}
	return ForEach(c.Processes, func(p *Process) error { return store.IssueCertificate(keys, p.Name) })
}

func (c *Cluster) choosePeerAddresses() (err error) {
	for i, p := range c.Processes {
		// The process does not listen yet, so the kernel may choose the port that the process has for clients. Then ask again.
		for p.PeerAddr = p.Listen; p.PeerAddr == p.Listen; {
			if p.PeerAddr, err = unusedPort(c.addresses.ip(p.Zone, i%c.options.ProcessesPerZone+1)); err != nil {
				return err
			}
		}
	}
	return nil
}

// startRelays starts, for each zone, a relay to every process of the other zones.
func (c *Cluster) startRelays() error {
	c.relays = make([]map[string]*relay, c.options.Zones)
	for zone := range c.relays {
		c.relays[zone] = map[string]*relay{}
		for i, p := range c.Processes {
			if p.Zone == zone {
				continue
			}
			r, err := startRelay(c.addresses.ip(relayZoneOffset+zone, 1+p.Zone), p.PeerAddr, c.options.Seed*1000+uint64(i))
			if err != nil {
				return err
			}
			c.relays[zone][p.Name] = r
		}
	}
	return nil
}

// KeysDir returns the directory with the keys of all processes that gossip.
func (c *Cluster) KeysDir() string { return filepath.Join(c.options.Dir, "keys") }

// peerAddrFrom returns the gossip address at which the processes of a zone reach a process: in another zone, that of a relay.
func (c *Cluster) peerAddrFrom(zone int, p *Process) string {
	if r := c.relays[zone][p.Name]; r != nil {
		return r.addr()
	}
	return p.PeerAddr
}

func (c *Cluster) writeOperatorFile(p *Process) error {
	encoded, err := json.Marshal(operatorFile{
		Admin: operatorAdmin{Listen: p.AdminAddr()},
		Peers: operatorPeers{
			Listen: p.PeerAddr, Seeds: c.seedsOf(p), AddressSubstitute: c.relayAddressesOf(p), KeysDir: c.KeysDir(), Dir: p.dir,
			Region: fmt.Sprintf("region-%d", p.Zone/zonesPerRegion),
		},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, "operator.json")
	p.args = []string{"serve", "--operator", path}
	return os.WriteFile(path, encoded, 0o600)
}

// seedsOf returns the addresses of a process's seeds. The seeds are spread evenly over the cluster's processes, so that each zone
// has one if there are not more zones than seeds.
func (c *Cluster) seedsOf(p *Process) []string {
	seeds := []string{}
	for i := range seedCount {
		if seed := c.Processes[i*len(c.Processes)/seedCount]; seed != p {
			seeds = append(seeds, c.peerAddrFrom(p.Zone, seed))
		}
	}
	return seeds
}

// relayAddressesOf returns the addresses at which a process reaches the processes of other zones, by their names.
func (c *Cluster) relayAddressesOf(p *Process) map[string]string {
	addresses := map[string]string{}
	for _, other := range c.Processes {
		if other.Zone != p.Zone {
			addresses[other.Name] = c.peerAddrFrom(p.Zone, other)
		}
	}
	return addresses
}

// SetLinkFault sets the fault of all that the processes of one zone send to those of another: datagrams, data on streams that
// they opened, and answers on streams that the other zone opened.
func (c *Cluster) SetLinkFault(from, to int, fault LinkFault) {
	for _, p := range c.Processes {
		if r := c.relays[from][p.Name]; r != nil && p.Zone == to {
			r.setForwardFault(fault)
		}
		if r := c.relays[to][p.Name]; r != nil && p.Zone == from {
			r.setBackwardFault(fault)
		}
	}
}

// ChangePeerAddress gives a process another gossip address for its next start. The relays of other zones forward to it at once;
// the processes of its own zone learn the address by gossip. It returns ErrRunning if the process runs.
func (c *Cluster) ChangePeerAddress(p *Process) (err error) {
	if p.Running() {
		return fmt.Errorf("change the address of %s: %w", p.Name, ErrRunning)
	}
	if p.PeerAddr, err = unusedPort(c.addresses.ip(p.Zone, changedHost)); err != nil {
		return err
	}
	for _, relays := range c.relays {
		if r := relays[p.Name]; r != nil {
			r.setTarget(p.PeerAddr)
		}
	}
	return c.writeOperatorFile(p)
}

// AdminAddr returns the address at which a process with gossip serves its admin API.
func (p *Process) AdminAddr() string { return "unix:" + filepath.Join(p.dir, "admin.sock") }

// PeerStatus returns a process's view of the members.
func (p *Process) PeerStatus() (s peers.Status, err error) {
	err = admin.Call(p.AdminAddr(), "/v1/peers", nil, &s)
	return s, err
}

// PeerSummary returns what PeerStatus returns, without the list of members.
func (p *Process) PeerSummary() (s peers.Status, err error) {
	err = admin.Call(p.AdminAddr(), "/v1/peers?members=no", nil, &s)
	return s, err
}

// Counters returns a process's counters since its start, by name.
func (p *Process) Counters() (counters map[string]int64, err error) {
	err = admin.Call(p.AdminAddr(), "/v1/counters", nil, &counters)
	return counters, err
}

// FleetView returns a process's estimates of the health and load of a server, with the reports that they are computed from. If
// server is empty, it returns the estimates of all servers, without reports.
func (p *Process) FleetView(server string) (v admin.ViewResponse, err error) {
	path := "/v1/view"
	if server != "" {
		path += "?server=" + server
	}
	err = admin.Call(p.AdminAddr(), path, nil, &v)
	return v, err
}

// KnownPeers returns the number of peers that a process has stored. At its next start it contacts them in addition to its seeds.
func (p *Process) KnownPeers() int {
	encoded, err := os.ReadFile(filepath.Join(p.dir, "peers.known"))
	var known []string
	if err != nil || json.Unmarshal(encoded, &known) != nil {
		return 0
	}
	return len(known)
}

// MembershipMismatchError is returned where a process's view of the members differs from the expected one.
type MembershipMismatchError struct {
	Process         string
	Alive, Expected int // numbers of members
}

// Error implements error.
func (e MembershipMismatchError) Error() string {
	return fmt.Sprintf("process %s has %d members alive, expected %d with their present addresses", e.Process, e.Alive, e.Expected)
}

// CheckAgreement returns nil if each of the processes considers exactly the expected ones alive, at their present addresses.
// Otherwise it returns the first MembershipMismatchError, or the error of a query that failed.
func CheckAgreement(processes, expectedAlive []*Process) error {
	members := make([]string, 0, len(expectedAlive))
	for _, p := range expectedAlive {
		members = append(members, p.Name+" "+p.PeerAddr)
	}
	expected := peers.MembersFingerprint(members)
	return ForEach(processes, func(p *Process) error {
		status, err := p.PeerSummary()
		if err != nil {
			return err
		}
		if status.Fingerprint != expected {
			return MembershipMismatchError{Process: p.Name, Alive: status.Alive, Expected: len(expectedAlive)}
		}
		return nil
	})
}
