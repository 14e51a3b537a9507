package trace_test

import (
	"compress/gzip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/trace"
)

const first = `collector {"time":"2026-01-01T00:00:10Z","level":"WARN","msg":"request_ended","entry":"a","request":"r1","whole":2000000000,"upstream":"u1","status":502}
{"time":"2026-01-01T00:00:09Z","level":"WARN","msg":"store_lost","entry":"a","topic":1}
{"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"store_lost","entry":"a","topic":0}
not a line
`

const second = `{"time":"2026-01-01T00:00:09.5Z","level":"INFO","msg":"request_sent_again","entry":"a","request":"r1","upstream":"u0"}
{"time":"2026-01-01T00:00:08Z","level":"INFO","msg":"upstream_changed","entry":"b","upstream":"u1"}
{"time":"2026-01-01T00:00:08Z","level":"INFO","msg":"upstream_changed","entry":"b","upstream":"u9"}
{"time":"2026-01-01T00:00:09Z","level":"INFO","msg":"request_ended","entry":"a","request":"r2","upstream":"u1"}
`

// TestFindAcrossFiles reads a directory with a plain and a compressed file and finds a request with its context.
func TestFindAcrossFiles(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.log"), []byte(first), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := os.Create(filepath.Join(dir, "b.log.gz"))
	if err != nil {
		t.Fatal(err)
	}
	z := gzip.NewWriter(f)
	if _, err := z.Write([]byte(second)); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	lines, skipped, err := trace.Read([]string{dir, "-"}, strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	s := trace.Find("r1", lines)
	got := [][]string{events(s.Lines), events(s.Context)}
	want := [][]string{{"request_sent_again a", "request_ended a"}, {"upstream_changed b", "store_lost a"}}
	if diff := cmp.Diff(want, got); diff != "" || skipped != 1 {
		t.Errorf("%d lines skipped, events (-want +got):\n%s", skipped, diff)
	}
	if missing := trace.Find("r3", lines); len(missing.Lines)+len(missing.Context) != 0 {
		t.Errorf("lines of a request that is not in the log: %+v", missing)
	}
}

// TestFindFollowsTheDigest finds the lines about other attempts of the same caller, at other entries and outside the
// window of the context.
func TestFindFollowsTheDigest(t *testing.T) {
	const log = `{"time":"2026-01-01T00:00:01Z","msg":"attempt_broken","entry":"b","request":"r0","digest":"d1","upstream":"u0"}
{"time":"2026-01-01T00:00:05Z","msg":"loss_confirmed","entry":"c","digest":"d1","upstream":"u0"}
{"time":"2026-01-01T00:00:09Z","msg":"attempt_broken","entry":"a","request":"r1","digest":"d1","upstream":"u1"}
{"time":"2026-01-01T00:00:09Z","msg":"loss_confirmed","entry":"a","digest":"d2","upstream":"u1"}
{"time":"2026-01-01T00:00:10Z","msg":"request_ended","entry":"a","request":"r1","upstream":"u1","status":502}
`
	lines, _, err := trace.Read([]string{"-"}, strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	s := trace.Find("r1", lines)
	got := [][]string{events(s.Lines), events(s.Related), events(s.Context)}
	want := [][]string{{"attempt_broken a", "request_ended a"}, {"attempt_broken b", "loss_confirmed c"}, {"loss_confirmed a"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

func events(lines []trace.Line) (names []string) {
	for _, l := range lines {
		names = append(names, l.Event+" "+l.Entry)
	}
	return names
}
