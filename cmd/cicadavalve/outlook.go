package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/rules"
	"cicadavalve/core/sched"
	"cicadavalve/io/peer"
)

// errNoLoadReport means that the entry has not yet received which models the engines serve.
var errNoLoadReport = errors.New("the entry has no load report of a model engine yet")

// fetchOutlooks returns the capacity that a valid rules file would leave for each model and service, computed from the
// upstreams as one entry sees them.
func fetchOutlooks(ctx context.Context, client *http.Client, entry, text string) (o []sched.Outlook, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var views []sched.UpstreamView
	if err := peer.NewClient(client, entry).Show(ctx, "upstreams", "", &views); err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(views, func(v sched.UpstreamView) bool { return len(v.Loaded) > 0 }) {
		return nil, errNoLoadReport
	}
	set, faults := rules.Parse(text)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return sched.Outlooks(set, views), nil
}

// printOutlooks prints a line for each model and service whose number of upstreams would change or be too small.
func printOutlooks(w io.Writer, outlooks []sched.Outlook) {
	for _, o := range outlooks {
		if !o.Changed() {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s%s: upstreams now %d, then %d; requests each then %.1f%s\n",
			o.Service, modelName(o), o.Before, o.After, o.RequestsPerUpstream(), shortageText(o))
	}
}

func modelName(o sched.Outlook) string {
	if o.Model == "" {
		return ""
	}
	return fmt.Sprintf("%s %s", o.Model, o.Version)
}

func shortageText(o sched.Outlook) string {
	switch {
	case o.After == 0:
		return "; warning: nothing would serve it"
	case o.Short:
		return "; warning: the rest would be overloaded"
	}
	return ""
}
