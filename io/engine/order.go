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
	// Fence is the fencing token of the sender.
	Fence int64 `json:"fence"`
}

// ErrOrderRefused means that the engine answered an order without carrying it out.
var ErrOrderRefused = errors.New("the engine refused the order")

// Order sends an order and waits until the engine has carried it out.
func (c *HTTPClient) Order(ctx context.Context, address string, o Order) (err error) {
	defer func() { err = errors.Wrapf(err, "order to %s", address) }()
	req, err := sling.New().Post("http://" + address + "/order").BodyJSON(o).Request()
	if err != nil {
		return err
	}
	// Without GetBody, net/http does not resend an order that may have reached the engine.
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
