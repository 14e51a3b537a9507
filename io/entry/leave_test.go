package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
)

// clusterVariable makes [TestStandstillSendsNoCompletionOfACallerThatLeft] play the entry and its engines.
const clusterVariable = "CICADAVALVE_TEST_CLUSTER"

// TestStandstillSendsNoCompletionOfACallerThatLeft stops the process of an entry and its engines while callers send requests and leave. Callers
// that stay are served.
func TestStandstillSendsNoCompletionOfACallerThatLeft(t *testing.T) {
	if os.Getenv(clusterVariable) != "" {
		playCluster(t)
		return
	}
	t.Parallel()
	const callers = 24
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestStandstillSendsNoCompletionOfACallerThatLeft$")
	cmd.Env = append(os.Environ(), clusterVariable+"=1")
	stop, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = stop.Close()
		_ = cmd.Wait()
	}()
	var addresses []string
	for lines := bufio.NewScanner(out); addresses == nil && lines.Scan(); {
		if list, ok := strings.CutPrefix(lines.Text(), "serving "); ok {
			addresses = strings.Fields(list)
		}
	}
	if len(addresses) < 2 {
		t.Fatal("the cluster did not start")
	}
	before := startedAt(ctx, t, addresses[1:])
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	var leaving []net.Conn
	staying := sendCompletion(t, addresses[0], "stays")
	for n := range callers {
		leaving = append(leaving, sendCompletion(t, addresses[0], fmt.Sprint("leaves ", n)))
	}
	time.Sleep(100 * time.Millisecond)
	for n, c := range leaving {
		if n%2 == 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
	time.Sleep(time.Second)
	_ = cmd.Process.Signal(syscall.SIGCONT)
	response, err := http.ReadResponse(bufio.NewReader(staying), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the caller that stayed got %v, error %v", response, err)
	}
	time.Sleep(500 * time.Millisecond)
	if n := startedAt(ctx, t, addresses[1:]) - before; n != 1 {
		t.Errorf("engines started %d of %d requests, want that of the caller that stayed", n, callers+1)
	}
}

// playCluster runs an entry and its engines until its input ends.
func playCluster(t *testing.T) {
	c, _ := startCluster(t, 1)
	line := "serving " + c.Entries()[0].Caller
	for _, e := range c.Engines() {
		line += " " + e.Address
	}
	fmt.Println(line)
	_, _ = bufio.NewReader(os.Stdin).ReadByte()
}

// startedAt returns how many completions engines have started.
func startedAt(ctx context.Context, t *testing.T, engines []string) (count int) {
	t.Helper()
	for _, address := range engines {
		raw, err := bench.Get(ctx, "http://"+address+"/stats")
		if err != nil {
			t.Fatal(err)
		}
		var stats fakes.EngineStats
		if err := json.Unmarshal(raw, &stats); err != nil {
			t.Fatal(err)
		}
		for _, n := range stats.Started {
			count += n
		}
	}
	return count
}

// sendCompletion sends a request on a new connection and doesn't wait for the answer.
func sendCompletion(t *testing.T, address, prompt string) (c net.Conn) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	body := completionBody(prompt, 4)
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", bench.Token, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
