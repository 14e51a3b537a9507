package main

import (
	"context"
	"fmt"
	"io"

	"cicadavalve/core/ident"
	"cicadavalve/io/entry"
)

// showOrganisations tells what each organisation has in hand on each entry, and its first-token times by class.
func showOrganisations(ctx context.Context, s *shower, w io.Writer, _ []string) (err error) {
	answers, err := askAll[[]entry.OrganisationView](ctx, s, "organisations", "")
	if err != nil {
		return err
	}
	return s.out.print(w, answers, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tORGANISATION\tSHARE\tIN FLIGHT\tWAITING\tCLASS\tFIRST TOKENS\tP50\tP95\tP99")
		for _, a := range answers {
			a.notes(w)
			for _, o := range a.Document {
				printOrganisation(w, a.Entry, o)
			}
		}
	})
}

// printOrganisation prints a row a class, or one without times.
func printOrganisation(w io.Writer, id ident.EntryID, o entry.OrganisationView) {
	now := fmt.Sprintf("%s\t%s\t%s\t%d\t%d", id, o.Org, shareText(o), o.InFlight, o.Waiting)
	if len(o.FirstToken) == 0 {
		_, _ = fmt.Fprintln(w, now)
	}
	for _, r := range o.FirstToken {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f ms\t%.1f ms\t%.1f ms\n", now, r.Class, r.Count, r.P50Ms, r.P95Ms, r.P99Ms)
	}
}

func shareText(o entry.OrganisationView) string {
	if o.ByRule {
		return fmt.Sprintf("%.0f %%", percent*o.Share)
	}
	return fmt.Sprintf("%.0f %% (default)", percent*o.Share)
}
