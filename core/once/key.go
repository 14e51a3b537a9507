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

// The states of a key on which its answer depends.
const (
	stateStarted chart.State = "started"
	stateUnknown chart.State = "unknown"
)

// keyState is the state of a key that is not free, as folded from the log.
type keyState struct {
	key   Key
	state chart.State
	// attempt is the start record that won the key; it never changes while the key is held.
	attempt     string
	digest      string
	entry       ident.EntryID
	incarnation ident.BootID
	result      *Result
	// offset is the offset of the start record.
	offset int64
	// foldedAt is when this entry folded the start; it differs between entries.
	foldedAt time.Time
}

// windowItem is a held key or a void attempt, with the offset from which its age in records counts.
type windowItem struct {
	offset int64
	// held is nil for a void attempt.
	held *keyState
	void string
}

// keys is the fold of the once stream. Two folds of the same records are equal except for foldedAt.
type keys struct {
	// next is the offset of the first record not folded yet; it never decreases.
	next   int64
	window int64
	held   map[Key]*keyState
	// voids maps the attempts that were declared not run to the offset of that record.
	voids map[string]int64
	// order lists the items of held and voids by offset, the oldest first.
	order []windowItem
	// horizons holds, by organisation, the latest timestamp of an evicted key, in milliseconds of the
	// Unix epoch. A key with a timestamp up to it may have been evicted; a later one has not.
	horizons map[ident.OrgID]int64
}

func newKeys(window int64) *keys {
	return &keys{
		window: window, held: map[Key]*keyState{}, voids: map[string]int64{}, horizons: map[ident.OrgID]int64{},
	}
}

// fold folds one record. It returns the record's body, and whether the record belongs to an attempt.
func (f *keys) fold(now time.Time, e ledger.Entry) (body Body, ok bool) {
	f.next = e.Offset + 1
	f.evictExpired()
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
	t, ok := keyChart.Next(k.state, event, func(g chart.Guard) bool { return f.guardHolds(g, k, body) })
	if !ok {
		return
	}
	k.state = t.To
	for _, a := range t.Actions {
		f.act(a, now, offset, k, body)
	}
}

func (f *keys) guardHolds(g chart.Guard, k *keyState, body Body) bool {
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
		k.offset, k.foldedAt = offset, now
		f.held[k.key] = k
		f.order = append(f.order, windowItem{offset: offset, held: k})
	case "release":
		delete(f.held, k.key)
	case "keep":
		k.result = body.Result
	case "void":
		f.voids[body.Attempt] = offset
		f.order = append(f.order, windowItem{offset: offset, void: body.Attempt})
	}
}

// evictExpired evicts the items that are older than the window.
func (f *keys) evictExpired() {
	n := 0
	for n < len(f.order) && f.order[n].offset < f.next-f.window {
		f.evict(f.order[n])
		n++
	}
	f.order = f.order[n:]
}

func (f *keys) evict(a windowItem) {
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
	if at, timed := a.held.key.timestamp(); timed {
		f.horizons[a.held.key.Org] = max(f.horizons[a.held.key.Org], at)
	}
}

// expired reports whether the key may have been evicted.
func (f *keys) expired(k Key) bool {
	at, timed := k.timestamp()
	horizon, found := f.horizons[k.Org]
	return timed && found && at <= horizon
}

const (
	uuidTimeBytes = 6
	uuidVersion   = 7
)

// Upstream returns the key in the form that an upstream receives: the organisation, escaped so that it
// holds no slash, a slash and the key. It differs for any two keys, and is empty if Key is empty.
func (k Key) Upstream() string {
	if k.Key == "" {
		return ""
	}
	return url.PathEscape(string(k.Org)) + "/" + k.Key
}

// timestamp returns the time in a key that is a UUID of version 7, in milliseconds of the Unix epoch;
// ok is false for any other key.
func (k Key) timestamp() (ms int64, ok bool) {
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != uuidVersion {
		return 0, false
	}
	for _, b := range id[:uuidTimeBytes] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

// answer returns the answer to a call whose key is held.
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
