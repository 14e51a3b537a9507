package fakes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"cicadavalve/io/engine"
	"cicadavalve/io/store"
)

// kvBlockBytes is the size of an exported block of context.
const kvBlockBytes = 64 << 10

// Causes by which an engine counts the wrong blocks that it imported.
const (
	wrongUncommitted  = "uncommitted"
	wrongFreed        = "freed"
	wrongOrganisation = "organisation"
	wrongVersion      = "version"
	wrongPrompt       = "prompt"
	wrongCorrupt      = "corrupt"
)

// payload returns the content of a block: its key, so that an import can detect a wrong block, and the boot id, since
// no two engines compute the same bytes.
func (e *Engine) payload(key string) []byte {
	data := make([]byte, kvBlockBytes)
	copy(data, key+"\n"+string(e.boot)+"\n")
	return data
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var o engine.Export
	if !decode(w, r, &o) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(o.DeadlineMs)*time.Millisecond)
	defer cancel()
	keys := blockKeys(o.CacheSalt, o.Model, o.Version, o.Prompt)
	var done engine.Exported
	for i, name := range o.Names {
		if o.From+i >= len(keys) {
			break
		}
		data, held := e.readBlock(keys[o.From+i])
		if !held {
			break
		}
		if done.Fault = sendToStore(ctx, http.MethodPut, blockURL(o.Store, name), data); done.Fault != "" {
			break
		}
		done.Blocks = append(done.Blocks, engine.Block{Name: name, Length: len(data), Checksum: store.Checksum(data)})
		done.Bytes += int64(len(data))
	}
	for i, b := range done.Blocks {
		if fault := commitBlock(ctx, o.Store, b); fault != "" {
			done.Blocks, done.Fault = done.Blocks[:i], fault
			break
		}
	}
	e.addLinkBytes(done.Bytes)
	reply(w, done)
}

// readBlock returns the content of a block, and whether the block is cached.
func (e *Engine) readBlock(key string) (data []byte, held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, held = e.cache.elements[key]
	return e.payload(key), held
}

func (e *Engine) addLinkBytes(n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.LinkBytes += n
}

func blockURL(address, name string) string {
	return "http://" + address + "/blocks/" + url.PathEscape(name)
}

// commitBlock marks a staged block as complete.
func commitBlock(ctx context.Context, address string, b engine.Block) (fault engine.Fault) {
	query := fmt.Sprintf("/commit?length=%d&checksum=%s", b.Length, b.Checksum)
	return sendToStore(ctx, http.MethodPost, blockURL(address, b.Name)+query, nil)
}

func sendToStore(ctx context.Context, method, url string, data []byte) (fault engine.Fault) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return engine.FaultStore
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return engine.FaultStore
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return ""
	case http.StatusInsufficientStorage:
		return engine.FaultFull
	}
	return engine.FaultStore
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var o engine.Import
	if !decode(w, r, &o) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(o.DeadlineMs)*time.Millisecond)
	defer cancel()
	keys := blockKeys(o.CacheSalt, o.Model, o.Version, o.Prompt)
	var done engine.Imported
	for i, b := range o.Blocks {
		if i >= len(keys) {
			break
		}
		if _, held := e.readBlock(keys[i]); held {
			done.Held++
			continue
		}
		if done.Fault = e.importBlock(ctx, o.Store, keys[i], b); done.Fault != "" {
			break
		}
		done.Moved++
		done.Bytes += kvBlockBytes
	}
	e.addLinkBytes(done.Bytes)
	reply(w, done)
}

// importBlock checks a block only against the length and checksum in the order, and not at all if the order has no
// checksum. It caches what passes, and counts each such block that does not belong to the key.
func (e *Engine) importBlock(ctx context.Context, address, key string, b engine.Block) (fault engine.Fault) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, blockURL(address, b.Name), nil)
	if err != nil {
		return engine.FaultStore
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return engine.FaultStore
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return engine.FaultGone
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return engine.FaultStore
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.Checksum != "" && (len(data) != b.Length || store.Checksum(data) != b.Checksum) {
		e.stats.RefusedBlocks++
		return engine.FaultGone
	}
	e.cacheKeys([]string{key})
	if cause := wrongCause(resp.Header, data, key); cause != "" {
		e.stats.WrongBlocks++
		e.stats.WrongCauses[cause]++
		e.cache.wrong[key] = true
	}
	return ""
}

// wrongCause returns why a block does not belong to the key that it was read for, or "" if it does.
func wrongCause(header http.Header, data []byte, key string) (cause string) {
	lines := strings.SplitN(string(data), "\n", 3)
	got, want := strings.Split(lines[0], "/"), strings.Split(key, "/")
	switch {
	case header.Get("X-Committed") != "true":
		return wrongUncommitted
	case header.Get("X-Freed") == "true":
		return wrongFreed
	case len(lines) < 3 || len(got) != len(want) || strings.Trim(lines[2], "\x00") != "":
		return wrongCorrupt
	case got[0] != want[0]:
		return wrongOrganisation
	case got[1] != want[1] || got[2] != want[2]:
		return wrongVersion
	case lines[0] != key:
		return wrongPrompt
	}
	return ""
}
