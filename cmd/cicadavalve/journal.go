package main

import (
	"context"
	"fmt"
	"io"

	"cicadavalve/core/record"
)

// showJournal prints how many steps of each entry's journal are held, forgotten and missing from the log, and which
// message type takes the most space.
func showJournal(ctx context.Context, s *showCommand, w io.Writer, _ []string) (err error) {
	answers, err := askAll[record.Counts](ctx, s, "record", "")
	if err != nil {
		return err
	}
	return s.out.print(w, answers, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tSTEPS\tIN MEMORY\tMEMORY BYTES\tFORGOTTEN\tNOT IN THE LOG\tFAULTS\tLARGEST TYPE")
		for _, a := range answers {
			a.printNotes(w)
			d := a.Document
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", a.Entry, d.Steps, d.MemorySteps, d.MemoryBytes,
				d.Evicted, d.Dropped, d.Faults, largestType(d))
		}
	})
}

func largestType(c record.Counts) string {
	if len(c.Types) == 0 {
		return ""
	}
	t := c.Types[0]
	return fmt.Sprintf("%s: %d steps, %d bytes", t.Type, t.Steps, t.Bytes)
}
