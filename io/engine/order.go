package engine

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"cicadavalve/core/ident"
)

// Order is the body of POST /order on a model engine.
type Order struct {
	// Action is load or unload.
	Action  string          `json:"action"`
	Model   ident.ModelName `json:"model"`
	Version ident.Version   `json:"version"`
	// Fence is the fencing number of whoever orders.
	Fence int64 `json:"fence"`
}

// ErrOrderRefused says that the engine answered an order and did not carry it out.
var ErrOrderRefused = errors.New("the engine refused the order")

// Order sends an order and waits until it is carried out.
func (c *HTTPClient) Order(ctx context.Context, address string, o Order) (err error) {
	defer func() { err = errors.Wrapf(err, "order to %s", address) }()
	req, err := sling.New().Post("http://" + address + "/order").BodyJSON(o).Request()
	if err != nil {
		return err
	}
	// An order that may have reached the engine is not sent again by net/http itself.
	req.GetBody = nil
	resp, err := c.fresh.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrOrderRefused, "status %d", resp.StatusCode)
	}
	return nil
}
