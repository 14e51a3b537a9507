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

// errNoReport says that an entry can't tell yet what upstreams serve.
var errNoReport = errors.New("the entry has no load report of a model engine yet")

// outlooks tells what a checked file would leave to each model and service, as one entry sees the upstreams.
func outlooks(ctx context.Context, client *http.Client, entry, text string) (o []sched.Outlook, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusLimit)
	defer cancel()
	var views []sched.UpstreamView
	if err := peer.NewClient(client, entry).Show(ctx, "upstreams", "", &views); err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(views, func(v sched.UpstreamView) bool { return len(v.Loaded) > 0 }) {
		return nil, errNoReport
	}
	set, faults := rules.Parse(text)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return sched.Outlooks(set, views), nil
}

// printOutlooks prints a line for each model and service whose upstreams would change or not suffice.
func printOutlooks(w io.Writer, outlooks []sched.Outlook) {
	for _, o := range outlooks {
		if !o.Changed() {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s%s: upstreams now %d, then %d; requests each then %.1f%s\n",
			o.Service, modelName(o), o.Before, o.After, o.RequestsPerUpstream(), shortage(o))
	}
}

func modelName(o sched.Outlook) string {
	if o.Model == "" {
		return ""
	}
	return fmt.Sprintf("%s %s", o.Model, o.Version)
}

func shortage(o sched.Outlook) string {
	switch {
	case o.After == 0:
		return "; warning: nothing would serve it"
	case o.Short:
		return "; warning: the rest would be overloaded"
	}
	return ""
}
