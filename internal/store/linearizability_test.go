package store

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/storestate"
)

// op is a call as its client saw it. An empty key is the configuration, any other a token id to spend.
type op struct {
	key  string
	base uint64
	read bool
}

// outcome is how a call ended. One that is unknown may have taken effect at any time since.
type outcome struct {
	ok, unknown bool
	revision    uint64
}

// model is that of one key: a token id that can be spent once, or a revision that is replaced by the next.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(uint64), input.(op), output.(outcome)
		switch {
		case in.read:
			if out.unknown || out.revision == s {
				return []any{s}
			}
		case in.key != "":
			if out.unknown {
				return []any{uint64(1)} // spent by this call or before it
			}
			if out.ok == (s == 0) {
				return []any{uint64(1)}
			}
		case out.unknown && s == in.base:
			return []any{s, s + 1}
		case out.unknown:
			return []any{s}
		case out.ok && s == in.base && out.revision == s+1:
			return []any{s + 1}
		case !out.ok && s != in.base && out.revision == s:
			return []any{s}
		}
		return nil
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range history {
			by[o.Input.(op).key] = append(by[o.Input.(op).key], o)
		}
		var out [][]porcupine.Operation
		for _, h := range by {
			out = append(out, h)
		}
		return out
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// Clients spend token ids, change the configuration and read it while members are cut off, killed and restarted. Their history
// is linearizable.
func TestLinearizable(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.leader()
	names := []string{"a", "b", "c"}
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, in op, f func() (outcome, bool)) {
		call := time.Since(began).Nanoseconds()
		out, happened := f()
		if !happened {
			return // it had no effect, so there is nothing to order
		}
		end := time.Since(began).Nanoseconds()
		if out.unknown {
			end = math.MaxInt64
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for client := range 6 {
		rng := rand.New(rand.NewPCG(7, uint64(client)))
		wait.Add(1)
		go func() {
			defer wait.Done()
			var base uint64
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				c.mu.Lock()
				s := c.members[names[rng.IntN(3)]]
				c.mu.Unlock()
				switch rng.IntN(4) {
				case 0:
					record(client, op{base: base}, func() (outcome, bool) {
						rev, err := s.SetConfig(base, fmt.Sprint(client, n), "")
						switch {
						case err == nil || errors.Is(err, ErrConflict):
							base = rev
							return outcome{ok: err == nil, revision: rev}, true
						case errors.Is(err, ErrOutcomeUnknown):
							return outcome{unknown: true}, true
						}
						return outcome{}, false
					})
				case 1:
					record(client, op{read: true}, func() (outcome, bool) {
						var rev uint64
						err := s.ReadLinearizable(func(st *storestate.State) { rev = st.Revision().Number })
						return outcome{revision: rev}, err == nil
					})
				default:
					jti := fmt.Sprint("j", time.Since(began).Milliseconds()/40) // many clients spend the same ids
					record(client, op{key: jti}, func() (outcome, bool) {
						err := s.SpendToken(jti, 9e15)
						switch {
						case err == nil || errors.Is(err, ErrTokenSpent):
							return outcome{ok: err == nil}, true
						case errors.Is(err, ErrOutcomeUnknown):
							return outcome{unknown: true}, true
						}
						return outcome{}, false
					})
				}
			}
		}()
	}
	rng := rand.New(rand.NewPCG(7, 99))
	for round := range 5 {
		time.Sleep(250 * time.Millisecond)
		name := names[rng.IntN(3)]
		if round%2 == 0 {
			c.isolate(name, true)
			time.Sleep(400 * time.Millisecond)
			c.isolate(name, false)
			continue
		}
		c.mu.Lock()
		s := c.members[name]
		c.mu.Unlock()
		s.Kill()
		time.Sleep(300 * time.Millisecond)
		c.open(name, Options{})
	}
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wait.Wait()
	done, unknown := 0, 0
	for _, o := range history {
		if done++; o.Output.(outcome).unknown {
			unknown++
		}
	}
	require.Greater(t, done, 100)
	verdict, info := porcupine.CheckOperationsVerbose(model.ToModel(), history, time.Minute)
	if verdict != porcupine.Ok {
		path := t.TempDir() + "/history.html"
		_ = porcupine.VisualizePath(model.ToModel(), info, path)
	}
	require.Equal(t, porcupine.Ok, verdict)
	t.Logf("%d calls, of %d the outcome is unknown", done, unknown)
}
