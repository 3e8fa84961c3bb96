package main

import (
	"ravenwheel/internal/config"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
)

// startList loads the watched list and follows its changes. Where the list can't be used, the recorded one is. Without either,
// the list is waited for if discovery lists servers too; else a proxy without servers does not start, with the list's error.
func (s *serverSources) startList(options *config.Servers, rank int, recorded *serverlist.List) error {
	s.requirements = s.conf.ListRequirements(options.MaxDroppedFraction)
	cache := &resolver.Cache{
		Backend: systemResolver(), Clock: s.clock, TTL: options.ResolveTTLMs, Timeout: options.ResolveTimeoutMs,
	}
	apply := func(list *serverlist.List) {
		if s.state != nil {
			_ = s.state.RecordList(listSource, list) // logged there; not using the list would be worse
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
