package main

import (
	"errors"
	"fmt"
	"maps"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/applier"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/front/signed"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// What operators do goes to all members of the store, or, where there is none, to this proxy and its journal.

// Purge implements admin.Operations. It is in force here before it is kept, and kept before it is told: a crash in between
// leaves a purge that nobody was told of.
func (s *sources) Purge(p core.Purge) error {
	if s.only {
		return admin.ErrNotMember
	}
	s.core.Purged(p)
	var err error
	if s.state != nil {
		err = s.state.RecordPurge(recovery.Purge{Object: p.Object, Group: p.Group, IssuedAt: p.At, NotifiedAt: p.At})
	}
	if s.member {
		set := s.core.Settings()
		until := p.At + 2*clock.Ms(set.PurgeDuration) + clock.Ms(set.PurgeGrace)
		_, serr := s.store.Propose(storestate.Change{Kind: storestate.AddPurge, ExpiresAt: until, Purge: &storestate.Purge{Object: p.Object, Group: p.Group, IssuedAt: p.At}})
		err = errors.Join(err, serr)
	}
	return err
}

// Knows implements desk.Servers.
func (s *sources) Knows(id policy.CacheID) bool { return s.roster.Knows(id) }

// Drain implements admin.Operations.
func (s *sources) Drain(id policy.CacheID, on bool) error {
	switch {
	case s.only:
		return admin.ErrNotMember
	case !s.member:
		return s.drained(id, on)
	}
	kind := storestate.EndDrain
	if on {
		kind = storestate.StartDrain
	}
	_, err := s.store.Propose(storestate.Change{Kind: kind, Name: serverlist.FormatID(id)})
	return err
}

func (s *sources) drained(id policy.CacheID, on bool) error {
	s.roster.Handle(membership.ManualDrain{ID: id, On: on})
	if s.state == nil {
		return nil
	}
	return s.state.RecordManualDrain(uint64(id), on)
}

// PushList implements admin.Operations.
func (s *sources) PushList(file string, text []byte) (*serverlist.List, error) {
	switch {
	case s.only:
		return nil, admin.ErrNotMember
	case !s.member:
		return nil, errors.New("lists are pushed to a store, and none is set up")
	}
	d, bad := serverlist.Parse([]serverlist.File{{Name: file, Data: text}}, s.facts)
	if bad != nil {
		return nil, bad
	}
	var old *serverlist.List
	if err := s.store.Read(true, func(st *storestate.State) {
		if l, ok := st.Lists[storeList]; ok {
			old = serverlist.NewList(l.Generation, l.Servers)
		}
	}); err != nil {
		return nil, err
	}
	set, bad := d.Resolve(s.names.Resolve(d.Hosts()), old)
	if bad != nil {
		return nil, bad
	}
	_, err := s.store.Propose(storestate.Change{Kind: storestate.SetList, Name: storeList, List: &storestate.List{Generation: set.Generation, Servers: set.Servers}})
	return set, err
}

// storeList is the name of the one list that the store holds.
const storeList = "servers"

// hears says where facts of the store go.
func (s *sources) hears(at int, conf *config.Config, log *logs.Log) *applier.Applier {
	o := &applier.Applier{
		Clock: s.clk, Log: log, Source: at, ListEntries: conf.Entries, HandleEvent: s.roster.Handle, SetDrain: s.drained, HandlePurge: s.core.Purged,
	}
	if s.state != nil { // or the interface would hold a nil
		o.Recorder = s.state
	}
	return o
}

// live applies revisions of the shared configuration: all of one or nothing.
type live struct {
	store     *store.Store // nil: revisions come by distributors
	revisions <-chan storestate.Revision
	log       *logs.Log
	core      *core.Core
	up        *upstream.Pools
	signed    *signed.Front // nil: off
	conf      *config.Config
	oper      *config.OperatorFile
	good      string // the text in use
	used      func(revision uint64)
}

// run follows the revisions as this process learns of them.
func (l *live) run() {
	for r := range l.revisions {
		l.apply(r)
	}
}

// apply checks a revision whole and puts it in force. One that can't be used here was proposed past the check of another
// version: the text in use is proposed again in its place, unless a newer one is there by then.
func (l *live) apply(r storestate.Revision) {
	x, err := config.ParseLive(fmt.Sprintf("revision %d", r.Number), r.Text)
	if err != nil {
		l.log.Error("config").Err(err).Uint64("revision", r.Number).Msg("a revision can't be used: the one before it stays, and a member of the store puts it back")
		if l.good != "" && l.store != nil {
			if _, err := l.store.SetConfig(r.Number, l.good, "put back"); err != nil && !errors.Is(err, store.ErrConflict) {
				l.log.Error("config").Err(err).Msg("the revision before it could not be put back")
			}
		}
		return
	}
	// Nothing below can fail, so that no revision is in force by half.
	level, limits := l.oper.LogOptions.Level, config.LiveLimits{
		MaxOpenRequests: l.conf.MaxOpenRequests, ConnectTimeoutMs: l.conf.ConnectTimeoutMs, IdleTimeoutMs: l.conf.IdleTimeoutMs, StreamsPerConn: l.conf.StreamsPerConn,
	}
	if x.Log != nil {
		level = x.Log.Level
	}
	if level == "" {
		level = "info"
	}
	if x.Limits != nil {
		limits = *x.Limits
	}
	l.log.SetLevel(level)
	l.core.SetMaxRequests(limits.MaxOpenRequests)
	l.up.SetLimits(limits.StreamsPerConn, limits.ConnectTimeoutMs, limits.IdleTimeoutMs)
	if l.signed != nil {
		leeway := l.oper.Signed.LeewayMs
		if x.Signed != nil {
			leeway = x.Signed.LeewayMs
		}
		l.signed.SetLeeway(leeway)
	}
	if x.SigningKeys != nil && l.store != nil && l.store.Leader() {
		l.changeKeys(x.SigningKeys)
	}
	if l.good = r.Text; l.used != nil {
		l.used(r.Number)
	}
	l.log.Info("config").Uint64("revision", r.Number).Str("by", r.Author).Msg("revision in force")
}

// changeKeys brings the store's signing keys to those that a revision names. One member does it, the leader; a change
// that fails is made again with the next revision.
func (l *live) changeKeys(ring config.KeyRing) {
	have := map[string]store.Key{}
	_ = l.store.Read(false, func(s *storestate.State) { maps.Copy(have, s.Keys) })
	for kid, k := range ring {
		if old, ok := have[kid]; !ok || old.Alg != k.Alg || string(old.Data) != string(k.Data) {
			if err := l.store.PutKey(kid, k); err != nil {
				l.log.Error("config").Err(err).Str("kid", kid).Msg("a signing key was not put")
			}
		}
	}
	for kid := range have {
		if _, wanted := ring[kid]; !wanted {
			if err := l.store.DeleteKey(kid); err != nil {
				l.log.Error("config").Err(err).Str("kid", kid).Msg("a signing key was not dropped")
			}
		}
	}
}
