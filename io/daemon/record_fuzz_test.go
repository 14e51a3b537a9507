package daemon_test

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
	"cicadavalve/io/daemon"
	"cicadavalve/io/gossip"
	"cicadavalve/io/link"
	"cicadavalve/io/port"
	"cicadavalve/platform"
)

// record is a raw record, with a key unless its topic has none.
type record struct {
	key   string
	value []byte
}

// outside is the store and the engines, whose answers are raw bytes.
type outside struct {
	topics map[string][]record
	// answers are those of engines, by path.
	answers map[string][]byte
}

// ServeHTTP implements [http.Handler].
func (o *outside) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/cicadavalve/log-newest":
		newest := map[string][]byte{}
		var keys []string
		for _, r := range o.topics[topic] {
			if _, known := newest[r.key]; !known {
				keys = append(keys, r.key)
			}
			newest[r.key] = r.value
		}
		items := []map[string]any{}
		for _, key := range keys {
			if len(newest[key]) > 0 {
				items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(newest[key])})
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "end": len(o.topics[topic])})
	case "/cicadavalve/log-read":
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		all := o.topics[topic]
		out := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(len(all))), 0)
		for _, r := range all[min(from, len(all)):] {
			content := r.value
			if strings.HasPrefix(topic, "keyed.") {
				content = slices.Concat([]byte{byte(len(r.key))}, []byte(r.key), r.value)
			}
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(content))), content...)
		}
		_, _ = w.Write(out)
	case "/cicadavalve/log-append":
		_, _ = fmt.Fprint(w, `{"offset":0,"end":1}`)
	default:
		answer, known := o.answers[r.URL.Path]
		if !known {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = w.Write(answer)
	}
}

// newOutside returns a store with a configuration and two engines, whose own records are sound.
func newOutside() *outside {
	o := &outside{topics: map[string][]record{}, answers: map[string][]byte{
		"/cicadavalve/report":    []byte(soundReport),
		"/cicadavalve/kv-events": []byte(soundEvents),
		"/cicadavalve/kv-list":   []byte(soundList),
		"/cicadavalve/order":     nil,
		"/cicadavalve/kv-free":   nil,
	}}
	o.put("keyed.op", "config", soundConfig)
	o.put("keyed.op", "version/m", `{"model":"m","version":2}`)
	for _, id := range []string{"e1", "e2", "a1"} {
		o.put("keyed.servers", id, soundRecord(id))
	}
	o.put("keyed.verdicts", "secret", `{"secret":"c2VjcmV0"}`)
	return o
}

func (o *outside) put(topic, key, value string) {
	o.topics[topic] = append(o.topics[topic], record{key, []byte(value)})
}

const (
	soundConfig = `{"version":1,"routes":[{"name":"llm","host":"h","path_prefix":"/llm/","kind":"streaming","service":"llm","timeout_ms":3000,"target_latency_ms":500,` +
		`"priority":1,"max_attempts":2},{"name":"app","host":"h","path_prefix":"/app/","kind":"idempotent","service":"app","timeout_ms":3000,"target_latency_ms":500,` +
		`"priority":1,"max_attempts":2}],"services":[{"name":"llm","cold_per_s":5,"cold_start_s":3,"engine":{"slots":4,"kv_capacity":100000,"kv_token_bytes":20000,` +
		`"link_mbps":1000,"models":[{"name":"m"}]}},{"name":"app","cold_per_s":5},{"name":"store","kv_store_addr":"10.0.9.1:80","kv_capacity":100000,"managed":true}]}`
	soundReport = `{"busy":false,"seq":1,"queued":0,"running":0,"models":[{"name":"m","version":2}],"boot_epoch":5,"born":1700000000000}`
	soundEvents = `{"boot_epoch":5,"next_token":2,"lost":false,"clock_ms":1700000000000,"events":[[1,"+","s1","5c1e07a2",800,"m"]]}`
	soundList   = `{"boot_epoch":5,"next_token":2,"held":[["s1","5c1e07a2",800,"m"]],"partial":[["s1","91bd3f06",10,20]]}`
)

func soundRecord(id string) string {
	service := "llm"
	if id[0] == 'a' {
		service = "app"
	}
	return fmt.Sprintf(`{"service":%q,"address":"10.0.0.%c:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1,"born":1700000000000,`+
		`"models":[{"name":"m","version":1}]}`, service, id[1])
}

// playRecords starts an entry on sound records, adds raw ones, and lets it decide. The engine whose record is sound must stay in use,
// and the one whose record was replaced must be used again once it has written its own.
func playRecords(t *testing.T, key string, values [8][]byte) {
	key = key[:min(len(key), maxKey)]
	o := newOutside()
	server := httptest.NewUnstartedServer(o)
	listener := newPipeListener()
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	defer server.Close()
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return listener.dial(ctx) }
	client := platform.NewClient("10.0.8.1:80", dial)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	d := daemon.NewDaemon(
		daemon.Settings{Name: "n", IP: "127.0.0.1", Zone: "z", FirstPort: 7700, LastPort: 7701, Memory: 256 << 20, Grace: time.Second, Lease: time.Second, VersionGrace: time.Second, RetryRatio: 0.2, RetryWindow: time.Second},
		daemon.Adapters{
			Dialect: platform.Dialect{}, Store: client, Engines: client, Ready: platform.NewReadyHandler, Dial: link.Dial,
			Directory: func(a port.Advice) http.Handler { return platform.NewDirectoryHandler(a, log) },
		}, log, 1)
	s := daemon.NewStepper(d)
	peer := s.NewPeer()
	ctx := t.Context()
	now := time.Now()
	check := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	decide := func() {
		for range 3 {
			now = now.Add(300 * time.Millisecond)
			datagrams, err := s.Decide(ctx, now, true, peer)
			check(err)
			for _, b := range datagrams {
				if len(b) > maxDatagram {
					t.Errorf("a datagram of %d bytes", len(b))
				}
			}
			checkDecodes(t, datagrams)
		}
		for i, service := range []ident.ServiceName{"llm", "app"} {
			need := place.Need{Ticket: place.Ticket(now.UnixNano() + int64(i)), Service: service, Route: string(service), Objective: time.Second, Arrived: time.Now(), Deadline: time.Now().Add(3 * time.Second)}
			if service == "llm" {
				need.Model, need.Chain, need.Output = "m", []conf.Part{{ID: "5c1e07a2", Tokens: 800}, {ID: "b", Tokens: 10}}, 20
			}
			decision, _ := s.Place(need)
			if decision.Panic != nil {
				t.Errorf("placement panicked: %s\n%s", decision.Panic.Cause, decision.Panic.Stack)
			}
		}
	}
	check(s.ReadAgain(ctx))
	check(s.Read(ctx))
	decide()
	s.Fail("e1", false)
	o.topics["keyed.servers"] = append(o.topics["keyed.servers"], record{key, values[0]}, record{"e1", values[1]})
	o.topics["keyed.op"] = append(o.topics["keyed.op"], record{"version/m", values[2]}, record{"rollout/llm", values[3]}, record{"evacuate/far", values[3]})
	o.topics["keyed.verdicts"] = append(o.topics["keyed.verdicts"], record{"quarantine/d", values[4]}, record{"suspect/d", values[4]})
	o.topics["keyed.status"] = append(o.topics["keyed.status"], record{"rollout/llm", values[3]})
	o.topics["claims"] = append(o.topics["claims"], record{value: values[5]})
	o.topics["keyed.entries"] = append(o.topics["keyed.entries"], record{"other", values[5]})
	o.answers["/cicadavalve/report"], o.answers["/cicadavalve/kv-events"], o.answers["/cicadavalve/kv-list"] = values[6], values[7], values[7]
	check(s.Read(ctx))
	s.Fail(ident.UpstreamID(key), true)
	decide()
	check(s.ReadAgain(ctx))
	decide()
	if u, _ := s.Listed("e2"); key != "e2" && (u.Address != "10.0.0.2:80" || u.Draining) {
		t.Errorf("the engine beside is %+v", u)
	}
	o.put("keyed.servers", "e1", soundRecord("e1"))
	o.put("keyed.servers", "e3", soundRecord("e3"))
	check(s.Read(ctx))
	decide()
	for _, id := range []ident.UpstreamID{"e1", "e3"} {
		u, _ := s.Listed(id)
		if diff := cmp.Diff(fmt.Sprintf("10.0.0.%c:80", id[1]), u.Address); diff != "" {
			t.Errorf("address of %s after its own record (-want +got):\n%s", id, diff)
		}
	}
}

// maxKey is the length of the longest key, in bytes.
const maxKey = 255

// longReport is that of an engine with many models of long names.
func longReport() []byte {
	models := []any{map[string]any{"name": "m", "version": 2}}
	for i := range 900 {
		models = append(models, map[string]any{"name": fmt.Sprint(strings.Repeat("n", 200), i), "version": 1})
	}
	b, err := json.Marshal(map[string]any{"busy": false, "seq": 1, "models": models, "boot_epoch": 5, "born": 1})
	if err != nil {
		panic(err)
	}
	return b
}

// maxDatagram is the largest that UDP carries, in bytes.
const maxDatagram = 65_507

// checkDecodes checks that other entries can read datagrams.
func checkDecodes(t *testing.T, datagrams [][]byte) {
	for _, b := range datagrams {
		if _, fault, err := gossip.Decode(b); fault != nil || err != nil {
			t.Errorf("other entries can't read a datagram: %v, left out: %v", err, fault)
		}
	}
}

// pipeListener accepts connections within the process.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{make(chan net.Conn), make(chan struct{})}
}

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements [net.Listener].
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

// Close implements [net.Listener].
func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

// Addr implements [net.Listener].
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 8, 1), Port: 80} }

// oddNumbers replace values of sound records.
var oddNumbers = []string{"1e300", "9223372036854775807", "-9223372036854775808", "9007199254740991", "-1", "0.5", "null", `"1"`}

// oddForms returns a sound value, the same with one number or text replaced by each odd one, and values that are no records.
func oddForms(sound string) (forms [][]byte) {
	forms = [][]byte{
		[]byte(sound), nil, []byte("null"), []byte("[]"), []byte("{}"), []byte("\xff"), []byte(`"x"`), []byte(strings.Repeat("[", 200_000)),
		[]byte(strings.Replace(sound, "{", `{"more":`+strings.Repeat("[", 9000)+strings.Repeat("]", 9000)+",", 1)), []byte(sound[:len(sound)/2]),
	}
	for at := 0; at < len(sound); at++ {
		if !strings.ContainsRune(":,[", rune(sound[at])) {
			continue
		}
		end := at + 1
		for end < len(sound) && !strings.ContainsRune(",]}{[", rune(sound[end])) {
			end++
		}
		if old := sound[at+1 : end]; old == "" || strings.Contains(old, ":") {
			continue
		}
		for _, odd := range oddNumbers {
			forms = append(forms, []byte(sound[:at+1]+odd+sound[end:]))
		}
	}
	return forms
}

// soundValues are the values of which the seeds replace one.
var soundValues = [8]string{
	soundRecord("e9"), soundRecord("e1"), `{"model":"m","version":3}`, `{"service":"llm","target":"v2","ramp_s":20,"state":"running"}`,
	`{"digest":"d","losses":[{"upstream":"e1","boot":"1","earlier_losses":[]}],"since_ms":1700000000000,"tried":1}`, `{"holder":"n","boot_epoch":1}`, soundReport, soundEvents,
}

func soundBytes() (values [8][]byte) {
	for i, v := range soundValues {
		values[i] = []byte(v)
	}
	return values
}

// TestOddRecordsOfEveryTopicAreDecided plays each odd form of each record and answer, and odd keys.
func TestOddRecordsOfEveryTopicAreDecided(t *testing.T) {
	for _, key := range []string{"", "e1", "e2", "\xff", "a\r\nb", "\x00", strings.Repeat("k", maxKey)} {
		t.Run(fmt.Sprintf("key %.8q", key), func(t *testing.T) { playRecords(t, key, soundBytes()) })
	}
	t.Run("long report", func(t *testing.T) {
		values := soundBytes()
		values[6] = longReport()
		playRecords(t, "odd", values)
	})
	for i, sound := range soundValues {
		for n, form := range oddForms(sound) {
			values := soundBytes()
			values[i] = form
			t.Run(fmt.Sprintf("value %d form %d", i, n), func(t *testing.T) {
				if playRecords(t, "odd", values); t.Failed() {
					t.Logf("%.300q", form)
				}
			})
		}
	}
}

// FuzzRecords plays raw records and answers as TestOddRecordsOfEveryTopicAreDecided does.
func FuzzRecords(f *testing.F) {
	v := soundBytes()
	f.Add("odd", v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7])
	f.Fuzz(func(t *testing.T, key string, odd, replaced, version, rollout, verdict, claim, report, events []byte) {
		playRecords(t, key, [8][]byte{odd, replaced, version, rollout, verdict, claim, report, events})
	})
}
