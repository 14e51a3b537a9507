package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/tmaxmax/go-sse"

	"cicadavalve/core/ident"
	"cicadavalve/core/once"
	"cicadavalve/io/caller"
	"cicadavalve/io/engine"
	"cicadavalve/io/stand"
)

// outcome is how one request ended.
type outcome struct {
	item item
	// whole is true where every byte of the answer was the right one and the final marker came.
	whole   bool
	notRun  bool
	unknown bool
	code    string
	// late is how long after its due time the request was sent.
	first   time.Duration
	gaps    []time.Duration
	elapsed time.Duration
	prompt  int
	cached  int
	// retries counts the times that the caller came back, and retryAfter is when it was told to.
	retries    int
	retryAfter time.Duration
}

// directory asks an entry which entries to use, and keeps the answer for as long as it holds.
type directory struct {
	client *http.Client
	mu     sync.Mutex
	seeds  []string
	turn   int
	known  []string
	until  time.Time
}

func (d *directory) pick(ctx context.Context) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.until) {
		d.refresh(ctx)
	}
	d.turn++
	return d.known[d.turn%len(d.known)]
}

// refresh asks the addresses known so far, and then the seeds.
func (d *directory) refresh(ctx context.Context) {
	for _, address := range append(append([]string(nil), d.known...), d.seeds...) {
		advice, err := d.ask(ctx, address)
		if err != nil || len(advice.Entries) == 0 {
			continue
		}
		d.known = d.known[:0:0]
		for _, e := range advice.Entries {
			d.known = append(d.known, e.Address)
		}
		d.until = time.Now().Add(time.Duration(advice.HoldMs) * time.Millisecond)
		return
	}
	if len(d.known) == 0 {
		d.known = d.seeds
	}
}

func (d *directory) ask(ctx context.Context, address string) (a caller.Advice, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := sling.New().Get("http://" + address + "/v1/entries").Request()
	if err != nil {
		return a, err
	}
	resp, err := d.client.Do(req.WithContext(ctx))
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&a)
	return a, err
}

// streamBody is the body of a streamed completion.
type streamBody struct {
	Model     ident.ModelName `json:"model"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// chunk is what the load reads of an answer's events.
type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	SystemFingerprint ident.Version `json:"system_fingerprint"`
	Usage             struct {
		PromptTokens int `json:"prompt_tokens"`
		CachedTokens int `json:"cached_tokens"`
	} `json:"usage"`
	Error *caller.RefusalError `json:"error"`
}

func (r *Runner) request(ctx context.Context, it item, address string) (req *http.Request, err error) {
	s := sling.New().Base("http://"+address).Set("Authorization", "Bearer "+r.tokens[it.org])
	if it.key != "" {
		s = s.Post("/v1/call/"+string(r.preset.Service)+"/new").Set("Idempotency-Key", it.key).
			Body(strings.NewReader(it.prompt))
	} else {
		s = s.Post("/v1/completions").BodyJSON(streamBody{it.stream.Model, it.prompt, it.stream.MaxTokens, true})
	}
	req, err = s.Request()
	if err != nil {
		return nil, err
	}
	return req.WithContext(ctx), nil
}

// complete runs one completion. A caller that was told that it has not run comes back when
// it was told to, up to the runner's bound; its first token counts from the first due time.
func (r *Runner) complete(ctx context.Context, it item, due time.Time) (o outcome) {
	for try := 0; ; try++ {
		o = r.completeOnce(ctx, it, due)
		o.retries = try
		if !o.notRun || try >= r.comebacks || !sleepUntil(ctx, time.Now().Add(o.retryAfter)) {
			return o
		}
	}
}

// completeOnce sends one completion and checks its answer.
func (r *Runner) completeOnce(ctx context.Context, it item, due time.Time) (o outcome) {
	o.item = it
	resp, err := r.do(ctx, it)
	if err != nil {
		o.code = "connection"
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		o.refused(resp.Body)
		return o
	}
	o.read(resp.Body, due)
	return o
}

func (r *Runner) do(ctx context.Context, it item) (resp *http.Response, err error) {
	req, err := r.request(ctx, it, r.directory.pick(ctx))
	if err != nil {
		return nil, err
	}
	return r.client.Do(req)
}

func (o *outcome) refused(body io.Reader) {
	var b caller.RefusalBody
	if err := json.NewDecoder(body).Decode(&b); err != nil {
		o.code = "not_a_refusal"
		return
	}
	o.code, o.notRun = string(b.Error.Code), b.Error.NotRun
	o.unknown = !o.notRun
	o.retryAfter = time.Duration(b.Error.RetryAfterMs) * time.Millisecond
}

func (o *outcome) read(body io.Reader, due time.Time) {
	var text strings.Builder
	var version ident.Version
	last, finished := due, false
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			o.code = "broken"
			return
		}
		if ev.Data == "[DONE]" {
			o.elapsed = time.Since(due)
			o.whole = finished && text.String() == expected(o.item, version)
			if !o.whole {
				o.code = "wrong_answer"
			}
			return
		}
		var c chunk
		if err := json.Unmarshal([]byte(ev.Data), &c); err != nil || c.Error != nil || len(c.Choices) == 0 {
			o.code = "broken"
			return
		}
		text.WriteString(c.Choices[0].Text)
		if c.Choices[0].FinishReason != nil {
			finished, version = true, c.SystemFingerprint
			o.prompt, o.cached = c.Usage.PromptTokens, c.Usage.CachedTokens
			continue
		}
		last = o.token(last, due)
	}
	o.code = "broken"
}

func (o *outcome) token(last, due time.Time) (now time.Time) {
	now = time.Now()
	if o.first == 0 {
		o.first = now.Sub(due)
	} else {
		o.gaps = append(o.gaps, now.Sub(last))
	}
	return now
}

func expected(it item, version ident.Version) string {
	var b strings.Builder
	for i := range it.stream.MaxTokens {
		b.WriteString(stand.Token(it.prompt, version, i))
	}
	return b.String()
}

const (
	mostCallRetries  = 5
	callRetryBackoff = 200 * time.Millisecond
)

// call runs one once-only call; it asks again with the same key where it was told that the call has
// not run, that it is in progress or not known, or where the connection broke.
func (r *Runner) call(ctx context.Context, it item, due time.Time) (o outcome) {
	for try := range mostCallRetries {
		o = outcome{item: it, retries: try}
		retry := r.callOnce(ctx, it, &o)
		o.elapsed = time.Since(due)
		if !retry {
			return o
		}
		time.Sleep(callRetryBackoff)
	}
	return o
}

func (r *Runner) callOnce(ctx context.Context, it item, o *outcome) (retry bool) {
	resp, err := r.do(ctx, it)
	if err != nil {
		o.code = "connection"
		return true
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		o.refused(resp.Body)
		return o.notRun || o.code == "in_progress" || resp.StatusCode == http.StatusServiceUnavailable
	}
	var answer stand.AppReply
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		o.code = "broken"
		return true
	}
	o.whole = answer.Key == (once.Key{Org: it.org, Key: it.key}).Upstream() && answer.Run == 1
	if !o.whole {
		o.code = "wrong_answer"
	}
	return false
}

// straight runs one completion on an engine, past the entries.
func (r *Runner) straightTo(ctx context.Context, it item, due time.Time) (o outcome) {
	o.item = it
	address, version, err := r.findEngine(ctx, it)
	if err != nil {
		o.code = "no_engine"
		return o
	}
	var text strings.Builder
	last := due
	body := engine.Completion{
		RequestID: "straight", Model: it.stream.Model, Version: version, Prompt: it.prompt,
		MaxTokens: it.stream.MaxTokens, CacheSalt: "straight/" + string(it.org),
	}
	err = r.engines.Complete(ctx, engine.Target{Address: address}, body, func(e engine.Event) error {
		text.WriteString(e.Text)
		if e.Finish == "" {
			last = o.token(last, due)
		}
		return nil
	})
	o.elapsed = time.Since(due)
	o.whole = err == nil && text.String() == expected(it, version)
	return o
}

func (r *Runner) findEngine(ctx context.Context, it item) (address string, version ident.Version, err error) {
	for range r.straight {
		r.turn.Add(1)
		address = r.straight[int(r.turn.Load())%len(r.straight)]
		load, err := r.engines.Load(ctx, address)
		if err == nil && len(load.Loaded) > 0 && load.Loaded[0].Model == it.stream.Model {
			return address, load.Loaded[0].Version, nil
		}
	}
	return "", "", errors.New("no engine holds the model")
}
