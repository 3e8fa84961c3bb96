package main

import (
	"path/filepath"

	"ravenwheel/internal/decide/membership"
)

const (
	// storeDrainMs is how long a server drains after the store's list has dropped it, and how long it is remembered after that. If
	// a watched list is configured, its settings are used instead.
	storeDrainMs = 10_000
	// discoverySilenceMs is how long discovery may be silent before that is reported to operators.
	discoverySilenceMs = 10_000
)

// noSource is the rank of a source that is not configured.
const noSource = -1

// sourceRanks are the sources' indexes in the membership settings. If several sources list a server, the lowest rank counts.
type sourceRanks struct{ list, store, discovery int }

// membershipSettings returns the settings of the membership decider, with the sources that are configured.
func (s *serverSources) membershipSettings() (settings membership.Settings, ranks sourceRanks) {
	ranks = sourceRanks{list: noSource, store: noSource, discovery: noSource}
	add := func(source membership.Source) (rank int) {
		settings.Sources = append(settings.Sources, source)
		return len(settings.Sources) - 1
	}
	if list := s.file.Servers; list != nil {
		ranks.list = add(membership.Source{Name: filepath.Base(list.Path)})
		settings.DrainTimeout, settings.GoneRetention = list.DrainMs, list.RememberMs
		settings.WeightStep, settings.WeightInterval = list.WeightStep, list.WeightIntervalMs
	}
	if s.shared.isMember(s.file) || s.shared.isSubscriber(s.file) {
		ranks.store = add(membership.Source{Name: "store"})
		if s.file.Servers == nil {
			settings.DrainTimeout, settings.GoneRetention = storeDrainMs, storeDrainMs
		}
	}
	if s.conf.DiscoveryAddr != "" {
		source := membership.Source{Name: "board", Immediate: true} // the name that the admin address shows
		if s.file.Path != "" {
			source.SilentAfter = discoverySilenceMs
		}
		ranks.discovery = add(source)
	}
	return settings, ranks
}
