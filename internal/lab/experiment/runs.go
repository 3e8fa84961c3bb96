package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"runtime"
	"sync"

	"ravenwheel/internal/lab/sim"
)

// Run is the result of one variant with one seed. A file of runs has one run, as JSON, in each line.
type Run struct {
	Variant    string      `json:"variant"`
	SweepValue float64     `json:"at"`
	Seed       uint64      `json:"seed"`
	Result     *sim.Result `json:"result"`
}

// runID identifies a run within an experiment.
type runID struct {
	variant string
	seed    uint64
}

func (r Run) id() runID { return runID{r.Variant, r.Seed} }

// Initial and maximum size, in bytes, of the buffer for a line of a file of runs.
const (
	lineBuffer = 1 << 20
	maxLine    = 256 << 20
)

// Load reads the runs of a file. If the file does not exist, there are none. Load skips lines that are incomplete because writing
// them was interrupted.
func Load(path string) (runs []Run, err error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(make([]byte, lineBuffer), maxLine)
	for lines.Scan() {
		var r Run
		if json.Unmarshal(lines.Bytes(), &r) == nil && r.Result != nil {
			runs = append(runs, r)
		}
	}
	return runs, lines.Err()
}

// Append appends a run to a file, which is created if it does not exist.
func Append(path string, r Run) error {
	encoded, err := json.Marshal(r)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	_, err = file.Write(append(encoded, '\n'))
	return errors.Join(err, file.Close())
}

// job is a run that is still to be made.
type job struct {
	variant Variant
	seed    uint64
}

// RunRemaining makes the runs that are not among done, in as many goroutines as workers says, or one for each core if workers is 0.
// It calls finished after each run, never concurrently, with the number of runs completed so far and the total. It returns when all
// runs are completed, or when ctx ends, which drops the runs in progress. The error is the first one of any run.
func (e *Experiment) RunRemaining(ctx context.Context, done []Run, workers int, finished func(r Run, completed, total int)) error {
	jobs := e.jobs(done)
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	var (
		queue     = make(chan job)
		wait      sync.WaitGroup
		mu        sync.Mutex
		first     error
		completed int
	)
	for range min(workers, len(jobs)) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for j := range queue {
				result, err := sim.Run(ctx, j.variant.Scenario, j.seed)
				mu.Lock()
				if err != nil && first == nil {
					first = err
				}
				if err == nil {
					completed++
					finished(Run{Variant: j.variant.Name, SweepValue: j.variant.SweepValue, Seed: j.seed, Result: result}, completed, len(jobs))
				}
				mu.Unlock()
			}
		}()
	}
	for _, j := range jobs {
		select {
		case queue <- j:
		case <-ctx.Done():
		}
	}
	close(queue)
	wait.Wait()
	return first
}

// jobs returns the runs that are not among done.
func (e *Experiment) jobs(done []Run) (jobs []job) {
	isDone := map[runID]bool{}
	for _, r := range done {
		isDone[r.id()] = true
	}
	for _, v := range e.Variants {
		for seed := uint64(1); seed <= uint64(e.Seeds); seed++ {
			if !isDone[runID{v.Name, seed}] {
				jobs = append(jobs, job{v, seed})
			}
		}
	}
	return jobs
}
