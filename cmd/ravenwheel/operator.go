package main

import (
	"context"
	"net"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/front/signed"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/snmp"
	"ravenwheel/internal/store"
	"ravenwheel/internal/transient"
	"ravenwheel/internal/upstream"
)

// operatorFile names the operator's file; empty: all that it sets up is off, as on the platform.
var operatorFile string

// startOperator starts what the operator's file sets up. stop ends it once what is open has been answered.
func startOperator(o *config.OperatorFile, conf *config.Config, clk *clock.Clock, log *logs.Log, c *core.Core, up *upstream.Pools, shared shared, src *sources) (stop func(context.Context), err error) {
	var ends []func(context.Context)
	stop = func(ctx context.Context) {
		for i := len(ends) - 1; i >= 0; i-- {
			ends[i](ctx)
		}
	}
	defer func() {
		if err != nil {
			stop(context.Background())
		}
	}()
	if s := o.SNMP; s != nil {
		pc, err := net.ListenPacket("udp", s.Listen)
		if err != nil {
			return nil, err
		}
		conns := func() int64 { return int64(up.Conns()) }
		go func() { _ = snmp.New(s.Community, snmp.Scalars(&c.Counters, up.LateAnswers.Load, conns)).Serve(pc) }()
		ends = append(ends, func(context.Context) { pc.Close() })
	}
	st := shared.store
	follow := &live{store: st, revisions: shared.revisions, log: log, core: c, up: up, conf: conf, oper: o}
	if src.state != nil {
		follow.used = src.state.RecordRevision
	}
	s := o.Signed
	if s == nil {
		if shared.revisions != nil {
			go follow.run()
		}
		return stop, nil
	}
	go seed(st, o.SigningKeys)
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, err
	}
	front := signed.New(signed.Options{Audience: s.Audience, Leeway: s.LeewayMs, Clock: clk, Store: st, Core: c, Log: log})
	follow.signed = front
	go follow.run()
	go func() {
		if err := front.Serve(transient.KeepAccepting(ln)); err != nil {
			log.Error("signed").Err(err).Msg("the signed front is lost")
		}
	}()
	ends = append(ends, func(ctx context.Context) { _ = front.Shutdown(ctx) })
	return stop, nil
}

// seed puts the file's keys into the store, as soon as it has a leader.
func seed(st *store.Store, keys config.KeyRing) {
	for kid, k := range keys {
		for st.PutKey(kid, k) != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
