// Command harness plays the scripted cases of the review: it starts daemons as processes, and stand-ins of the platform's store, of
// engines and of clients.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (r *record, err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes a line with the time since the start in seconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}
