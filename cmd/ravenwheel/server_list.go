package main

import (
	"ravenwheel/internal/config"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
)

// startList loads the watched list and follows its changes. If the list can't be used, the recorded one is used. If there is
// neither, the proxy waits for a usable list if discovery lists servers too. Otherwise it would have no servers, and the start
// fails with the list's error.
func (s *serverSources) startList(options *config.Servers, rank int, recorded *serverlist.List) error {
	s.requirements = s.conf.ListRequirements(options.MaxDroppedFraction)
	cache := &resolver.Cache{
		Backend: systemResolver(), Clock: s.clock, TTL: options.ResolveTTLMs, Timeout: options.ResolveTimeoutMs,
	}
	apply := func(list *serverlist.List) {
		if s.state != nil {
			_ = s.state.RecordList(listSource, list) // RecordList logs its errors; not using the list would be worse than not recording it
		}
		s.registry.Handle(membership.Snapshot{Source: rank, Generation: list.Generation, Entries: s.conf.Entries(list)})
	}
	list, err := filewatch.Load(options.Path, s.requirements, cache, recorded)
	switch {
	case err == nil:
		apply(list)
	case recorded != nil:
		s.log.Error("list").Err(err).Uint64("in_use", recorded.Generation).
			Msg("server list rejected; using the list from before the restart")
		list = recorded
		apply(list)
	case s.conf.DiscoveryAddr == "":
		return err
	}
	s.list = filewatch.New(filewatch.Options{
		Path:         options.Path,
		Requirements: s.requirements,
		Debounce:     options.Debounce(),
		Resolver:     cache,
		Clock:        s.clock,
		Log:          s.log,
		OnList:       apply,
	}, list)
	go s.list.Run()
	return nil
}
