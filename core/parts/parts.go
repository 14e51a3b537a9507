// Package parts indexes which upstreams and stores have which parts of prompts cached.
//
// Its entries are hints: a holder may have evicted a part, and reports arrive late and with gaps. A store never
// evicts anything by itself, but a part there is usable only while the store's incarnation is confirmed, since a part
// that is being written again after a restart may be incomplete and must not be read.
package parts

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
)

const (
	// confirmTTL is how long a store's incarnation counts as confirmed after a report. It is several report intervals
	// and less than rewriteDelay, so that no entry reads from a store that another one writes again.
	confirmTTL = 1500 * time.Millisecond
	// rewriteDelay is how long nothing is saved to a store that lost its parts.
	rewriteDelay = 2 * confirmTTL
	// saveTimeout is how long a save may take. A save that hasn't been reported by then counts as lost.
	saveTimeout = 6 * time.Second
	// prefillTimeout is how long a part counts as being prefilled after that was announced.
	prefillTimeout = 2 * time.Second
	// maxUsedShare is the fraction of a store's capacity that may be used. The rest is reserved for saves of other
	// entries that aren't announced yet.
	maxUsedShare = 0.94
	// blockTokens is the allocation unit of holders, in tokens.
	blockTokens = 16
	// maxParts bounds the parts that are kept of one holder: two million tokens in the smallest parts that can be allocated.
	maxParts = 1 << 17
)

// Holder is the address of an upstream or a store that caches parts.
type Holder string

// Key identifies a part under one salt, which names a cache scope, a model and a version of its weights.
type Key uint64

// NewKey returns the hash of a salt and a part's ID.
func NewKey(salt, id string) Key {
	h := xxhash.New()
	_, _ = h.WriteString(salt)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(id)
	return Key(h.Sum64())
}

// Keys returns the key of each part of a chain under a salt.
func Keys(salt string, chain []conf.Part) (keys []Key) {
	keys = make([]Key, len(chain))
	for i, p := range chain {
		keys[i] = NewKey(salt, p.ID)
	}
	return keys
}

// Change is a part that a holder has cached, or no longer has if Tokens is 0.
type Change struct {
	Key    Key
	Tokens int
}

// ReportMsg is a report of a holder.
type ReportMsg struct {
	Holder Holder
	// Epoch is the holder's incarnation.
	Epoch int64
	// At is the latest time at which the holder is known to have been in this incarnation. The report may be handled much
	// later.
	At time.Time
	// Complete is set if Changes lists all parts that the holder has.
	Complete bool
	Changes  []Change
}

// GoneMsg removes a holder.
type GoneMsg struct{ Holder Holder }

// SaveMsg announces a part that is being saved to a store.
type SaveMsg struct {
	Store  Holder
	Key    Key
	Tokens int
}

// PrefillingMsg announces a part that an upstream is about to prefill or fetch, so that prompts that share it are sent
// there too.
type PrefillingMsg struct {
	Holder Holder
	Key    Key
	Tokens int
}

// PrefilledMsg reports the parts of a prompt that an upstream has prefilled.
type PrefilledMsg struct {
	Holder Holder
	Salt   string
	Chain  []conf.Part
}

// FreedMsg reports a part that was deleted from a store.
type FreedMsg struct {
	Holder Holder
	Key    Key
}

// pending is a part that is being saved to a store or prefilled by an upstream.
type pending struct {
	tokens    int
	startedAt time.Time
}

// holderState holds the parts of one holder.
type holderState struct {
	epoch int64
	// parts holds the tokens of each complete part.
	parts map[Key]int
	// used is the size of all parts in tokens, each rounded up to blocks.
	used int
	// saving holds the parts being saved. They may be incomplete and are never read.
	saving map[Key]pending
	// prefilling holds the parts being prefilled. They can't be fetched yet.
	prefilling map[Key]pending
	// confirmedAt is the latest time at which the holder is known to have been in this incarnation.
	confirmedAt time.Time
	// noSavesUntil is the end of rewriteDelay after the holder lost its parts.
	noSavesUntil time.Time
}

// Index holds the parts of all holders. Its methods aren't safe for concurrent use.
type Index struct {
	holders map[Holder]*holderState
}

// NewIndex returns an Index without holders.
//
//	ix := parts.NewIndex()
//	ix.Update(now, parts.ReportMsg{Holder: "10.0.0.1:80", At: askedAt, Changes: changes})
func NewIndex() *Index { return &Index{holders: map[Holder]*holderState{}} }

// Update applies a message. It returns no commands.
func (x *Index) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case ReportMsg:
		x.report(now, msg)
	case GoneMsg:
		delete(x.holders, msg.Holder)
	case SaveMsg:
		x.holder(msg.Store).saving[msg.Key] = pending{roundUp(msg.Tokens), now}
	case PrefillingMsg:
		if h := x.holder(msg.Holder); h.parts[msg.Key] < msg.Tokens {
			h.prefilling[msg.Key] = pending{msg.Tokens, now}
		}
	case PrefilledMsg:
		h := x.holder(msg.Holder)
		for _, p := range msg.Chain {
			h.set(NewKey(msg.Salt, p.ID), p.Tokens)
		}
	case FreedMsg:
		x.holder(msg.Holder).set(msg.Key, 0)
	}
	return nil
}

func (x *Index) holder(name Holder) *holderState {
	h, ok := x.holders[name]
	if !ok {
		h = &holderState{parts: map[Key]int{}, saving: map[Key]pending{}, prefilling: map[Key]pending{}}
		x.holders[name] = h
	}
	return h
}

// report applies a holder's report. A report of another incarnation discards the parts of the previous one.
func (x *Index) report(now time.Time, msg ReportMsg) {
	h := x.holder(msg.Holder)
	if msg.Epoch != h.epoch {
		if h.epoch != 0 {
			h.noSavesUntil = now.Add(rewriteDelay)
		}
		*h = holderState{epoch: msg.Epoch, parts: map[Key]int{}, saving: map[Key]pending{}, prefilling: map[Key]pending{}, noSavesUntil: h.noSavesUntil}
	} else if msg.Complete {
		clear(h.parts)
		h.used = 0
	}
	for _, c := range msg.Changes {
		h.set(c.Key, c.Tokens)
	}
	if msg.At.After(h.confirmedAt) {
		h.confirmedAt = msg.At
	}
}

// set sets the tokens of a part, 0 to remove it, and clears its pending save and prefill. A part beyond maxParts is not
// kept.
func (h *holderState) set(key Key, tokens int) {
	h.used -= roundUp(h.parts[key])
	delete(h.parts, key)
	delete(h.saving, key)
	delete(h.prefilling, key)
	if tokens > 0 && len(h.parts) < maxParts {
		h.parts[key] = tokens
		h.used += roundUp(tokens)
	}
}

// roundUp returns the tokens that a holder allocates for a part.
func roundUp(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// View is the state of one holder at one time.
type View struct {
	now time.Time
	// state is nil for an unknown holder.
	state *holderState
}

// View returns the state of one holder, for several look-ups at the same time.
func (x *Index) View(now time.Time, holder Holder) View { return View{now, x.holders[holder]} }

// CachedPrefix returns how many tokens from the start of a chain the holder has or is prefilling without a gap.
func (v View) CachedPrefix(keys []Key, chain []conf.Part) (tokens int) {
	if v.state == nil {
		return 0
	}
	for i, p := range chain {
		have := v.state.expected(v.now, keys[i])
		tokens += min(have, p.Tokens)
		if have < p.Tokens {
			return tokens
		}
	}
	return tokens
}

// expected returns how many tokens of a part a holder has or is prefilling.
func (h *holderState) expected(now time.Time, key Key) (tokens int) {
	if p, ok := h.prefilling[key]; ok && now.Sub(p.startedAt) < prefillTimeout {
		return max(p.tokens, h.parts[key])
	}
	return h.parts[key]
}

// HasOrPrefills reports whether the holder has all whole blocks of a part or is prefilling it.
func (v View) HasOrPrefills(key Key, tokens int) bool {
	return v.state != nil && v.state.expected(v.now, key) >= max(tokens/blockTokens*blockTokens, 1)
}

// Cached returns how many tokens of a part the holder has.
func (v View) Cached(key Key) (tokens int) {
	if v.state == nil {
		return 0
	}
	return v.state.parts[key]
}

// Net returns the newest of the changes of each part, in their order, without those that remove a part which the holder is not known to have.
func (v View) Net(changes []Change) (net []Change) {
	last := make(map[Key]int, len(changes))
	for i, c := range changes {
		last[c.Key] = i
	}
	for i, c := range changes {
		if last[c.Key] == i && (c.Tokens > 0 || v.Cached(c.Key) > 0) {
			net = append(net, c)
		}
	}
	return net
}

// Has reports whether a holder has all whole blocks of a part.
func (x *Index) Has(holder Holder, key Key, tokens int) bool {
	h, ok := x.holders[holder]
	return ok && h.parts[key] > 0 && h.parts[key] >= tokens/blockTokens*blockTokens
}

// Readable reports whether a part can be read from a store: it is complete there, and the store's incarnation is
// confirmed.
func (x *Index) Readable(now time.Time, store Holder, key Key, tokens int) bool {
	h, ok := x.holders[store]
	return ok && now.Sub(h.confirmedAt) < confirmTTL && x.Has(store, key, tokens)
}

// Writable reports whether a part may be saved to a store: the store's incarnation is confirmed, rewriteDelay is over,
// and the part is neither there nor being saved and fits into the store's capacity, in tokens.
func (x *Index) Writable(now time.Time, store Holder, key Key, tokens, capacity int) bool {
	h, ok := x.holders[store]
	if !ok || h.epoch == 0 || now.Before(h.noSavesUntil) || now.Sub(h.confirmedAt) >= confirmTTL || h.parts[key] > 0 {
		return false
	}
	if x.Saving(now, store, key) {
		return false
	}
	return float64(x.Used(now, store)+roundUp(tokens)) <= maxUsedShare*float64(capacity)
}

// Saving reports whether a part is being saved to a store.
func (x *Index) Saving(now time.Time, store Holder, key Key) bool {
	h, ok := x.holders[store]
	if !ok {
		return false
	}
	s, saving := h.saving[key]
	return saving && now.Sub(s.startedAt) < saveTimeout
}

// Count returns the number of holders and that of the parts that they are known to have, over all holders.
func (x *Index) Count() (holders, parts int) {
	for _, h := range x.holders {
		parts += len(h.parts)
	}
	return len(x.holders), parts
}

// Used returns how many tokens of a store's capacity are used or reserved by saves. It drops saves that have timed out.
func (x *Index) Used(now time.Time, store Holder) (tokens int) {
	h, ok := x.holders[store]
	if !ok {
		return 0
	}
	for key, s := range h.saving {
		if now.Sub(s.startedAt) >= saveTimeout {
			delete(h.saving, key)
			delete(h.prefilling, key)
			continue
		}
		tokens += s.tokens
	}
	return tokens + h.used
}

// Epoch returns the holder's incarnation as last reported, 0 if it has never reported.
func (x *Index) Epoch(holder Holder) int64 {
	if h, ok := x.holders[holder]; ok {
		return h.epoch
	}
	return 0
}
