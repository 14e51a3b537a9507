package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/port"
)

// oddStore is a store with records that can't be read.
type oddStore struct {
	port.Store
	events []any
	faults []error
}

func (s *oddStore) Snapshot(context.Context, port.Topic, time.Duration) (batch port.Batch, err error) {
	return port.Batch{Next: 5, Events: s.events, Faults: s.faults}, nil
}

// TestUnreadableRecordFillsNoLog reads the same unreadable records again and again, one of them with a text of a megabyte.
func TestUnreadableRecordFillsNoLog(t *testing.T) {
	many := []error{errors.Newf("registration of e1: number %s", strings.Repeat("9", 1<<20))}
	for i := range 2000 {
		many = append(many, errors.Wrapf(errors.New("fields are missing"), "registration of %d", i%500))
	}
	for format, newHandler := range map[string]func(*bytes.Buffer) slog.Handler{
		"text": func(b *bytes.Buffer) slog.Handler { return slog.NewTextHandler(b, nil) },
		"JSON": func(b *bytes.Buffer) slog.Handler { return slog.NewJSONHandler(b, nil) },
	} {
		var written bytes.Buffer
		log := slog.New(newHandler(&written))
		f := newFeed(&Daemon{store: &oddStore{faults: many}, log: log, controller: newFleet(Settings{}, 1, time.Now())[0]}, port.Upstreams, 0, 0, listMaxAge)
		for range 3 {
			if err := f.step(t.Context(), -1, 0); err != nil {
				t.Fatal(err)
			}
		}
		got := strings.Count(written.String(), "record_unreadable")
		if diff := cmp.Diff(maxFaultLines, got); diff != "" {
			t.Errorf("%s: lines of single records (-want +got):\n%s", format, diff)
		}
		longest := 0
		for line := range strings.Lines(written.String()) {
			longest = max(longest, len(line))
		}
		if written.Len() > 8<<10 || longest > 500 {
			t.Errorf("%s: %d bytes for three reads, the longest line has %d", format, written.Len(), longest)
		}
		if strings.Contains(written.String(), ".go:") {
			t.Errorf("%s: the log has a stack trace: %.2000s", format, written.String())
		}
	}
}

// TestLogOfNewFaultIsNotSuppressed reads one unreadable record after another.
func TestLogOfNewFaultIsNotSuppressed(t *testing.T) {
	var written bytes.Buffer
	log := newFaultLog(slog.New(slog.NewJSONHandler(&written, nil)), port.Operator)
	for i := range 3 {
		log.report([]error{errors.Newf("fault %d", i), errors.New("the same")})
	}
	var got []string
	for line := range strings.Lines(written.String()) {
		var r struct {
			Message string `json:"msg"`
			Error   string `json:"error"`
		}
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			t.Fatal(err)
		}
		got = append(got, fmt.Sprint(r.Message, ": ", r.Error))
	}
	want := []string{"record_unreadable: fault 0", "record_unreadable: the same", "record_unreadable: fault 1", "record_unreadable: fault 2"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("log (-want +got):\n%s", diff)
	}
}

// TestUnreadableOrderEndsNoRollout reads the operator's records again: without the order of a roll-out, which ends it, and while one of
// them can't be read, which may be that order.
func TestUnreadableOrderEndsNoRollout(t *testing.T) {
	for unreadable, want := range map[bool][]ident.ServiceName{true: {"app"}, false: nil} {
		store := &oddStore{events: []any{port.RolloutEvent{Service: "app", Release: "v2", Within: time.Minute}}}
		d := &Daemon{store: store, log: slog.New(slog.DiscardHandler), controller: newFleet(Settings{}, 1, time.Now())[0]}
		f := newFeed(d, port.Operator, 0, 0, operatorMaxAge)
		for range 2 {
			if err := f.step(t.Context(), -1, 0); err != nil {
				t.Fatal(err)
			}
			store.events = nil
			if unreadable {
				store.faults = []error{errors.New("unreadable")}
			}
		}
		if diff := cmp.Diff(want, d.controller.ramp.Services()); diff != "" {
			t.Errorf("unreadable %v: services with a roll-out (-want +got):\n%s", unreadable, diff)
		}
	}
}
