package daemon_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestEveryEventIsDocumented compares the events that the code logs with the table on the page for operators.
func TestEveryEventIsDocumented(t *testing.T) {
	logged := regexp.MustCompile(`(?:[lL]og\.(?:Debug|Info|Warn|Error)\(|\)\)\.Warn\(|LogAttrs\([^"\n]*)"([a-z_]+)"`)
	inCode := map[string]bool{}
	for _, pattern := range []string{"*.go", "../relay/*.go", "../guard/*.go", "../logbuf/*.go", "../../platform/*.go", "../../cmd/cicadavalve/daemon.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			b, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			for _, match := range logged.FindAllSubmatch(b, -1) {
				inCode[string(match[1])] = true
			}
		}
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(page), "## Events")
	table, _, _ = strings.Cut(table, "## Metrics")
	var documented []string
	for _, row := range strings.Split(table, "\n") {
		cells := strings.Split(row, "|")
		if len(cells) < 2 {
			continue
		}
		for _, match := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(cells[1], -1) {
			documented = append(documented, match[1])
		}
	}
	var logs []string
	for name := range inCode {
		logs = append(logs, name)
	}
	slices.Sort(logs)
	slices.Sort(documented)
	if diff := cmp.Diff(documented, logs); diff != "" {
		t.Errorf("events (-documented +logged):\n%s", diff)
	}
}
