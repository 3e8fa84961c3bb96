package sim

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"ravenwheel/policy"
)

// proxy is one instance: the module, and what it has under way. It knows nothing of the others.
type proxy struct {
	w      *world
	no     int
	branch *branch
	router Decider
	lives  int                 // processes that it was before
	down   bool                // between two of them
	list   []policy.Member     // as told last
	live   map[string]*request // never ranged over
	inbox  []policy.Event
	busy   bool
	acts   []policy.Action

	// Of the checker: what it was told, and when.
	drained map[policy.CacheID]float64
	purges  map[int32][2]float64 // made, told
}

// request is one try of a client at a proxy.
type request struct {
	id       string
	want     *want
	p        *proxy
	due      float64
	attempts []*attempt
	answered bool
	dead     bool // its proxy's process ended under it: nothing is owed
}

// attempt is one at a server.
type attempt struct {
	r       *request
	no      int
	to, src *server
	sent    float64
	open    bool // its outcome is not told
	ran     bool
	on      []*transfer
	left    int   // transfers that are not over
	from    *fill // that it waits for, or waited
	note    policy.Note
	result  policy.Result // once it is not open
	made    float64
	epoch   int // of the server's process
	placed  bool
	waited  float64
}

func ns(ms float64) time.Duration { return time.Duration(ms * 1e6) }

func inMs(d time.Duration) float64 { return float64(d) / 1e6 }

// begin starts its process: with a decider that has learned nothing.
func (p *proxy) begin() (err error) {
	w := p.w
	name := fmt.Sprint("proxy ", p.no)
	if p.lives > 0 {
		name += fmt.Sprint(" again ", p.lives)
	}
	p.router, err = w.player.Make(w.spec.Settings(p.branch.no, p.no), stream(w.seed, name).Uint64(), w.late)
	p.lives++
	return err
}

// keepList notes what the list says now, for the process that comes next.
func (p *proxy) keepList(changes []policy.Member) {
	for _, m := range changes {
		i := slices.IndexFunc(p.list, func(x policy.Member) bool { return x.ID == m.ID })
		switch {
		case i < 0:
			p.list = append(p.list, m)
		default:
			p.list[i] = m
		}
	}
}

// restart ends its process and starts one anew some ms later, which knows nothing but the last list.
func (p *proxy) restart(after float64) {
	w := p.w
	var open []*attempt
	var ended []*request
	for _, r := range p.live {
		ended = append(ended, r)
		for _, a := range r.attempts {
			if a.open {
				open = append(open, a)
			}
		}
	}
	sortAttempts(open) // the map has no order of its own, and a run must have one
	for _, a := range open {
		a.leave()
		a.open = false
	}
	slices.SortFunc(ended, func(a, b *request) int { return cmp.Or(len(a.id)-len(b.id), strings.Compare(a.id, b.id)) })
	for _, r := range ended {
		if !r.answered {
			r.dead = true
			w.after(w.spec.Fleet.Near, func() { r.want.got(r, missed, 0) }) // its connection ended
		}
	}
	p.live, p.inbox, p.down, p.purges = map[string]*request{}, nil, true, nil
	w.after(after, func() {
		if err := p.begin(); err != nil {
			w.check.broke("restart", err.Error())
			return
		}
		p.down = false
		p.handle(policy.Members{Kind: policy.ListFull, Version: int64(w.seq), Entries: slices.DeleteFunc(slices.Clone(p.list),
			func(m policy.Member) bool { return m.State == policy.Gone })})
	})
}

// handle gives the module one event after another: what its actions bring about at once comes behind.
func (p *proxy) handle(e policy.Event) {
	if p.down {
		return
	}
	p.inbox = append(p.inbox, e)
	if p.busy {
		return
	}
	p.busy = true
	for i := 0; i < len(p.inbox); i++ {
		p.acts = p.router.Handle(ns(p.w.now), p.inbox[i], p.acts[:0])
		for _, a := range p.acts {
			p.act(a)
		}
	}
	p.inbox, p.busy = p.inbox[:0], false
}

func (p *proxy) act(a policy.Action) {
	switch x := a.(type) {
	case policy.Lookup:
		p.send(x.ID, policy.Fetch{ID: x.ID, Cache: x.Cache, Source: x.Cache, Timeout: x.Timeout})
	case policy.Fetch:
		p.send(x.ID, x)
	case policy.Cancel:
		if r := p.live[x.ID]; r != nil && x.Attempt < len(r.attempts) {
			if a := r.attempts[x.Attempt]; a.open {
				a.abort()
				p.outcome(a, policy.Cancelled, false)
			}
		}
	case policy.Reject:
		p.final(x.ID, refused, float64(x.RetryAfter)/1e6)
	case policy.Fail:
		p.final(x.ID, failed, 0)
	case policy.SetTimer:
		life := p.lives
		p.w.after(float64(x.After)/1e6, func() {
			if life == p.lives {
				p.handle(policy.Timer{Token: x.Token})
			}
		})
	}
}

// take takes a client's request in.
func (p *proxy) take(x *want) {
	w := p.w
	w.nextID++
	r := &request{id: strconv.FormatUint(w.nextID, 36), want: x, p: p, due: w.now + x.budget}
	x.try = r
	if p.down {
		r.dead = true
		w.after(w.spec.Fleet.Near, func() { x.got(r, missed, 0) }) // nobody listens
		return
	}
	p.live[r.id] = r
	w.check.took(r)
	c := w.spec.Traffic.Classes[x.class]
	p.handle(policy.Request{
		ID: r.id, TimeLeft: ns(x.budget), Class: x.class, Object: w.name(x.key.object), Part: int(x.key.part), Group: -1,
		SizeKB: x.kb, ClientRetry: x.tries > 1, Write: c.Write,
	})
}

func (w *world) name(object int32) string {
	if int(object) < len(w.names) {
		return w.names[object]
	}
	return strconv.FormatInt(int64(object), 16)
}

func (p *proxy) send(id string, g policy.Fetch) {
	r := p.live[id]
	if r == nil || r.answered {
		p.w.check.broke("an attempt for a request that is over", id)
		return
	}
	w := p.w
	a := &attempt{r: r, no: len(r.attempts), to: w.servers[g.Cache], src: w.servers[g.Source], sent: w.now, open: true}
	r.attempts = append(r.attempts, a)
	if w.out.counts(r.want.first) {
		w.out.attempts++
	}
	w.check.sent(a)
	timeout := r.due - w.now
	if g.Timeout > 0 {
		timeout = min(timeout, float64(g.Timeout)/1e6)
	}
	w.after(timeout, func() {
		if a.open {
			a.abort()
			p.outcome(a, policy.TimedOut, false)
		}
	})
	oldest := 0.0
	if g.MaxAge > 0 {
		oldest = w.now - float64(g.MaxAge)/1e6
	}
	w.after(a.way(), func() { a.arrive(g, oldest) })
}

// outcome tells the module how an attempt ended.
func (p *proxy) outcome(a *attempt, result policy.Result, closed bool) {
	a.open, a.result = false, result
	p.handle(policy.Outcome{
		ID: a.r.id, Attempt: a.no, Cache: a.to.id, Result: result, Note: a.note, Final: closed,
		Latency: ns(p.w.now - a.sent), SourceWait: ns(a.waited),
	})
	p.forget(a.r)
}

// forget drops a request once nothing of it is out.
func (p *proxy) forget(r *request) {
	if !r.answered {
		return
	}
	for _, a := range r.attempts {
		if a.open {
			return
		}
	}
	delete(p.live, r.id)
}

type verdict int

const (
	served verdict = iota
	refused
	failed
	missed // no answer before the client gave up
)

// final is the one final answer of a request.
func (p *proxy) final(id string, v verdict, backoff float64) {
	r := p.live[id]
	if r == nil {
		p.w.check.broke("an answer to nothing", id)
		return
	}
	p.w.check.answered(r, v)
	r.answered = true
	p.forget(r)
	p.w.after(p.w.spec.Fleet.Near, func() { r.want.got(r, v, backoff) })
}
