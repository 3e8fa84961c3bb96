// Package demo starts a proxy by its binary and its operator's file, with a fleet that stands in for the servers of its
// list, sends it traffic, switches the list under it and tells what happened, as the servers and the clients saw it.
package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/load"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
	"ravenwheel/policy"
)

// Options set up a demonstration.
type Options struct {
	Proxy    string // the program
	Operator string // its file, which stands alone
	PerS     float64
	Out      io.Writer
}

// run is one demonstration.
type run struct {
	opt    Options
	clk    *clock.Clock
	began  float64
	path   string
	conf   *config.Config
	oper   *config.OperatorFile
	fleet  *fleet.Fleet
	client *load.Client
	told   []fleet.Notification
}

// Run plays it. The error tells of a rule that was broken, or of what kept it from playing.
func Run(ctx context.Context, o Options) error {
	r := &run{opt: o, clk: clock.System()}
	var err error
	if r.oper, err = config.LoadOperatorFile(o.Operator); err != nil {
		return err
	}
	if r.oper.Proxy == nil || r.oper.Admin == nil {
		return fmt.Errorf("%s: a demonstration needs a file with proxy and admin", o.Operator)
	}
	if r.conf, err = config.Read(os.Getenv, r.oper); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "ravenwheel-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	raw, err := os.ReadFile(r.oper.Servers.Path)
	if err != nil {
		return err
	}
	r.path = filepath.Join(dir, "servers.jsonc")
	if err := os.WriteFile(r.path, raw, 0o600); err != nil {
		return err
	}
	set, err := filewatch.Load(r.path, r.conf.ListRequirements(0), &resolver.Cache{Clock: r.clk}, nil)
	if err != nil {
		return err
	}
	r.fleet = fleet.New(fleet.Options{Clock: r.clk, TransferTime: 4, FillTime: 25, PurgeDelay: r.oper.Site.PurgePropagationMs})
	defer r.fleet.Close()
	if err := r.fleet.StartList(set, r.oper.Site.ParentKind, r.oper.Site.OriginKind); err != nil {
		return err
	}
	r.began = r.clk.Now()
	r.say("%d stand-ins listen: caches, parents and an origin", len(set.Servers))
	return r.play(ctx, set)
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.opt.Out, "%6.1f s  %s\n", (r.clk.Now()-r.began)/1000, fmt.Sprintf(format, args...))
}

// play starts the proxy and takes it through its day.
func (r *run) play(ctx context.Context, set *serverlist.List) error {
	var logs bytes.Buffer
	cmd := exec.Command(r.opt.Proxy, "serve", "--operator", r.opt.Operator, "--servers", r.path)
	cmd.Stderr = &logs
	cmd.Env = slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, "LB_") })
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	for up := false; !up; {
		select {
		case err := <-ended:
			return fmt.Errorf("the proxy did not start: %v\n%s", err, logs.String())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
			_, err := r.show()
			up = err == nil
		}
	}
	r.say("the proxy serves on %s from %s, with no platform", r.conf.Listen, filepath.Base(r.opt.Operator))
	stop := r.traffic()
	err := r.day(ctx, set)
	stop()
	if err != nil {
		return err
	}
	r.client.WaitIdle()
	defer r.client.Close()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := <-ended; err != nil {
		return fmt.Errorf("the proxy ended with %v\n%s", err, logs.String())
	}
	r.say("SIGTERM: the proxy answered what was open and ended with 0")
	return r.report()
}

// traffic asks at a steady rate until it is stopped.
func (r *run) traffic() (stop func()) {
	var classes []load.Class
	shares := []float64{0.53, 0.44, 0.03}
	for i, k := range r.oper.Classes {
		c := load.Class{Name: k.Name, Fraction: shares[i%len(shares)], DeadlineMs: k.DeadlineMs, Write: k.Uncached, PartsPerObject: 1}
		if k.InParts {
			c.PartsPerObject = 12
		}
		classes = append(classes, c)
	}
	r.client = load.New(load.Options{
		Addr: r.conf.Listen, Clock: r.clk, Seed: 7, Conns: 8, Objects: 400, Classes: classes, Retries: 3,
	})
	end := make(chan struct{})
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		tick := time.NewTicker(time.Duration(float64(time.Second) / r.opt.PerS))
		defer tick.Stop()
		for {
			select {
			case <-end:
				return
			case <-tick.C:
				r.client.Send()
			}
		}
	}()
	r.say("clients ask %.0f times a second: replays in parts, assets, seat claims", r.opt.PerS)
	return func() { close(end); done.Wait() }
}

// change makes the list of another generation, as an operator would.
func change(set *serverlist.List, f func([]serverlist.Server) []serverlist.Server) *serverlist.List {
	return &serverlist.List{Generation: set.Generation + 1, Servers: f(slices.Clone(set.Servers))}
}

// over renames a list into place.
func (r *run) over(text []byte) error {
	if err := os.WriteFile(r.path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(r.path+".new", r.path)
}

// show asks the proxy what it uses.
func (r *run) show() (s admin.ServersResponse, err error) {
	err = admin.Call(r.oper.Admin.Listen, "/v1/servers", nil, &s)
	return s, err
}

// until waits for what the proxy shows.
func (r *run) until(ctx context.Context, what string, ok func(admin.ServersResponse) bool) error {
	for end := r.clk.Now() + 30_000; ; {
		s, err := r.show()
		switch {
		case err == nil && ok(s):
			return nil
		case r.clk.Now() > end:
			return fmt.Errorf("never: %s (%v)", what, err)
		}
		if err := r.wait(ctx, 0.02); err != nil {
			return err
		}
	}
}

func (r *run) wait(ctx context.Context, s float64) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(s * float64(time.Second))):
		return nil
	}
}

// step is one thing that an operator does.
type step func(ctx context.Context) error

// day is what happens to the list.
func (r *run) day(ctx context.Context, set *serverlist.List) error {
	gone, extra := policy.CacheID(2), policy.CacheID(6)
	without := change(set, func(l []serverlist.Server) []serverlist.Server {
		return slices.DeleteFunc(l, func(s serverlist.Server) bool { return s.ID == gone })
	})
	grown := change(without, func(l []serverlist.Server) []serverlist.Server {
		i := slices.IndexFunc(l, func(s serverlist.Server) bool { return s.ID == 1 })
		more := l[i]
		more.ID, more.Host, more.Addr = extra, "127.0.20.6", "127.0.20.6:4100"
		l[i].Weight *= 4
		return append(l, more)
	})
	back := change(grown, func(l []serverlist.Server) []serverlist.Server {
		i := slices.IndexFunc(set.Servers, func(s serverlist.Server) bool { return s.ID == gone })
		return append(l, set.Servers[i])
	})
	steps := []step{
		func(ctx context.Context) error {
			text := serverlist.Format(without)
			if err := os.WriteFile(r.path, text[:len(text)/2], 0o600); err != nil {
				return err
			}
			return r.refused(ctx, "a list that was cut half way")
		},
		func(ctx context.Context) error {
			twice := bytes.Replace(serverlist.Format(without), []byte("127.0.20.3:"), []byte("127.0.20.1:"), 1)
			return r.tryRefused(ctx, twice, "a list that names one address twice")
		},
		func(ctx context.Context) error {
			r.told = append(r.told, fleet.Notification{At: r.clk.Now() + 2000, Drains: []policy.CacheID{gone}})
			if err := r.take(ctx, without, "a list without %s: it drains", serverlist.FormatID(gone)); err != nil {
				return err
			}
			r.told[len(r.told)-1].At = r.clk.Now()
			return nil
		},
		func(ctx context.Context) error {
			group := 17
			r.fleet.Purge("", group)
			if err := admin.Call(r.oper.Admin.Listen, "/v1/purge", admin.PurgeRequest{Group: &group}, &map[string]float64{}); err != nil {
				return err
			}
			r.told = append(r.told, fleet.Notification{At: r.clk.Now(), Purge: true, Group: group})
			r.say("group %d of the objects is purged, and the proxy told of it", group)
			return nil
		},
		func(ctx context.Context) error {
			if err := r.fleet.StartList(grown, r.oper.Site.ParentKind, r.oper.Site.OriginKind); err != nil {
				return err
			}
			return r.take(ctx, grown, "a list with %s, switched on just now, and another weight for %s", serverlist.FormatID(extra), serverlist.FormatID(1))
		},
		func(ctx context.Context) error {
			few := change(grown, func(l []serverlist.Server) []serverlist.Server {
				return slices.DeleteFunc(l, func(s serverlist.Server) bool { return s.Zone == "bangkok" && s.ID != 1 || s.Kind == "parent" })
			})
			return r.tryRefused(ctx, serverlist.Format(few), "a list that drops half of the servers")
		},
		func(ctx context.Context) error {
			if err := r.until(ctx, "the drain is over", func(s admin.ServersResponse) bool {
				return slices.ContainsFunc(s.Servers, func(x admin.ServerStatus) bool { return x.ID == serverlist.FormatID(gone) && x.Phase == "gone" })
			}); err != nil {
				return err
			}
			r.say("%s has drained and is gone", serverlist.FormatID(gone))
			r.told = append(r.told, fleet.Notification{At: r.clk.Now(), Returns: []policy.CacheID{gone}})
			return r.take(ctx, back, "rolled back: %s is listed again, and taken for freshly started", serverlist.FormatID(gone))
		},
	}
	for _, s := range steps {
		if err := r.wait(ctx, 1.5); err != nil {
			return err
		}
		if err := s(ctx); err != nil {
			return err
		}
	}
	return r.wait(ctx, 2)
}

// take renames a list into place and waits until it is in use.
func (r *run) take(ctx context.Context, set *serverlist.List, format string, args ...any) error {
	began := r.clk.Now()
	if err := r.over(serverlist.Format(set)); err != nil {
		return err
	}
	if err := r.until(ctx, "the list in use", func(s admin.ServersResponse) bool { return s.List.Generation == set.Generation }); err != nil {
		return err
	}
	r.say("generation %d in use %.0f ms after its rename: %s", set.Generation, r.clk.Now()-began, fmt.Sprintf(format, args...))
	return nil
}

func (r *run) tryRefused(ctx context.Context, text []byte, what string) error {
	if err := r.over(text); err != nil {
		return err
	}
	return r.refused(ctx, what)
}

// refused waits until the proxy says why it does not use what is there.
func (r *run) refused(ctx context.Context, what string) error {
	s, err := r.show()
	if err != nil {
		return err
	}
	n := s.List.Rejected
	if err := r.until(ctx, "a refusal", func(now admin.ServersResponse) bool {
		s = now
		return now.List.Rejected > n && len(now.List.Reasons) > 0
	}); err != nil {
		return err
	}
	_, why, _ := strings.Cut(s.List.Reasons[0], filepath.Base(r.path)+":")
	r.say("%s is refused, %d stays in use: line %s", what, s.List.Generation, why)
	return nil
}

// report prints what the clients and the servers saw, and whether a rule was broken.
func (r *run) report() error {
	w := tabwriter.NewWriter(r.opt.Out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nclass\tasked\tserved\trefused\tfailed\tlost\tretried\tp50 ms\tp99 ms\t")
	sums := r.client.Results()
	for _, k := range r.oper.Classes {
		s := sums[k.Name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k.Name, s.Requested, s.Served, s.Rejected, s.Failed, s.Lost, s.Retried,
			float64(s.Latency.ValueAtQuantile(50))/1000, float64(s.Latency.ValueAtQuantile(99))/1000)
	}
	fmt.Fprintln(w, "\nserver\trole\tattempts\tserved\tsource of\tprobes\t")
	for _, c := range r.fleet.Counts() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t\n", serverlist.FormatID(c.Server), []string{"cache", "parent", "origin"}[c.Role],
			c.Attempts, c.Served, c.NamedAsSource, c.Probes)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	broken := fleet.Rules{Drain: r.oper.Site.DrainGraceMs, Purge: r.oper.Site.PurgeGraceMs, Slack: 50}.Violations(r.fleet.Observations(), r.told)
	for _, id := range r.fleet.DuplicateWrites() {
		broken = append(broken, "a write ran twice: "+id)
	}
	broken = append(broken, r.client.Violations()...)
	fmt.Fprintf(r.opt.Out, "\n%d seat claims ran, none of them twice; rules broken, as the servers and clients saw it: %d\n", r.fleet.WritesRun(), len(broken))
	if len(broken) > 0 {
		return fmt.Errorf("%d rules broken:\n%s", len(broken), strings.Join(broken, "\n"))
	}
	return nil
}
