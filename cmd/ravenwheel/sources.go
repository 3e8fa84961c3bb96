package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/roster"
	"ravenwheel/internal/source/board"
	"ravenwheel/internal/source/names"
	"ravenwheel/internal/source/watch"
)

const (
	// boardSilence: the board's frames come each second.
	boardSilence, boardRedial = 2500 * time.Millisecond, 100 * time.Millisecond
	// silentAfter: ms without a frame after which an operator is told that the board is silent.
	silentAfter = 10_000
)

// serversPath is read in place of the path that the operator's file names; empty: that one.
var serversPath string

// sources are who tells of servers: a list that is watched, which comes first where both list a server, and the
// notice board.
type sources struct {
	roster *roster.Roster
	board  *board.Client // nil: none
	list   *watch.Source // nil: none
	admin  *admin.Admin  // nil: off
}

// startSources takes in what is known at the start, and follows what comes later.
func startSources(o *config.Operator, conf *config.Config, clk *clock.Clock, log *logs.Log, c *core.Core) (*sources, error) {
	s := &sources{}
	set := membership.Settings{}
	fileAt, boardAt := -1, -1
	if l := o.Servers; l != nil {
		fileAt = len(set.Sources)
		set.Sources = append(set.Sources, membership.Source{Name: filepath.Base(l.Path)})
		set.DropDrain, set.GoneFor, set.WeightStep, set.WeightEvery = l.Drain, l.Remember, l.WeightStep, l.WeightEvery
	}
	if conf.Board != "" {
		boardAt = len(set.Sources)
		b := membership.Source{Name: "board", Direct: true}
		if o.Path != "" {
			b.SilentAfter = silentAfter
		}
		set.Sources = append(set.Sources, b)
	}
	var err error
	if s.roster, err = roster.New(roster.Options{Ledger: set, Clock: clk, Log: log, Publish: c.Members}); err != nil {
		return nil, err
	}
	if boardAt >= 0 {
		notice := func(n board.Notice) { n.Tell(boardAt, s.roster.Tell, c.Purged) }
		for _, n := range conf.Known {
			notice(n)
		}
		s.board = &board.Client{
			Addr: conf.Board, Last: conf.Rev, Silence: boardSilence, Redial: boardRedial, Notice: notice,
			Heard: func() { s.roster.Tell(membership.Heard{Source: boardAt}) },
		}
	}
	if l := o.Servers; l != nil {
		if err := s.startList(l, fileAt, conf, clk, log); err != nil {
			return nil, err
		}
	}
	if o.Admin != nil {
		a := admin.Options{Listen: o.Admin.Listen, Clock: clk, Log: log, Names: conf.Names, Core: c, Views: s.roster.Views}
		if s.list != nil {
			a.List = s.list.Status
		}
		if s.admin, err = admin.Listen(a); err != nil {
			s.close()
			return nil, err
		}
		go s.admin.Serve()
	}
	if s.board != nil {
		go s.board.Run(context.Background()) // also while stopping: the rules go on
	}
	return s, nil
}

// startList reads the list that is there. Without one a proxy that stands alone could serve nobody, and does not
// start; where the board tells of servers too, the list is waited for.
func (s *sources) startList(l *config.Servers, at int, conf *config.Config, clk *clock.Clock, log *logs.Log) error {
	facts := conf.Facts(l.MostDropped)
	cache := &names.Cache{Resolver: resolver(), Clock: clk, TTL: l.TTL, Timeout: l.Resolve}
	take := func(set *serverlist.Set) {
		s.roster.Tell(membership.List{Source: at, Generation: set.Generation, Entries: conf.Entries(set)})
	}
	set, err := watch.Load(l.Path, facts, cache)
	switch {
	case err == nil:
		take(set)
	case conf.Board == "":
		return err
	}
	s.list = watch.New(watch.Options{
		Path: l.Path, Facts: facts, Settle: l.Settle(), Names: cache, Clock: clk, Log: log, Take: take,
	}, set)
	go s.list.Run()
	return nil
}

// again reads the configuration anew. The notice board's address is followed; the rest takes a restart. A file that
// can't be used leaves the old configuration in force.
func (s *sources) again(log *logs.Log) {
	if s.board == nil {
		log.Info("reload").Msg("reload: nothing to read anew; lists are watched")
		return
	}
	conf, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("reload").Err(err).Msg("reload: the old configuration stays")
		return
	}
	s.board.Move(conf.Board)
	log.Info("reload").Str("board", conf.Board).Msg("reload: the notice board is followed there")
}

func (s *sources) close() {
	if s.list != nil {
		s.list.Close()
	}
	if s.admin != nil {
		s.admin.Close()
	}
}
