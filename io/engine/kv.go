package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"cicadavalve/core/ident"
)

// Fault is why an engine did not move every block of an order.
type Fault string

// The faults of a transfer.
const (
	// FaultStore means that the store did not answer or refused.
	FaultStore Fault = "store"
	// FaultFull means that the store takes no more.
	FaultFull Fault = "full"
	// FaultGone means that a block was not there, or not what the order said.
	FaultGone Fault = "gone"
)

// Block is a committed block of context in a store.
type Block struct {
	Name     string `json:"name"`
	Length   int    `json:"length"`
	Checksum string `json:"checksum"`
}

// Export is the body of POST /kv/export on a model engine: the context of a prompt's whole blocks from
// number From on, each staged and committed under its name.
type Export struct {
	// Store is the store's host and port.
	Store     string          `json:"store"`
	CacheSalt string          `json:"cache_salt"`
	Model     ident.ModelName `json:"model"`
	Version   ident.Version   `json:"version"`
	Prompt    string          `json:"prompt"`
	From      int             `json:"from"`
	Names     []string        `json:"names"`
	// DeadlineMs is how long the engine may take.
	DeadlineMs int64 `json:"deadline_ms"`
}

// Exported answers an [Export] with the leading blocks that were committed.
type Exported struct {
	Blocks []Block `json:"blocks"`
	Bytes  int64   `json:"bytes"`
	Fault  Fault   `json:"fault,omitempty"`
}

// Import is the body of POST /kv/import on a model engine: the context of a prompt's leading blocks. The
// engine takes a block in only with the length and the checksum that the order names.
type Import struct {
	Store      string          `json:"store"`
	CacheSalt  string          `json:"cache_salt"`
	Model      ident.ModelName `json:"model"`
	Version    ident.Version   `json:"version"`
	Prompt     string          `json:"prompt"`
	Blocks     []Block         `json:"blocks"`
	DeadlineMs int64           `json:"deadline_ms"`
}

// Imported answers an [Import]: Held counts the leading blocks that the engine had, Moved those that it read.
type Imported struct {
	Held  int   `json:"held"`
	Moved int   `json:"moved"`
	Bytes int64 `json:"bytes"`
	Fault Fault `json:"fault,omitempty"`
}

// Transfers is what the entry asks of engines about kept context.
type Transfers interface {
	// Export copies kept context to a store.
	Export(ctx context.Context, address string, o Export) (Exported, error)
	// Import copies context from a store.
	Import(ctx context.Context, address string, o Import) (Imported, error)
}

// Export implements [Transfers].
func (c *HTTPClient) Export(ctx context.Context, address string, o Export) (done Exported, err error) {
	defer func() { err = errors.Wrapf(err, "export from %s", address) }()
	return done, c.transfer(ctx, address, "/kv/export", o, &done)
}

// Import implements [Transfers].
func (c *HTTPClient) Import(ctx context.Context, address string, o Import) (done Imported, err error) {
	defer func() { err = errors.Wrapf(err, "import to %s", address) }()
	return done, c.transfer(ctx, address, "/kv/import", o, &done)
}

func (c *HTTPClient) transfer(ctx context.Context, address, path string, order, done any) (err error) {
	req, err := sling.New().Post("http://" + address + path).BodyJSON(order).Request()
	if err != nil {
		return err
	}
	resp, err := c.pooled.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrOrderRefused, "status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(done)
}
