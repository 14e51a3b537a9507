package bench

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"cicadavalve/io/caller"
)

// FetchAdvice fetches an entry's advice on which entries callers should use.
func FetchAdvice(ctx context.Context, e *Entry) (advice caller.Advice, err error) {
	defer func() { err = errors.Wrapf(err, "advice of %s", e.ID) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Caller+"/v1/entries", nil)
	if err != nil {
		return advice, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return advice, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&advice)
	return advice, err
}
