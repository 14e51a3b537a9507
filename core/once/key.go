package once

import (
	_ "embed"
	"encoding/json"
	"net/url"
	"time"

	"github.com/google/uuid"

	"cicadavalve/core/chart"
	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

//go:embed key.yaml
var keyYAML []byte

var keyChart = chart.Must(keyYAML)

// The states of a key that answers tell apart.
const (
	stateStarted chart.State = "started"
	stateUnknown chart.State = "unknown"
)

// keyState is what the log says about one key that is not free.
type keyState struct {
	key   Key
	state chart.State
	// attempt is the start record that won the key; it never changes while the key is held.
	attempt     string
	digest      string
	entry       ident.EntryID
	incarnation ident.BootID
	result      *Result
	// offset is that of the start record.
	offset int64
	// since is when this entry folded the start. It is no part of the agreed state.
	since time.Time
}

// aged is a key or a void attempt with the offset from which its age counts.
type aged struct {
	offset int64
	// held is nil for a void attempt.
	held *keyState
	void string
}

// keys is the fold of the once stream. Two folds of the same records are equal but for since.
type keys struct {
	// next is the offset of the first record not folded yet; it never decreases.
	next   int64
	window int64
	held   map[Key]*keyState
	// voids holds the attempts that were declared not run, with the offset of the declaration.
	voids map[string]int64
	// order lists held and voids by offset, the oldest first.
	order []aged
	// horizons holds, by organisation, the latest time of a forgotten key that tells its own time, in
	// milliseconds of the Unix epoch. A key up to it may have been forgotten; a later one has not.
	horizons map[ident.OrgID]int64
}

func newKeys(window int64) *keys {
	return &keys{
		window: window, held: map[Key]*keyState{}, voids: map[string]int64{}, horizons: map[ident.OrgID]int64{},
	}
}

// fold takes one record and returns its body, and whether the record is about an attempt.
func (f *keys) fold(now time.Time, e ledger.Entry) (body Body, ok bool) {
	f.next = e.Offset + 1
	f.forget()
	if e.Record.Kind == KindSnapshot || json.Unmarshal(e.Record.Body, &body) != nil {
		return body, false
	}
	f.step(now, e.Offset, chart.Event(e.Record.Kind), body)
	return body, true
}

func (f *keys) step(now time.Time, offset int64, event chart.Event, body Body) {
	k, held := f.held[body.Key]
	if !held {
		k = &keyState{key: body.Key, state: keyChart.Initial()}
	}
	t, taken := keyChart.Next(k.state, event, func(g chart.Guard) bool { return f.holds(g, k, body) })
	if !taken {
		return
	}
	k.state = t.To
	for _, a := range t.Actions {
		f.act(a, now, offset, k, body)
	}
}

func (f *keys) holds(g chart.Guard, k *keyState, body Body) bool {
	switch g {
	case "owner":
		return k.attempt == body.Attempt
	case "void":
		_, void := f.voids[body.Attempt]
		return void
	case "expired":
		return f.expired(body.Key)
	}
	return false
}

func (f *keys) act(a chart.Action, now time.Time, offset int64, k *keyState, body Body) {
	switch a {
	case "hold":
		k.attempt, k.digest, k.entry, k.incarnation = body.Attempt, body.Digest, body.Entry, body.Incarnation
		k.offset, k.since = offset, now
		f.held[k.key] = k
		f.order = append(f.order, aged{offset: offset, held: k})
	case "release":
		delete(f.held, k.key)
	case "keep":
		k.result = body.Result
	case "void":
		f.voids[body.Attempt] = offset
		f.order = append(f.order, aged{offset: offset, void: body.Attempt})
	}
}

// forget drops what is older than the window.
func (f *keys) forget() {
	n := 0
	for n < len(f.order) && f.order[n].offset < f.next-f.window {
		f.drop(f.order[n])
		n++
	}
	f.order = f.order[n:]
}

func (f *keys) drop(a aged) {
	if a.held == nil {
		if f.voids[a.void] == a.offset {
			delete(f.voids, a.void)
		}
		return
	}
	if f.held[a.held.key] != a.held {
		return
	}
	delete(f.held, a.held.key)
	if at, tells := a.held.key.time(); tells {
		f.horizons[a.held.key.Org] = max(f.horizons[a.held.key.Org], at)
	}
}

// expired reports whether the key may have been forgotten.
func (f *keys) expired(k Key) bool {
	at, tells := k.time()
	horizon, any := f.horizons[k.Org]
	return tells && any && at <= horizon
}

const (
	timeBytes = 6
	version7  = 7
)

// Upstream is the key as an upstream gets it: the organisation, escaped so that it holds no slash, a
// slash and the key. No two keys of this system are the same there.
func (k Key) Upstream() string {
	if k.Key == "" {
		return ""
	}
	return url.PathEscape(string(k.Org)) + "/" + k.Key
}

// time is the key's own time in milliseconds of the Unix epoch, where the key is a UUID of version 7.
func (k Key) time() (ms int64, tells bool) {
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != version7 {
		return 0, false
	}
	for _, b := range id[:timeBytes] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

// answer is what a caller with a held key gets.
func (k *keyState) answer(request ident.RequestID, digest string) AnswerCmd {
	cmd := AnswerCmd{Request: request}
	switch {
	case k.digest != digest:
		cmd.Answer = AnswerMismatch
	case k.state == stateStarted:
		cmd.Answer, cmd.RetryAfter = AnswerInProgress, inProgressRetryAfter
	case k.state == stateUnknown:
		cmd.Answer = AnswerUnknown
	case k.result == nil || k.result.Omitted:
		cmd.Answer = AnswerNotKept
	default:
		cmd.Answer, cmd.Result = AnswerResult, k.result
	}
	return cmd
}

const inProgressRetryAfter = 500 * time.Millisecond
