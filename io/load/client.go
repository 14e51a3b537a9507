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
	"cicadavalve/io/fakes"
)

// outcome is the result of one request.
type outcome struct {
	item item
	// correct is true if the answer has the expected content and its end marker was received.
	correct bool
	notRun  bool
	unknown bool
	code    string
	// firstToken is the time from the due time to the first token; tokenGaps are the times between later tokens.
	firstToken   time.Duration
	tokenGaps    []time.Duration
	elapsed      time.Duration
	promptTokens int
	cachedTokens int
	// retries is the number of earlier attempts; retryAfter is the delay requested by the last refusal.
	retries    int
	retryAfter time.Duration
}

// directory picks the entry for each request. It fetches the advice of an entry on which entries to use, and caches it
// for the hold time in the advice.
type directory struct {
	client    *http.Client
	mu        sync.Mutex
	seeds     []string
	index     int
	entries   []string
	expiresAt time.Time
}

// pick returns the address of an entry, by round robin.
func (d *directory) pick(ctx context.Context) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.expiresAt) {
		d.refresh(ctx)
	}
	d.index++
	return d.entries[d.index%len(d.entries)]
}

// refresh fetches new advice from the current entries or, if all of them fail, from the seeds.
func (d *directory) refresh(ctx context.Context) {
	for _, address := range append(append([]string(nil), d.entries...), d.seeds...) {
		advice, err := d.fetchAdvice(ctx, address)
		if err != nil || len(advice.Entries) == 0 {
			continue
		}
		d.entries = d.entries[:0:0]
		for _, e := range advice.Entries {
			d.entries = append(d.entries, e.Address)
		}
		d.expiresAt = time.Now().Add(time.Duration(advice.HoldMs) * time.Millisecond)
		return
	}
	if len(d.entries) == 0 {
		d.entries = d.seeds
	}
}

func (d *directory) fetchAdvice(ctx context.Context, address string) (a caller.Advice, err error) {
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

// streamBody is the request body of a streamed completion.
type streamBody struct {
	Model     ident.ModelName `json:"model"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// chunk holds the fields that are read from each event of an answer.
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

// callPath is the path of calls within their service.
const callPath = "new"

func (r *Runner) request(ctx context.Context, it item, address string) (req *http.Request, err error) {
	s := sling.New().Base("http://"+address).Set("Authorization", "Bearer "+r.tokens[it.org])
	if it.key != "" {
		s = s.Post("/v1/call/"+string(r.preset.Service)+"/"+callPath).Set("Idempotency-Key", it.key).
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

// runCompletion runs one completion. A completion that is refused as not run is retried after the delay in the refusal,
// up to maxRetries times. Its time to first token counts from the original due time.
func (r *Runner) runCompletion(ctx context.Context, it item, due time.Time) (o outcome) {
	for attempt := 0; ; attempt++ {
		o = r.attemptCompletion(ctx, it, due)
		o.retries = attempt
		if !o.notRun || attempt >= r.maxRetries || !sleepUntil(ctx, time.Now().Add(o.retryAfter)) {
			return o
		}
	}
}

// attemptCompletion sends a completion once and checks the answer.
func (r *Runner) attemptCompletion(ctx context.Context, it item, due time.Time) (o outcome) {
	o.item = it
	resp, err := r.do(ctx, it)
	if err != nil {
		o.code = "connection"
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		o.readRefusal(resp.Body)
		return o
	}
	o.readStream(resp.Body, due)
	return o
}

func (r *Runner) do(ctx context.Context, it item) (resp *http.Response, err error) {
	req, err := r.request(ctx, it, r.directory.pick(ctx))
	if err != nil {
		return nil, err
	}
	return r.client.Do(req)
}

// readRefusal records a refusal. Unless it states that the request has not run, it is unknown whether it ran.
func (o *outcome) readRefusal(body io.Reader) {
	var b caller.RefusalBody
	if err := json.NewDecoder(body).Decode(&b); err != nil {
		o.code = "not_a_refusal"
		return
	}
	o.code, o.notRun = string(b.Error.Code), b.Error.NotRun
	o.unknown = !o.notRun
	o.retryAfter = time.Duration(b.Error.RetryAfterMs) * time.Millisecond
}

// readStream reads a streamed answer, records its token times and checks its text.
func (o *outcome) readStream(body io.Reader, due time.Time) {
	var text strings.Builder
	var version ident.Version
	last, finished, done := due, false, false
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			o.code = "broken"
			return
		}
		if done {
			o.code = "wrong_answer"
			return
		}
		if ev.Data == "[DONE]" {
			done, o.elapsed = true, time.Since(due)
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(ev.Data), &c); err != nil || c.Error != nil || len(c.Choices) == 0 {
			o.code = "broken"
			return
		}
		text.WriteString(c.Choices[0].Text)
		if c.Choices[0].FinishReason != nil {
			finished, version = true, c.SystemFingerprint
			o.promptTokens, o.cachedTokens = c.Usage.PromptTokens, c.Usage.CachedTokens
			continue
		}
		last = o.recordToken(last, due)
	}
	o.correct = done && finished && text.String() == expectedText(o.item, version)
	switch {
	case !done:
		o.code = "broken"
	case !o.correct:
		o.code = "wrong_answer"
	}
}

// recordToken records the arrival of a token, and returns its time. last is the arrival of the previous token.
func (o *outcome) recordToken(last, due time.Time) (now time.Time) {
	now = time.Now()
	if o.firstToken == 0 {
		o.firstToken = now.Sub(due)
	} else {
		o.tokenGaps = append(o.tokenGaps, now.Sub(last))
	}
	return now
}

// expectedText returns the text that a correct answer has.
func expectedText(it item, version ident.Version) string {
	var b strings.Builder
	for i := range it.stream.MaxTokens {
		b.WriteString(fakes.Token(it.prompt, version, i))
	}
	return b.String()
}

const (
	maxCallAttempts  = 5
	callRetryBackoff = 200 * time.Millisecond
)

// runCall runs one once-only call. It retries with the same key if the connection breaks, or if the answer is not
// readable, states that the call has not run or is in progress, or has status 503. The latter includes the entries'
// answer that an earlier call with the key may have run.
func (r *Runner) runCall(ctx context.Context, it item, due time.Time) (o outcome) {
	for attempt := range maxCallAttempts {
		o = outcome{item: it, retries: attempt}
		retry := r.attemptCall(ctx, it, &o)
		o.elapsed = time.Since(due)
		if !retry {
			return o
		}
		time.Sleep(callRetryBackoff)
	}
	return o
}

func (r *Runner) attemptCall(ctx context.Context, it item, o *outcome) (retry bool) {
	resp, err := r.do(ctx, it)
	if err != nil {
		o.code = "connection"
		return true
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		o.readRefusal(resp.Body)
		return o.notRun || o.code == "in_progress" || resp.StatusCode == http.StatusServiceUnavailable
	}
	var answer fakes.AppReply
	raw, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(raw, &answer) != nil {
		o.code = "broken"
		return true
	}
	o.correct = answer == fakes.AppReply{
		Service: string(r.preset.Service), Path: callPath, Key: once.Key{Org: it.org, Key: it.key}.Upstream(),
		Run: 1, Receipt: fakes.Receipt(len(it.prompt)),
	}
	if !o.correct {
		o.code = "wrong_answer"
	}
	return false
}

// runDirect runs one completion directly on an engine, bypassing the entries.
func (r *Runner) runDirect(ctx context.Context, it item, due time.Time) (o outcome) {
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
			last = o.recordToken(last, due)
		}
		return nil
	})
	o.elapsed = time.Since(due)
	o.correct = err == nil && text.String() == expectedText(it, version)
	return o
}

// findEngine returns the next engine, by round robin, whose first loaded model is the item's, and the loaded version.
func (r *Runner) findEngine(ctx context.Context, it item) (address string, version ident.Version, err error) {
	for range r.directEngines {
		r.engineIndex.Add(1)
		address = r.directEngines[int(r.engineIndex.Load())%len(r.directEngines)]
		load, err := r.engines.Load(ctx, address)
		if err == nil && len(load.Loaded) > 0 && load.Loaded[0].Model == it.stream.Model {
			return address, load.Loaded[0].Version, nil
		}
	}
	return "", "", errors.New("no engine has the model loaded")
}
