package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platformStore is a stand-in of the platform's metadata store: a log of topics with one partition each.
type platformStore struct {
	mu     sync.Mutex
	topics map[string][][]byte
	// grown is closed and replaced with each append.
	grown chan struct{}
	addr  string
}

func newPlatformStore(host string) *platformStore {
	s := &platformStore{topics: map[string][][]byte{}, grown: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cicadavalve/log-newest", s.newest)
	mux.HandleFunc("GET /cicadavalve/log-read", s.read)
	mux.HandleFunc("POST /cicadavalve/log-append", s.append)
	l := listen(host, 0)
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// listen opens a port of a loopback address, or ends the program with "could not run".
func listen(host string, port int) net.Listener {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(port)))
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

func (s *platformStore) add(topic string, records ...[]byte) (offset int) {
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// put writes a keyed record; a nil value removes the key.
func (s *platformStore) put(topic, key string, value any) {
	content := append([]byte{byte(len(key))}, key...)
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			cannotRun("encode %s: %v", key, err)
		}
		content = append(content, raw...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, content)
}

func (s *platformStore) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for i, content := range s.topics[topic] {
		key, value := string(content[1:1+content[0]]), content[1+content[0]:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
	}
	items := []item{}
	for _, it := range newest {
		if it.Key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > 500
	writeJSON(w, 200, map[string]any{"items": items[:min(len(items), 500)], "more": more, "end": len(s.topics[topic])})
}

func (s *platformStore) read(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waited := wait == 0; ; {
		s.mu.Lock()
		records, grown := s.topics[topic], s.grown
		s.mu.Unlock()
		if from < len(records) || waited {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, content := range records[min(from, len(records)):] {
				if len(out)+len(content) > 1<<20 {
					break
				}
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(content))), content...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-grown:
		case <-timeout:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *platformStore) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	offset := s.add(topic, records...)
	writeJSON(w, 200, map[string]any{"offset": offset, "end": len(s.topics[topic])})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// cannotRun ends the program as a case that could not run.
func cannotRun(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	endProcesses()
	exit(2)
}
