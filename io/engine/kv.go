package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"cicadavalve/core/ident"
	"cicadavalve/io/link"
)

// Fault is the reason why an engine did not transfer every block of an order.
type Fault string

// The faults of a transfer.
const (
	// FaultStore means that the store did not answer or refused the request.
	FaultStore Fault = "store"
	// FaultFull means that the store has no space left.
	FaultFull Fault = "full"
	// FaultGone means that a block was missing, or differs from the one that the order describes.
	FaultGone Fault = "gone"
)

// Block is a committed block of cached context in a store.
type Block struct {
	Name     string `json:"name"`
	Length   int    `json:"length"`
	Checksum string `json:"checksum"`
}

// Export is the body of POST /kv/export on a model engine. The engine stages and commits the context of the
// prompt's whole blocks, from block number From on, under Names in order.
type Export struct {
	// Store is the store's address, host:port.
	Store     string          `json:"store"`
	CacheSalt string          `json:"cache_salt"`
	Model     ident.ModelName `json:"model"`
	Version   ident.Version   `json:"version"`
	Prompt    string          `json:"prompt"`
	From      int             `json:"from"`
	Names     []string        `json:"names"`
	// DeadlineMs is the time allowed for the transfer, in milliseconds.
	DeadlineMs int64 `json:"deadline_ms"`
}

// Exported is the response to an [Export]: the leading blocks that were committed, and the bytes sent over the store's
// link, which include those of blocks that were sent and not committed.
type Exported struct {
	Blocks []Block `json:"blocks"`
	Bytes  int64   `json:"bytes"`
	Fault  Fault   `json:"fault,omitempty"`
}

// Import is the body of POST /kv/import on a model engine, which reads the context of the prompt's leading blocks
// from a store. The engine accepts a block only with the length and checksum given in Blocks.
type Import struct {
	Store      string          `json:"store"`
	CacheSalt  string          `json:"cache_salt"`
	Model      ident.ModelName `json:"model"`
	Version    ident.Version   `json:"version"`
	Prompt     string          `json:"prompt"`
	Blocks     []Block         `json:"blocks"`
	DeadlineMs int64           `json:"deadline_ms"`
}

// Imported is the response to an [Import]: Held counts the leading blocks that the engine already had, Moved those
// that it read from the store.
type Imported struct {
	Held  int   `json:"held"`
	Moved int   `json:"moved"`
	Bytes int64 `json:"bytes"`
	Fault Fault `json:"fault,omitempty"`
}

// Transfers orders engines to copy cached context to and from stores.
type Transfers interface {
	// Export copies cached context to a store.
	Export(ctx context.Context, address string, o Export) (Exported, error)
	// Import copies cached context from a store.
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
	link.LimitBody(resp, maxReportBytes)
	return json.NewDecoder(resp.Body).Decode(done)
}
