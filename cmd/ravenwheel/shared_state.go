package main

import (
	"context"
	"net"
	"time"

	"ravenwheel/internal/applier"
	"ravenwheel/internal/config"
	decider "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/distribution"
	"ravenwheel/internal/store"
)

// sharedState is the state that this process shares with others, as a member of the store or through distributors. The zero value
// is that of a process that shares none.
type sharedState struct {
	store     *store.Store               // nil: not configured
	node      *distribution.Node         // nil: not in a tree of distributors
	changes   *applier.Queue             // in the order of the store; nil: none arrive
	drains    *applier.LocalDrains       // drains that operators start at this process; nil if changes is nil
	revisions <-chan storestate.Revision // of the configuration; nil: none arrive
}

// isMember reports whether the process is a member of the store.
func (s sharedState) isMember(file *config.OperatorFile) bool {
	return s.store != nil && file.Store.Name != ""
}

// isSubscriber reports whether the process receives the contents of the store from distributors, as it is not a member.
func (s sharedState) isSubscriber(file *config.OperatorFile) bool {
	return s.node != nil && file.Store.Name == ""
}

// openSharedState opens the store and joins the tree of distributors, if the operator's file enables them.
func openSharedState(env environment) (s sharedState, err error) {
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	file := env.file
	var onChange func(storestate.Change)
	if file.Store.Name != "" || file.Distribution != nil {
		// This precedes the opening of the store, because changes that the store applies while this proxy starts must not be lost.
		s.changes = applier.NewQueue()
		s.drains = applier.NewLocalDrains(s.changes)
		onChange = s.drains.Push
	}
	if file.Store.Name != "" || file.Signed != nil {
		if s.store, err = file.Store.Open(env.clock, onChange, env.memory); err != nil {
			return s, err
		}
		s.revisions = s.store.Watch()
		if s.drains != nil {
			s.store.Observe(s.drains)
		}
	}
	if file.Distribution == nil {
		return s, nil
	}
	options, err := distributionOptions(env)
	if err != nil {
		return s, err
	}
	options.Memory = env.memory
	if s.store != nil {
		options.Source = s.store
	} else {
		s.subscribe(&options)
	}
	if s.node, err = distribution.Start(options); err != nil && options.Listen != nil {
		options.Listen.Close()
	}
	return s, err
}

// subscribe sends changes and revisions of distributors to where those of the store go in a member. Neither blocks, so that the node
// can end after a failed start, when nothing receives them.
func (s *sharedState) subscribe(options *distribution.Options) {
	revisions := make(chan storestate.Revision, 1)
	s.revisions = revisions
	options.ApplyChange = s.changes.Push
	// Only the newest revision counts. As only one goroutine sends, there is room once the older revision is removed.
	options.ApplyRevision = func(r storestate.Revision) {
		select {
		case <-revisions:
		default:
		}
		revisions <- r
	}
}

const (
	// catchUpTimeout is how long a start waits for the store. Without a quorum the proxy then serves with the state that it has.
	catchUpTimeout = 5 * time.Second
	// catchUpRetryDelay is the pause after a failed read, which fails at once while no leader is known.
	catchUpRetryDelay = 20 * time.Millisecond
)

// awaitCatchUp waits until this member has put in force what the store had accepted by now: drains, lists, purges and keys, so that
// no request is served without them. It reports whether that is so; it gives up after catchUpTimeout, or when ctx ends.
func (s sharedState) awaitCatchUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	caughtUp := make(chan struct{})
	go func() {
		for ctx.Err() == nil {
			if _, _, err := s.store.ReadIndex(); err == nil {
				s.changes.AwaitApplied()
				close(caughtUp)
				return
			}
			time.Sleep(catchUpRetryDelay)
		}
	}()
	select {
	case <-caughtUp:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s sharedState) close() {
	if s.node != nil {
		s.node.Close()
	}
	if s.store != nil {
		_ = s.store.Close()
	}
	if s.changes != nil {
		s.changes.Close()
	}
}

// distributionOptions returns the options of a node, with its listener open.
func distributionOptions(env environment) (options distribution.Options, err error) {
	d := env.file.Distribution
	self := decider.Peer{Name: d.Name, Rank: d.Rank, Region: d.Region, Zone: d.Zone, Site: d.Site}
	if self.Name == "" {
		self.Name = env.conf.Name
	}
	settings := decider.DefaultSettings(0, self)
	settings.Seed = env.conf.Seed
	settings.HeartbeatInterval, settings.SilenceTimeout = d.HeartbeatMs, d.SilenceTimeoutMs
	settings.MaxLag, settings.MaxClockSkew = d.MaxLagMs, d.MaxClockSkewMs
	options = distribution.Options{Settings: settings, Clock: env.clock, Log: env.log, MaxLinks: d.MaxLinks, Epoch: d.Epoch}
	for _, u := range d.Distributors {
		options.Candidates = append(options.Candidates, distribution.Candidate{
			Peer: decider.Peer{Name: u.Name, Rank: u.Rank, Region: u.Region, Zone: u.Zone, Site: u.Site}, Address: u.Addr,
		})
	}
	if options.Identity, err = store.LoadIdentity(d.Identity, self.Name); err != nil {
		return options, err
	}
	if d.Listen != "" {
		options.Listen, err = net.Listen("tcp", d.Listen)
	}
	return options, err
}
