package main

import (
	"ravenwheel/internal/core"
	"ravenwheel/internal/peers"
	"ravenwheel/internal/store"
)

// startPeers joins the other processes, if the operator's file enables that, and has the core count the load that is reported to
// them. Otherwise it returns nil.
func startPeers(env environment, proxy *core.Core) (*peers.Peers, error) {
	p := env.file.Peers
	if p == nil {
		return nil, nil
	}
	name, zone := p.Name, p.Zone
	if name == "" {
		name = env.conf.Name
	}
	if own := env.conf.Settings.Zone; zone == "" && own >= 0 && own < len(env.conf.Names.Zones) {
		zone = env.conf.Names.Zones[own]
	}
	identity, err := store.LoadIdentity(p.Identity, name)
	if err != nil {
		return nil, err
	}
	proxy.LoadCounter = core.NewLoadCounter()
	return peers.Start(peers.Options{
		Name:             name,
		Listen:           p.Listen,
		Advertise:        p.Advertise,
		Seeds:            p.Seeds,
		AddressOverrides: p.AddressesByName,
		Zone:             zone,
		Region:           p.Region,
		DigestInterval:   p.DigestIntervalMs,
		Dir:              p.Dir,
		Identity:         identity,
		Clock:            env.clock,
		Log:              env.log,
		Memory:           env.memory,
		Totals:           proxy.LoadCounter.Totals,
		Objects:          proxy.LoadCounter.TakeObjects,
	})
}
