// Command oncegate runs a job at most once among several workers, coordinated only by the order of records in a log.
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
	deliver(now, workers, nil)

	// Both workers receive a call with the same key, and each appends a start record for it.
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

	// Both read the log; the first record for the key wins.
	deliver(now, workers, log)
}

// deliver passes the log's records to every worker and prints whether it may run the job.
func deliver(now time.Time, workers []*once.Model, log []ledger.Entry) {
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
