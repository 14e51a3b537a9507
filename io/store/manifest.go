package store

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/io/engine"
)

// ErrManifest means that a manifest is damaged or belongs to another context.
var ErrManifest = errors.New("the manifest is damaged or belongs to another context")

// Context identifies the cached context of a prompt by hashes of its model, weight version and text, keyed with
// the organisation's key. Without the key, names can neither be computed nor compared with a guessed prompt.
type Context struct {
	key []byte
	// chain holds one hash for each whole block; each covers the blocks before it too.
	chain []string
}

// NewContext returns the context of a prompt's whole blocks of blockBytes; key is the organisation's.
//
//	c := store.NewContext(key, "wear-summary", "v7", prompt, 4096)
//	raw, err := client.Get(ctx, address, c.Name())
func NewContext(key []byte, model ident.ModelName, version ident.Version, prompt string, blockBytes int) *Context {
	c := &Context{key: key}
	prev := c.hash("context", string(model), string(version))
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		prev = c.hash("block", prev, prompt[start:start+blockBytes])
		c.chain = append(c.chain, prev)
	}
	return c
}

func (c *Context) hash(parts ...string) string {
	h := hmac.New(sha256.New, c.key)
	for _, part := range parts {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Blocks returns the number of whole blocks in the prompt.
func (c *Context) Blocks() int { return len(c.chain) }

// Name returns the name of the manifest, which prompts with the same first block share. It is empty if the prompt
// has no whole block.
func (c *Context) Name() string {
	if len(c.chain) == 0 {
		return ""
	}
	return "manifest-" + c.hash("manifest", c.chain[0])
}

// manifestBlock is a committed block and the chain hash of the prompt up to its end.
type manifestBlock struct {
	Chain string       `json:"chain"`
	Block engine.Block `json:"block"`
}

// manifest lists the blocks of a context in order.
type manifest struct {
	Blocks []manifestBlock `json:"blocks"`
}

// sealed is the stored form of a manifest, with a MAC over its name and body.
type sealed struct {
	Body json.RawMessage `json:"body"`
	MAC  string          `json:"mac"`
}

// Seal encodes the manifest of the leading blocks of a context. It fails with [ErrManifest] if there are more
// blocks than the context has.
func (c *Context) Seal(blocks []engine.Block) (raw []byte, err error) {
	defer func() { err = errors.Wrap(err, "seal manifest") }()
	if len(blocks) > len(c.chain) {
		return nil, ErrManifest
	}
	var m manifest
	for i, b := range blocks {
		m.Blocks = append(m.Blocks, manifestBlock{c.chain[i], b})
	}
	body, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return json.Marshal(sealed{body, c.hash("seal", c.Name(), string(body))})
}

// Open verifies a manifest and returns the leading blocks that belong to the context; total counts all blocks in
// the manifest.
func (c *Context) Open(raw []byte) (blocks []engine.Block, total int, err error) {
	defer func() { err = errors.Wrap(err, "open manifest") }()
	var s sealed
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, 0, errors.Mark(err, ErrManifest)
	}
	if !hmac.Equal([]byte(s.MAC), []byte(c.hash("seal", c.Name(), string(s.Body)))) {
		return nil, 0, ErrManifest
	}
	var m manifest
	if err := json.Unmarshal(s.Body, &m); err != nil {
		return nil, 0, errors.Mark(err, ErrManifest)
	}
	for i, b := range m.Blocks {
		if i >= len(c.chain) || b.Chain != c.chain[i] {
			break
		}
		blocks = append(blocks, b.Block)
	}
	return blocks, len(m.Blocks), nil
}
