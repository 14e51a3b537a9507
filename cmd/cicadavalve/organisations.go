package main

import (
	"context"
	"fmt"
	"io"

	"cicadavalve/core/ident"
	"cicadavalve/io/entry"
)

// showOrganisations prints the requests in flight and waiting of each organisation on each entry, and its time to first
// token by class.
func showOrganisations(ctx context.Context, s *showCommand, w io.Writer, _ []string) (err error) {
	answers, err := askAll[[]entry.OrganisationView](ctx, s, "organisations", "")
	if err != nil {
		return err
	}
	return s.out.print(w, answers, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tORGANISATION\tSHARE\tIN FLIGHT\tWAITING\tCLASS\tFIRST TOKENS\tP50\tP95\tP99")
		for _, a := range answers {
			a.printNotes(w)
			for _, o := range a.Document {
				printOrganisation(w, a.Entry, o)
			}
		}
	})
}

// printOrganisation prints one row per class, or a single row without times if no first token was measured.
func printOrganisation(w io.Writer, id ident.EntryID, o entry.OrganisationView) {
	columns := fmt.Sprintf("%s\t%s\t%s\t%d\t%d", id, o.Org, shareText(o), o.InFlight, o.Waiting)
	if len(o.FirstToken) == 0 {
		_, _ = fmt.Fprintln(w, columns)
	}
	for _, r := range o.FirstToken {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f ms\t%.1f ms\t%.1f ms\n", columns, r.Class, r.Count, r.P50Ms, r.P95Ms, r.P99Ms)
	}
}

func shareText(o entry.OrganisationView) string {
	if o.ByRule {
		return fmt.Sprintf("%.0f %%", percent*o.Share)
	}
	return fmt.Sprintf("%.0f %% (default)", percent*o.Share)
}
