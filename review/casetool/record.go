package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a run, in record.txt. Each line begins with the Unix time in ms and the time since the start in s.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%.0f %7.3f %s\n", nowMs(), time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// nowMs returns the Unix time in ms.
func nowMs() float64 { return float64(time.Now().UnixNano()) / 1e6 }
