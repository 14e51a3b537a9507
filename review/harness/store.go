package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// entry is one record of a topic.
type entry struct {
	content []byte
	at      time.Time
}

// topicLog is one topic, with one partition. Records before first have expired.
type topicLog struct {
	records []entry
	first   int
	newest  map[string]keyed
}

// keyed is the newest value of a key, and the offset of its record.
type keyed struct {
	value  []byte
	offset int
}

// store stands in for the platform's metadata store. Records expire after keep; the newest of each key of a keyed topic stays.
type store struct {
	mu     sync.Mutex
	topics map[string]*topicLog
	keep   time.Duration
	addr   string
	server *http.Server
}

func newStore(host string, keep time.Duration) (s *store, err error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s = &store{topics: map[string]*topicLog{}, keep: keep, addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cicadavalve/log-newest", s.newest)
	mux.HandleFunc("GET /cicadavalve/log-read", s.read)
	mux.HandleFunc("POST /cicadavalve/log-append", s.append)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// topic returns a topic without its expired records; the lock is held.
func (s *store) topic(name string) *topicLog {
	t, ok := s.topics[name]
	if !ok {
		t = &topicLog{newest: map[string]keyed{}}
		s.topics[name] = t
	}
	for t.first < len(t.records) && time.Since(t.records[t.first].at) > s.keep {
		t.records[t.first].content = nil
		t.first++
	}
	return t
}

func isKeyed(topic string) bool { return len(topic) > 6 && topic[:6] == "keyed." }

func (t *topicLog) add(topic string, content []byte) (offset int) {
	t.records = append(t.records, entry{content, time.Now()})
	if isKeyed(topic) && len(content) > 0 {
		end := 1 + int(content[0])
		if key := string(content[1:end]); len(content) > end {
			t.newest[key] = keyed{content[end:], len(t.records) - 1}
		} else {
			delete(t.newest, key)
		}
	}
	return len(t.records) - 1
}

// put writes a keyed record as the operator and the engines do; a nil value drops the key.
func (s *store) put(topic, key string, value any) {
	var raw []byte
	if value != nil {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add(topic, append(append([]byte{byte(len(key))}, key...), raw...))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// maxItems bounds the records of one page.
const maxItems = 500

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after, hasAfter := r.URL.Query().Get("after"), r.URL.Query().Has("after")
	var keys []string
	for key := range t.newest {
		if !hasAfter || key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxItems
	if more {
		keys = keys[:maxItems]
	}
	items := []map[string]any{}
	for _, key := range keys {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.newest[key].value), "offset": t.newest[key].offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		first, end := t.first, len(t.records)
		var out []byte
		if from >= first && from <= end && (from < end || !time.Now().Before(until)) {
			out = binary.BigEndian.AppendUint64(out, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for _, e := range t.records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(e.content)))
				out = append(out, e.content...)
			}
		}
		s.mu.Unlock()
		switch {
		case from < first || from > end:
			reply(w, http.StatusGone, map[string]any{"first": first})
			return
		case out != nil:
			_, _ = w.Write(out)
			return
		case r.Context().Err() != nil:
			return
		}
		time.Sleep(4 * time.Millisecond)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	q := r.URL.Query()
	topic := q.Get("topic")
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]any{})
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	end := len(t.records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+size {
			break
		}
		t.add(topic, body[4:4+size])
		body = body[4+size:]
	}
	reply(w, http.StatusOK, map[string]any{"offset": end, "end": len(t.records)})
}
