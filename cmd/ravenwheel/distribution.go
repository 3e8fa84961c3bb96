package main

import (
	"fmt"
	"net"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	pure "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/distribution"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
)

// mostHeard facts wait while this proxy starts; who tells more waits too.
const mostHeard = 1024

// shared is what this process has in common with others, as a member of the store or by distributors. The zero value is a
// process that shares nothing.
type shared struct {
	store     *store.Store               // nil: none is set up
	node      *distribution.Node         // nil: in no tree of distributors
	heard     chan storestate.Change     // facts, in order; nil: none come
	revisions <-chan storestate.Revision // of the configuration; nil: none come
	over      chan struct{}              // closed when nobody takes in what distributors tell
}

// member tells whether the process is one of a store's, only whether it is not, and hears what the store holds.
func (s shared) member(o *config.OperatorFile) bool { return s.store != nil && o.Store.Name != "" }
func (s shared) only(o *config.OperatorFile) bool   { return s.node != nil && o.Store.Name == "" }

// openShared opens the store and joins the tree of distributors, where the operator's file sets them up.
func openShared(o *config.OperatorFile, conf *config.Config, clk *clock.Clock, log *logs.Log) (s shared, err error) {
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	var told func(storestate.Change)
	if o.Store.Name != "" || o.Distribution != nil {
		// Made before the store opens: what it applies while this proxy starts is told, not passed over.
		heard := make(chan storestate.Change, mostHeard)
		s.heard, told = heard, func(c storestate.Change) { heard <- c }
	}
	if o.Store.Name != "" || o.Signed != nil {
		if s.store, err = o.Store.Open(clk, told); err != nil {
			return s, err
		}
		s.revisions = s.store.Watch()
	}
	if o.Distribution == nil {
		return s, nil
	}
	opt, err := distributionOptions(o.Distribution, conf, clk, log)
	if err != nil {
		return s, err
	}
	if s.store != nil {
		opt.Source = s.store
	} else {
		s.hear(&opt)
	}
	if s.node, err = distribution.Start(opt); err != nil && opt.Listen != nil {
		opt.Listen.Close()
	}
	return s, err
}

// hear has what distributors tell go where a member's facts and revisions go. A start that fails leaves nobody who takes it
// in: then it is dropped, so that the node can end.
func (s *shared) hear(opt *distribution.Options) {
	heard, over, revisions := s.heard, make(chan struct{}), make(chan storestate.Revision, 1)
	s.over, s.revisions = over, revisions
	opt.ApplyChange = func(c storestate.Change) {
		select {
		case heard <- c:
		case <-over:
		}
	}
	opt.ApplyRevision = func(r storestate.Revision) { // by one goroutine: after the older one is out, there is room
		select {
		case <-revisions:
		default:
		}
		revisions <- r
	}
}

func (s shared) close() {
	if s.over != nil {
		close(s.over)
	}
	if s.node != nil {
		s.node.Close()
	}
	if s.store != nil {
		_ = s.store.Close()
	}
}

// distributionOptions is the operator's file as a node has it, its listener open.
func distributionOptions(d *config.Distribution, conf *config.Config, clk *clock.Clock, log *logs.Log) (opt distribution.Options, err error) {
	self := pure.Peer{Name: d.Name, Rank: d.Rank, Region: d.Region, Zone: d.Zone, Site: d.Site}
	if self.Name == "" {
		self.Name = conf.Name
	}
	set := pure.DefaultSettings(0, self)
	set.Seed, set.HeartbeatInterval, set.SilenceTimeout, set.MaxLag, set.MaxClockSkew = conf.Seed, d.HeartbeatMs, d.SilenceTimeoutMs, d.MaxLagMs, d.MaxClockSkewMs
	opt = distribution.Options{Settings: set, Clock: clk, Log: log, MaxLinks: d.MaxLinks, Epoch: d.Epoch}
	for _, u := range d.Distributors {
		opt.Candidates = append(opt.Candidates, distribution.Candidate{
			Peer: pure.Peer{Name: u.Name, Rank: u.Rank, Region: u.Region, Zone: u.Zone, Site: u.Site}, Address: u.Addr,
		})
	}
	if opt.Identity, err = store.LoadIdentity(d.Identity, self.Name); err != nil {
		return opt, err
	}
	if d.Listen != "" {
		opt.Listen, err = net.Listen("tcp", d.Listen)
	}
	return opt, err
}

func distributionCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "distribution", Short: "How a running proxy gets what the store holds", Args: cobra.NoArgs}
	ask := func(use, short string, tell func(w *tabwriter.Writer, s distribution.Status)) *cobra.Command {
		var asJSON bool
		c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			var all []distribution.Status
			return asked(cmd, "/v1/distribution", nil, &all, asJSON, func(w *tabwriter.Writer) {
				for _, s := range all {
					tell(w, s)
				}
			})
		}}
		c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
		return c
	}
	cmd.AddCommand(
		ask("show", "Show where each stream comes from, how far it is and who subscribes here", func(w *tabwriter.Writer, s distribution.Status) {
			fmt.Fprintf(w, "%s\t%s\tepoch %d, sequence %d\t%d subscribers\t%d entries\t%d bytes waiting\n", s.Stream, from(s), s.Epoch, s.Sequence,
				s.Subscribers, s.Entries, s.QueuedBytes)
		}),
		ask("lag", "Show how far each stream is behind, at most", func(w *tabwriter.Writer, s distribution.Status) {
			fmt.Fprintf(w, "%s\t%s\n", s.Stream, lag(s))
		}))
	cmd.PersistentFlags().StringVar(&adminAddr, "admin", "", adminUsage)
	return cmd
}

// from is where a stream comes from, in words.
func from(s distribution.Status) string {
	switch {
	case s.Root:
		return "from the store"
	case s.Parent == "":
		return "subscribed nowhere"
	default:
		return "from " + s.Parent
	}
}

// lag is how far a stream is behind, in words.
func lag(s distribution.Status) string {
	if s.LagMs < 0 {
		return "nothing whole yet"
	}
	words := fmt.Sprintf("%.0f ms behind at most", s.LagMs)
	if s.Restricted {
		words += ", past its bound"
	}
	return words
}
