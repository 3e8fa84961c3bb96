package main

import (
	"cmp"
	"errors"
	"fmt"
	"maps"

	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/front/signed"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
	"ravenwheel/internal/upstream"
)

// revisionApplier puts revisions of the shared configuration in force in this process, each completely or not at all.
type revisionApplier struct {
	store     *store.Store // nil: revisions arrive from distributors
	revisions <-chan storestate.Revision
	log       *logs.Log
	core      *core.Core
	pools     *upstream.Pools
	signed    *signed.Front // nil: off
	conf      *config.Config
	file      *config.OperatorFile
	onApplied func(revision uint64) // nil: not recorded

	textInForce string
}

// run applies the revisions that this process receives, until the channel is closed.
func (a *revisionApplier) run() {
	for r := range a.revisions {
		a.apply(r)
	}
}

// apply validates a revision and puts it in force. An invalid revision was accepted by a member that runs another version of the
// program.
func (a *revisionApplier) apply(r storestate.Revision) {
	live, err := config.ParseLive(fmt.Sprintf("revision %d", r.Number), r.Text)
	if err != nil {
		a.reject(r, err)
		return
	}
	// Nothing from here on can fail, so a revision is never partly in force.
	a.log.SetLevel(a.logLevel(live))
	limits := a.limits(live)
	a.core.SetMaxRequests(limits.MaxOpenRequests)
	a.pools.SetLimits(limits.AttemptsPerConn, limits.ConnectTimeoutMs, limits.IdleTimeoutMs)
	if a.signed != nil {
		a.signed.SetLeeway(a.leewayMs(live))
	}
	if live.SigningKeys != nil && a.store != nil && a.store.IsLeader() {
		a.replaceKeys(live.SigningKeys)
	}
	a.textInForce = r.Text
	if a.onApplied != nil {
		a.onApplied(r.Number)
	}
	a.log.Info("config").Uint64("revision", r.Number).Str("by", r.Author).Msg("revision in force")
}

// reject logs a revision that can't be used. A member of the store proposes the text in force as the next revision, unless there is
// a newer revision by then.
func (a *revisionApplier) reject(r storestate.Revision, err error) {
	a.log.Error("config").Err(err).Uint64("revision", r.Number).Msg("revision rejected; the previous one stays in force")
	if a.textInForce == "" || a.store == nil {
		return
	}
	if _, err := a.store.SetConfig(r.Number, a.textInForce, "put back"); err != nil && !errors.Is(err, store.ErrConflict) {
		a.log.Error("config").Err(err).Uint64("revision", r.Number).Msg("restoring the revision before a rejected one failed")
	}
}

// logLevel returns the log level of a revision, or else that of the operator's file.
func (a *revisionApplier) logLevel(live *config.Live) string {
	const defaultLevel = "info"
	if live.Log != nil {
		return cmp.Or(live.Log.Level, defaultLevel)
	}
	return cmp.Or(a.file.LogOptions.Level, defaultLevel)
}

// limits returns the limits of a revision, or else those of the configuration at the start.
func (a *revisionApplier) limits(live *config.Live) config.LiveLimits {
	if live.Limits != nil {
		return *live.Limits
	}
	return config.LiveLimits{
		MaxOpenRequests:  a.conf.MaxOpenRequests,
		ConnectTimeoutMs: a.conf.ConnectTimeoutMs,
		IdleTimeoutMs:    a.conf.IdleTimeoutMs,
		AttemptsPerConn:  a.conf.AttemptsPerConn,
	}
}

// leewayMs returns the leeway of a revision, or else that of the operator's file.
func (a *revisionApplier) leewayMs(live *config.Live) float64 {
	if live.Signed != nil {
		return live.Signed.LeewayMs
	}
	return a.file.Signed.LeewayMs
}

// replaceKeys makes the store's signing keys equal to those of a revision. Only the leader calls it. A change that fails is retried
// with the next revision.
func (a *revisionApplier) replaceKeys(wanted config.KeyRing) {
	stored := map[string]store.Key{}
	a.store.ReadLocal(func(s *storestate.State) { maps.Copy(stored, s.Keys) })
	for id, key := range wanted {
		if old, ok := stored[id]; ok && old.Alg == key.Alg && string(old.Data) == string(key.Data) {
			continue
		}
		if err := a.store.PutKey(id, key); err != nil {
			a.log.Error("config").Err(err).Str("kid", id).Msg("storing a signing key failed; retrying with the next revision")
		}
	}
	for id := range stored {
		if _, ok := wanted[id]; ok {
			continue
		}
		if err := a.store.DeleteKey(id); err != nil {
			a.log.Error("config").Err(err).Str("kid", id).Msg("deleting a signing key failed; retrying with the next revision")
		}
	}
}
