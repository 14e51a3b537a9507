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

// ErrManifest says that a manifest is not whole, or not that of the context asked for.
var ErrManifest = errors.New("the manifest is not that of this context")

// Context names the kept context of a prompt by keyed hashes of its organisation, model, weight version and
// text. Without the organisation's key none of them can be worked out or told apart.
type Context struct {
	key []byte
	// chain holds a hash for each whole block, which covers the blocks before it too.
	chain []string
}

// NewContext is the context of a prompt's whole blocks; the key is the organisation's.
//
//	c := store.NewContext(key, "wear-summary", "v7", prompt, 4096)
//	raw, err := client.Get(ctx, address, c.Name())
func NewContext(key []byte, model ident.ModelName, version ident.Version, prompt string, blockBytes int) *Context {
	c := &Context{key: key}
	last := c.hash("context", string(model), string(version))
	for at := 0; at+blockBytes <= len(prompt); at += blockBytes {
		last = c.hash("block", last, prompt[at:at+blockBytes])
		c.chain = append(c.chain, last)
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

// Blocks counts the whole blocks of the prompt.
func (c *Context) Blocks() int { return len(c.chain) }

// Name is the name of the manifest; prompts with the same first block share it. It is empty without a whole block.
func (c *Context) Name() string {
	if len(c.chain) == 0 {
		return ""
	}
	return "manifest-" + c.hash("manifest", c.chain[0])
}

// manifestBlock is a committed block and the hash of the prompt that it is the context of.
type manifestBlock struct {
	Chain string       `json:"chain"`
	Block engine.Block `json:"block"`
}

// manifest is the object that names the blocks of a context, in order.
type manifest struct {
	Blocks []manifestBlock `json:"blocks"`
}

// sealed is a manifest with a keyed hash of its name and body.
type sealed struct {
	Body json.RawMessage `json:"body"`
	MAC  string          `json:"mac"`
}

// Seal makes the manifest of the leading blocks of a context.
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

// Open checks a manifest and lists the leading blocks that belong to the context; all counts the blocks named.
func (c *Context) Open(raw []byte) (blocks []engine.Block, all int, err error) {
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
