// Package experiment runs scenarios by the dozen: variants of one base, sweeps over a parameter, several seeds each, in
// parallel and resumable. Its files are JSON with comments; what a variant changes is given by JSON pointers (RFC 6901).
package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/tailscale/hujson"

	"ravenwheel/internal/lab/sim"
	"ravenwheel/internal/strictjson"
)

// Experiment is a file's content.
type Experiment struct {
	Name     string
	Seeds    int
	Variants []Variant
}

// Variant is one scenario of an experiment.
type Variant struct {
	Name string
	At   float64 // of the sweep; NaN is not used: 0 where there is none
	Spec sim.Spec
}

// Bounds of an experiment.
const (
	mostSeeds    = 1000
	mostVariants = 200
)

// Parse reads an experiment: a scenario, and beside its fields "seeds", "variants" (by name: pointers and values) and
// "sweep" (a pointer and values).
func Parse(file string, text []byte) (*Experiment, strictjson.Defects) {
	fail := func(format string, args ...any) strictjson.Defects {
		return strictjson.Defects{{File: file, Reason: fmt.Sprintf(format, args...)}}
	}
	var probe struct{}
	if d := strictjson.Decode(file, text, &probe); len(d.Defects) > 0 && !strings.HasPrefix(d.Defects[0].Reason, "unknown field") {
		return nil, d.Defects // no JSON at all
	}
	v, err := hujson.Parse(text)
	if err != nil {
		return nil, fail("%v", err)
	}
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil, fail("wants an object")
	}
	e := &Experiment{Seeds: 1}
	var variants, sweep hujson.Value
	kept := object.Members[:0:0]
	for _, m := range object.Members {
		switch m.Name.Value.(hujson.Literal).String() {
		case "seeds":
			n, err := strconv.Atoi(strings.TrimSpace(m.Value.String()))
			if err != nil || n < 1 || n > mostSeeds {
				return nil, fail("seeds is not 1 to %d", mostSeeds)
			}
			e.Seeds = n
		case "variants":
			variants = m.Value
		case "sweep":
			sweep = m.Value
		default:
			kept = append(kept, m)
		}
	}
	base := hujson.Value{Value: &hujson.Object{Members: kept}}
	if e.Variants, err = expand(file, base, variants, sweep); err != nil {
		var bad strictjson.Defects
		if errors.As(err, &bad) {
			// Places are those of the file itself as long as nothing was taken out in front of them.
			if _, own := sim.Parse(file, text); len(variants.Pack()) == 0 && len(sweep.Pack()) == 0 && e.Seeds == 1 {
				return nil, own
			}
			return nil, bad
		}
		return nil, fail("%v", err)
	}
	e.Name = e.Variants[0].Spec.Name
	return e, nil
}

// expand makes the scenarios of the variants and the sweep.
func expand(file string, base, variants, sweep hujson.Value) ([]Variant, error) {
	type named struct {
		name string
		at   float64
		set  []change
	}
	list := []named{{name: "base"}}
	if o, ok := variants.Value.(*hujson.Object); ok {
		for _, m := range o.Members {
			set, err := changes(m.Value)
			if err != nil {
				return nil, fmt.Errorf("variant %q: %w", m.Name.Value.(hujson.Literal).String(), err)
			}
			list = append(list, named{name: m.Name.Value.(hujson.Literal).String(), set: set})
		}
	} else if variants.Value != nil {
		return nil, errors.New("variants wants an object")
	}
	if o, ok := sweep.Value.(*hujson.Object); ok {
		var swept []named
		for _, m := range o.Members {
			values, ok := m.Value.Value.(*hujson.Array)
			if !ok || len(o.Members) != 1 {
				return nil, errors.New("sweep wants one pointer with a list of values")
			}
			path := m.Name.Value.(hujson.Literal).String()
			for _, x := range list {
				for _, v := range values.Elements {
					lit, ok := v.Value.(hujson.Literal)
					if !ok || lit.Kind() != '0' {
						return nil, errors.New("sweep wants numbers")
					}
					n := x
					n.at = lit.Float()
					n.name = fmt.Sprintf("%s, %s %v", x.name, path, n.at)
					n.set = append(slices.Clone(x.set), change{path, string(lit)})
					swept = append(swept, n)
				}
			}
		}
		list = swept
	} else if sweep.Value != nil {
		return nil, errors.New("sweep wants an object")
	}
	if len(list) > mostVariants {
		return nil, fmt.Errorf("%d variants, %d at the most", len(list), mostVariants)
	}
	var out []Variant
	for _, x := range list {
		v := base.Clone()
		for _, c := range x.set {
			// What the base leaves to its usual values is not there to be changed: it is made first.
			for i, b := range c.path {
				if b == '/' && i > 0 && v.Find(c.path[:i]) == nil {
					if err := v.Patch([]byte(fmt.Sprintf(`[{"op": "add", "path": %q, "value": {}}]`, c.path[:i]))); err != nil {
						return nil, fmt.Errorf("%s: %s: %w", x.name, c.path, err)
					}
				}
			}
			if err := v.Patch([]byte(fmt.Sprintf(`[{"op": "add", "path": %q, "value": %s}]`, c.path, c.value))); err != nil {
				return nil, fmt.Errorf("%s: %s: %w", x.name, c.path, err)
			}
		}
		spec, bad := sim.Parse(file, v.Pack())
		if bad != nil {
			return nil, bad
		}
		out = append(out, Variant{x.name, x.at, spec})
	}
	return out, nil
}

type change struct{ path, value string }

// changes reads pointers and the values to put there.
func changes(v hujson.Value) (out []change, err error) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil, errors.New("wants pointers and values")
	}
	for _, m := range o.Members {
		c := m.Value.Clone()
		c.Standardize()
		out = append(out, change{m.Name.Value.(hujson.Literal).String(), string(c.Pack())})
	}
	return out, nil
}

// Run is one scenario with one seed, as it is written to a file of results, a line each.
type Run struct {
	Variant string      `json:"variant"`
	At      float64     `json:"at"`
	Seed    uint64      `json:"seed"`
	Result  *sim.Result `json:"result"`
}

func (r Run) key() string { return fmt.Sprintf("%s\x00%d", r.Variant, r.Seed) }

// Load reads the runs that a file holds; one that was cut off in the middle is left out.
func Load(path string) ([]Run, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []Run
	lines := bufio.NewScanner(f)
	lines.Buffer(make([]byte, 1<<20), 256<<20)
	for lines.Scan() {
		var r Run
		if json.Unmarshal(lines.Bytes(), &r) == nil && r.Result != nil {
			out = append(out, r)
		}
	}
	return out, lines.Err()
}

// Do runs what is not in done yet, as many at once as workers say (0: one a core), and hands each run on as it ends. It
// returns when all are done or ctx ends; runs that were under way then are dropped.
func (e *Experiment) Do(ctx context.Context, done []Run, workers int, ended func(Run, int, int)) error {
	have := map[string]bool{}
	for _, r := range done {
		have[r.key()] = true
	}
	type job struct {
		v    Variant
		seed uint64
	}
	var jobs []job
	for _, v := range e.Variants {
		for seed := range uint64(e.Seeds) {
			if !have[(Run{Variant: v.Name, Seed: seed + 1}).key()] {
				jobs = append(jobs, job{v, seed + 1})
			}
		}
	}
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	todo := make(chan job)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var first error
	n := 0
	for range min(workers, len(jobs)) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for j := range todo {
				r, err := sim.Run(ctx, j.v.Spec, j.seed)
				mu.Lock()
				if err != nil && first == nil {
					first = err
				}
				if err == nil {
					n++
					ended(Run{j.v.Name, j.v.At, j.seed, r}, n, len(jobs))
				}
				mu.Unlock()
			}
		}()
	}
	for _, j := range jobs {
		select {
		case todo <- j:
		case <-ctx.Done():
		}
	}
	close(todo)
	wait.Wait()
	return first
}

// Append writes a run to a file of results.
func Append(path string, r Run) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(append(raw, '\n'))
	return errors.Join(err, f.Close())
}

// Shrink makes a scenario in which a rule breaks smaller for as long as one still does: fewer troubles, less time, a
// smaller fleet, less traffic. It returns the smallest that it found.
func Shrink(ctx context.Context, s sim.Spec, seed uint64, tried func(sim.Spec, bool)) (sim.Spec, error) {
	breaks := func(x sim.Spec) bool {
		r, err := sim.Run(ctx, x, seed)
		bad := err == nil && r.Broken > 0
		tried(x, bad)
		return bad
	}
	if !breaks(s) {
		return s, errors.New("no rule breaks with this seed")
	}
	for smaller := true; smaller && ctx.Err() == nil; {
		smaller = false
		for _, x := range candidates(s) {
			if breaks(x) {
				s, smaller = x, true
				break
			}
		}
	}
	return s, ctx.Err()
}

// candidates are scenarios a step smaller, the largest steps first.
func candidates(s sim.Spec) (out []sim.Spec) {
	for i := range s.Troubles {
		x := s
		x.Troubles = slices.Delete(slices.Clone(s.Troubles), i, i+1)
		out = append(out, x)
	}
	for _, n := range []*int{&s.Fleet.Branches, &s.Fleet.Caches, &s.Fleet.Proxies, &s.Fleet.Hubs, &s.Traffic.Objects} {
		if old := *n; old > 1 {
			*n = old / 2
			out = append(out, s)
			*n = old
		}
	}
	for _, v := range []*float64{&s.Seconds, &s.Traffic.PerS} {
		if old := *v; old > 1 {
			*v = old / 2
			x := s
			x.Troubles = slices.DeleteFunc(slices.Clone(s.Troubles), func(t sim.Trouble) bool { return t.At > x.Seconds })
			out = append(out, x)
			*v = old
		}
	}
	return out
}
