// Command oncegate runs a job at most once among several workers, by the order of a log alone.
package main

import (
	"fmt"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/once"
)

func main() {
	now := time.Now()
	workers := []*once.Model{once.NewModel("worker-a", "boot-a"), once.NewModel("worker-b", "boot-b")}
	read(now, workers, nil)

	// Both workers ask for the same key; each gets a record to append.
	var log []ledger.Entry
	for i, w := range workers {
		call := once.CallMsg{
			Request: ident.RequestID(fmt.Sprint("request-", i)), Key: once.Key{Org: "grower", Key: "slot-7"},
			Digest: "same body", Attempt: fmt.Sprint("attempt-", i),
		}
		for _, cmd := range w.Update(now, call) {
			if cmd, ok := cmd.(once.AppendCmd); ok {
				log = append(log, ledger.Entry{Offset: int64(len(log)), Record: cmd.Record})
			}
		}
	}

	// Each reads the log; the first record of the key wins.
	read(now, workers, log)
}

// read hands a log to every worker and prints what each may do.
func read(now time.Time, workers []*once.Model, log []ledger.Entry) {
	batch := ledger.BatchMsg{Stream: once.StreamOnce, Entries: log, Next: int64(len(log))}
	for i, w := range workers {
		for _, cmd := range w.Update(now, batch) {
			switch cmd := cmd.(type) {
			case once.SendCmd:
				fmt.Printf("worker %d runs the job\n", i)
			case once.AnswerCmd:
				fmt.Printf("worker %d does not: %s\n", i, cmd.Answer)
			}
		}
	}
}
