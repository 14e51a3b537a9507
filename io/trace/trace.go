// Package trace extracts the history of one request from the logs of many entries, together with other events that may
// explain it.
package trace

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// contextWindow is how long before and after a request other events are included: a few intervals of the reads of the
// upstreams' list.
const contextWindow = 3 * time.Second

// maxLine is the maximum length of a line, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time  time.Time
	Entry string
	// Event is the name of the logged event.
	Event string
	// Fields holds the other attributes except the level.
	Fields map[string]any
}

// History holds the log lines about a request.
type History struct {
	Request string
	// Lines are those of the request itself, ordered by time.
	Lines []Line
	// Related are the other lines about its digest, at any entry and any time, ordered by time: earlier and later
	// attempts of its caller, and what was decided about them.
	Related []Line
	// Context holds events shortly before, during and after the request, ordered by time: those about the same
	// upstreams at any entry, and those at the same entries that concern no upstream. It has no lines of other requests.
	Context []Line
	// Skipped counts the lines that could not be parsed. The caller of [Find] sets it.
	Skipped int
}

// Read reads log lines from files, directories and gzip files, and from stdin for the path "-". It also returns the
// number of lines that could not be parsed.
//
//	lines, skipped, err := trace.Read([]string{"logs"}, os.Stdin)
func Read(paths []string, stdin io.Reader) (lines []Line, skipped int, err error) {
	defer func() { err = errors.Wrap(err, "read logs") }()
	for _, path := range paths {
		if path == "-" {
			found, bad, err := scan(stdin)
			if err != nil {
				return nil, 0, err
			}
			lines, skipped = append(lines, found...), skipped+bad
			continue
		}
		err := filepath.WalkDir(path, func(name string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			found, bad, err := readFile(name)
			lines, skipped = append(lines, found...), skipped+bad
			return err
		})
		if err != nil {
			return nil, 0, err
		}
	}
	return lines, skipped, nil
}

func readFile(name string) (lines []Line, skipped int, err error) {
	defer func() { err = errors.Wrap(err, name) }()
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	if !strings.HasSuffix(name, ".gz") {
		return scan(f)
	}
	z, err := gzip.NewReader(f)
	if err != nil {
		return nil, 0, err
	}
	return scan(z)
}

func scan(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if l, ok := parse(s.Bytes()); ok {
			lines = append(lines, l)
		} else {
			skipped++
		}
	}
	return lines, skipped, s.Err()
}

// parse decodes one line. It ignores text before the JSON object, which log collectors may add.
func parse(b []byte) (l Line, ok bool) {
	at := strings.IndexByte(string(b), '{')
	if at < 0 {
		return Line{}, false
	}
	var head struct {
		Time  time.Time `json:"time"`
		Msg   string    `json:"msg"`
		Entry string    `json:"entry"`
	}
	if json.Unmarshal(b[at:], &head) != nil || json.Unmarshal(b[at:], &l.Fields) != nil || head.Msg == "" {
		return Line{}, false
	}
	for _, name := range []string{"time", "msg", "entry", "level"} {
		delete(l.Fields, name)
	}
	l.Time, l.Event, l.Entry = head.Time, head.Msg, head.Entry
	return l, true
}

// Find selects the lines of a request and their context. s.Lines is empty if no line is about the request.
func Find(request string, lines []Line) (s History) {
	s.Request = request
	entries, upstreams := map[string]bool{}, map[string]bool{}
	digest := digestOf(request, lines)
	for _, l := range lines {
		if l.Fields["request"] != request {
			if digest != "" && l.Fields["digest"] == digest {
				s.Related = append(s.Related, l)
			}
			continue
		}
		s.Lines = append(s.Lines, l)
		entries[l.Entry] = true
		if id, ok := l.Fields["upstream"].(string); ok && id != "" {
			upstreams[id] = true
		}
	}
	sortByTime(s.Lines)
	sortByTime(s.Related)
	if len(s.Lines) == 0 {
		return s
	}
	begin, end := s.begin().Add(-contextWindow), s.Lines[len(s.Lines)-1].Time.Add(contextWindow)
	for _, l := range lines {
		_, ofRequest := l.Fields["request"]
		if ofRequest || digest != "" && l.Fields["digest"] == digest || l.Time.Before(begin) || l.Time.After(end) {
			continue
		}
		id, _ := l.Fields["upstream"].(string)
		if upstreams[id] || id == "" && entries[l.Entry] {
			s.Context = append(s.Context, l)
		}
	}
	sortByTime(s.Context)
	return s
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// digestOf returns the digest that the lines of a request name, empty if none does. Lines with the same digest concern
// other attempts of its caller, at any entry.
func digestOf(request string, lines []Line) string {
	for _, l := range lines {
		if digest, ok := l.Fields["digest"].(string); ok && l.Fields["request"] == request {
			return digest
		}
	}
	return ""
}

// begin returns when the request arrived: computed from the duration in its last line, or the time of the first line if
// there is none.
func (s History) begin() time.Time {
	last := s.Lines[len(s.Lines)-1]
	if whole, ok := last.Fields["whole"].(float64); ok {
		return last.Time.Add(-time.Duration(whole))
	}
	return s.Lines[0].Time
}
