// Command logfold agrees on a configuration by folding a log. Two operators propose a file based on the same version, and the
// record with the lower offset wins.
package main

import (
	"fmt"
	"log"
	"time"

	"cicadavalve/core/ledger"
)

func main() {
	fold := ledger.NewConfig()
	batch := ledger.BatchMsg{Stream: ledger.StreamConfig}
	for i, operator := range []string{"depot lead", "night shift"} {
		body := ledger.ConfigBody{Base: 0, Operator: operator, Text: "drain az mosgiel  # asked by: " + operator}
		rec, err := ledger.NewRecord(fmt.Sprint("proposal-", i), ledger.KindConfig, "entry-0", body)
		if err != nil {
			log.Fatal(err)
		}
		batch.Entries = append(batch.Entries, ledger.Entry{Offset: int64(i), Record: rec})
		batch.Next++
	}
	for _, cmd := range fold.Update(time.Now(), batch) {
		if cmd, ok := cmd.(ledger.InForceCmd); ok {
			fmt.Printf("version %d is in force: %s\n", cmd.Version, cmd.Text)
		}
	}
	for _, e := range batch.Entries {
		outcome, _ := fold.Outcome(e.Record.ID)
		fmt.Printf("%s: %s\n", e.Record.ID, outcome.Verdict)
	}
}
