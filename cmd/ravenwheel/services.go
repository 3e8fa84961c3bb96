package main

import (
	"context"
	"net"

	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/front/signed"
	"ravenwheel/internal/snmp"
	"ravenwheel/internal/store"
	"ravenwheel/internal/transient"
	"ravenwheel/internal/upstream"
)

// services are the listeners that the operator's file enables besides the clients' address.
type services struct {
	stops  []func(context.Context) // in the order of their start
	signed *signed.Front           // nil: off
}

// startServices starts the SNMP agent and the signed front, where the operator's file enables them, and follows the revisions of
// the shared configuration.
func startServices(env environment, proxy *core.Core, pools *upstream.Pools, shared sharedState, sources *serverSources) (*services, error) {
	s := &services{}
	if env.file.SNMP != nil {
		if err := s.startSNMP(env.file.SNMP, proxy, pools); err != nil {
			return nil, err
		}
	}
	revisions := &revisionApplier{
		store: shared.store, revisions: shared.revisions, log: env.log, core: proxy, pools: pools, conf: env.conf, file: env.file,
	}
	if sources.state != nil {
		revisions.onApplied = sources.state.RecordRevision
	}
	if env.file.Signed != nil {
		front, err := s.startSigned(env, proxy, shared.store)
		if err != nil {
			s.shutDown(context.Background())
			return nil, err
		}
		revisions.signed, s.signed = front, front
	}
	if shared.revisions != nil {
		go revisions.run()
	}
	return s, nil
}

// shutDown stops the services in reverse order of their start, and waits until their open requests are answered or ctx ends.
func (s *services) shutDown(ctx context.Context) {
	for i := len(s.stops) - 1; i >= 0; i-- {
		s.stops[i](ctx)
	}
}

func (s *services) startSNMP(options *config.SNMP, proxy *core.Core, pools *upstream.Pools) error {
	socket, err := net.ListenPacket("udp", options.Listen)
	if err != nil {
		return err
	}
	openConns := func() int64 { return int64(pools.Conns()) }
	agent := snmp.New(options.Community, snmp.Scalars(&proxy.Counters, pools.LateAnswers.Load, openConns))
	go func() { _ = agent.Serve(socket) }()
	s.stops = append(s.stops, func(context.Context) { socket.Close() })
	return nil
}

func (s *services) startSigned(env environment, proxy *core.Core, tokenStore *store.Store) (*signed.Front, error) {
	options := env.file.Signed
	go putSigningKeys(tokenStore, env.file.SigningKeys)
	ln, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, err
	}
	front := signed.New(signed.Options{
		Audience: options.Audience, Leeway: options.LeewayMs, Clock: env.clock, Store: tokenStore, Core: proxy,
		MaxConns: env.conf.Sockets / signedSocketsDivisor, Log: env.log,
		Memory: env.memory,
	})
	env.memory.AddStalledClient(front.CostliestStalledClient)
	go func() {
		if err := front.Serve(transient.KeepAccepting(ln)); err != nil {
			env.log.Error("signed").Err(err).Msg("signed front stopped accepting connections")
		}
	}()
	s.stops = append(s.stops, func(ctx context.Context) { _ = front.Shutdown(ctx) })
	return front, nil
}
