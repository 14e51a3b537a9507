package guard_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/guard"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements [io.Writer].
func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// String returns what was written.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestHandlerCutsOneRequest has a handler panic, and cut a connection on purpose: that is no fault and is not logged.
func TestHandlerCutsOneRequest(t *testing.T) {
	var log lockedBuffer
	g := guard.New(slog.New(slog.NewJSONHandler(&log, nil)), func() {})
	server := httptest.NewServer(g.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/panics":
			panic(strings.Repeat("x", 10_000))
		case "/cuts":
			panic(http.ErrAbortHandler)
		}
	})))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	got := map[string]int{}
	for _, path := range []string{"/cuts", "/panics", "/sound"} {
		before := len(log.String())
		r, err := client.Get(server.URL + path)
		if err == nil {
			_ = r.Body.Close()
			got[path+" answered"] = r.StatusCode
		}
		got[path+" lines"] = strings.Count(log.String()[before:], "request_panicked")
	}
	server.Close()
	want := map[string]int{"/cuts lines": 0, "/panics lines": 1, "/sound lines": 0, "/sound answered": 200}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers and log lines (-want +got):\n%s", diff)
	}
	if n := len(log.String()); n > 12_000 {
		t.Errorf("the log line has %d bytes", n)
	}
}

// TestLocksEndWithTheirFunction reads the source of the product: each Lock must be followed by the deferred Unlock, so
// that a panic neither leaves a lock held nor passes by [guard.Mutex.Unlock]. The stand-ins are no part of the product.
func TestLocksEndWithTheirFunction(t *testing.T) {
	files, locks := token.NewFileSet(), 0
	for _, dir := range []string{"cmd/cicadavalve", "core", "io", "platform"} {
		err := filepath.WalkDir(filepath.Join("../..", dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() && (entry.Name() == "fakes" || entry.Name() == "guard") {
				return fs.SkipDir
			}
			if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				var list []ast.Stmt
				switch n := n.(type) {
				case *ast.BlockStmt:
					list = n.List
				case *ast.CaseClause:
					list = n.Body
				case *ast.CommClause:
					list = n.Body
				}
				for i, stmt := range list {
					unlock, isLock := unlockOf(stmt)
					if !isLock {
						continue
					}
					locks++
					if i+1 == len(list) || deferred(list[i+1]) != unlock {
						t.Errorf("%s: not followed by defer %s", files.Position(stmt.Pos()), unlock)
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if locks == 0 {
		t.Error("no locks found")
	}
}

// unlockOf returns the call that ends a lock; ok is false if the statement takes none.
func unlockOf(stmt ast.Stmt) (unlock string, ok bool) {
	expr, isExpr := stmt.(*ast.ExprStmt)
	if !isExpr {
		return "", false
	}
	text := types.ExprString(expr.X)
	for _, lock := range []string{".Lock()", ".RLock()"} {
		if object, found := strings.CutSuffix(text, lock); found {
			return object + strings.Replace(lock, "L", "Unl", 1), true
		}
	}
	return "", false
}

// deferred returns the call that a statement defers, empty if it defers none.
func deferred(stmt ast.Stmt) string {
	if d, ok := stmt.(*ast.DeferStmt); ok {
		return types.ExprString(d.Call)
	}
	return ""
}
