package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// use is a request that went on from cached parts that another tenant's request made.
type use struct {
	request, tenant, maker, part, salt string
	at                                 time.Time
}

// memory is what a model engine has cached: who made each part, by the text under which engines find it.
type memory struct {
	mu    sync.Mutex
	maker map[string]string
	uses  []use
}

// serveStream runs a request: it reads the prompt, using what is cached of it, and answers with three events.
func (m *memory) serveStream(rec *record, e *engine) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tenant, salt := r.Header.Get("Tenant"), r.Header.Get("Cache-Salt")
		m.mu.Lock()
		prefix := true
		for _, entry := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
			id, count, _ := strings.Cut(strings.TrimSpace(entry), ":")
			key := salt + "\x00" + id
			maker, cached := m.maker[key]
			if prefix = prefix && cached; prefix && maker != tenant {
				m.uses = append(m.uses, use{r.Header.Get("Request-Id"), tenant, maker, id, salt, time.Now()})
			}
			if !cached {
				m.maker[key] = tenant
				tokens, _ := strconv.Atoi(count)
				e.cached(salt, id, tokens)
			}
			rec.add("engine %s: request %s of %s under %q: part %s, cached %v, made by %q", e.id, r.Header.Get("Request-Id"), tenant, salt, id, prefix && cached, m.maker[key])
		}
		m.mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
			w.(http.Flusher).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// sharedPart is the part that the prompts of both tenants begin with, as ID:TOKENS.
const sharedPart = "5c1e07a2:1861"

// ask sends a request with a shared part and one of its own, and reads its answer.
func (s *stage) ask(d *daemon, id, key, own string) (err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.front+"/puxa400/2f", strings.NewReader("body of "+id))
	if err != nil {
		return err
	}
	r.Host = "pule25.example"
	r.Header = http.Header{
		"Request-Id": {id}, "X-Api-Key": {key}, "Deadline-Ms": {"3000"}, "Model": {modelName}, "Token-Count": {"2368,4"},
		"Prompt-Prefix": {sharedPart + "," + own + ":507"},
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	s.rec.add("client: request %s to %s answered %d", id, d.name, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("request %s was answered %d", id, response.StatusCode)
	}
	return nil
}

const (
	firstKey  = "jnbanfqasnmgkcuyj8pj"
	secondKey = "w7kqzt3mhd5yxg2vbc8n"
)

// lateIsolation lets two tenants share a part of their prompts, then isolates the one whose request made it, and lets the other one ask
// again after the configuration must be in force. With CONTROL set the tenant is isolated from the first configuration on.
func lateIsolation(s *stage) (err error) {
	const first, second = "bozi300", "kela200"
	isolated := map[string]bool{first: os.Getenv("CONTROL") != ""}
	engines, err := s.begin(2, 2, tenant(first, isolated[first], firstKey), tenant(second, false, secondKey))
	if err != nil {
		return err
	}
	var memories []*memory
	for _, e := range engines {
		m := &memory{maker: map[string]string{}}
		memories = append(memories, m)
		e.serve = m.serveStream(s.rec, e)
	}
	time.Sleep(3 * time.Second)
	for i := range 6 {
		if err := s.ask(s.daemons[i%2], fmt.Sprintf("a%d", i), firstKey, fmt.Sprintf("91bd3f%02x", i)); err != nil {
			return err
		}
	}
	if s.trouble {
		s.rec.add("operator writes version 2 of the configuration: %s is isolated", first)
		isolated[first] = true
		s.store.put("keyed.op", "config", config(2, tenant(first, true, firstKey), tenant(second, false, secondKey)))
	}
	time.Sleep(5 * time.Second)
	since := time.Now()
	for i := range 6 {
		if err := s.ask(s.daemons[i%2], fmt.Sprintf("b%d", i), secondKey, fmt.Sprintf("e4402b%02x", i)); err != nil {
			return err
		}
	}
	foreign := 0
	for _, m := range memories {
		m.mu.Lock()
		for _, u := range m.uses {
			if !u.at.After(since) {
				continue
			}
			foreign++
			if isolated[u.tenant] || isolated[u.maker] {
				err = fmt.Errorf("%w: WALL: request %s of %s went on from part %s, which a request of %s made", errBroken, u.request, u.tenant, u.part, u.maker)
			}
		}
		m.mu.Unlock()
	}
	s.rec.add("%d requests went on from parts that another tenant's request made; isolated: %v", foreign, isolated[first])
	return err
}
