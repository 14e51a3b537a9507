package bench

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"cicadavalve/core/ident"
)

// SetFaults replaces the injected faults of the stand-in at a URL or address. faults is a value of one of the Faults
// types of package fakes.
func SetFaults(ctx context.Context, target string, faults any) error {
	return post(ctx, target, "/fault", faults)
}

// Post posts a JSON body to a path of the stand-in at a URL or address.
func Post(ctx context.Context, target, path string, body any) error {
	return post(ctx, target, path, body)
}

func post(ctx context.Context, target, path string, body any) (err error) {
	defer func() { err = errors.Wrapf(err, "post %s", path) }()
	if !strings.HasPrefix(target, "http") {
		target = "http://" + target
	}
	req, err := sling.New().Post(target + path).BodyJSON(body).Request()
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}

// Answer is an entry's response to a caller.
type Answer struct {
	Status int
	Body   []byte
}

// Call posts a request to an entry with a bearer token and, unless it is empty, an idempotency key. A broken connection
// is returned as an error.
func Call(ctx context.Context, e *Entry, token, path, key, body string) (a Answer, err error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	return call(ctx, e, token, path, header, body)
}

// CallWithID posts a completion with a request id chosen by the caller.
func CallWithID(ctx context.Context, e *Entry, token, id, body string) (a Answer, err error) {
	return call(ctx, e, token, "/v1/completions", http.Header{"X-Request-Id": []string{id}}, body)
}

// CallWithClass posts a completion with a priority class.
func CallWithClass(ctx context.Context, e *Entry, token string, class ident.Class, body string) (a Answer, err error) {
	return call(ctx, e, token, "/v1/completions", http.Header{"X-Class": []string{string(class)}}, body)
}

func call(ctx context.Context, e *Entry, token, path string, header http.Header, body string) (a Answer, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Caller+path, strings.NewReader(body))
	if err != nil {
		return a, err
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+token)
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status = resp.StatusCode
	a.Body, err = io.ReadAll(resp.Body)
	return a, err
}

// Refusal decodes the answer as a refusal. It returns "" and false if the body is not one.
func (a Answer) Refusal() (code string, notRun bool) {
	var b struct {
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"not_run"`
		} `json:"error"`
	}
	_ = json.Unmarshal(a.Body, &b)
	return b.Error.Code, b.Error.NotRun
}

// Get returns the body of a URL, whatever the status.
func Get(ctx context.Context, url string) (body []byte, err error) {
	defer func() { err = errors.Wrap(err, "get") }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

const pollInterval = 5 * time.Millisecond

// Wait polls until condition returns true. It returns false if the context ends first.
func Wait(ctx context.Context, condition func() bool) bool {
	for ctx.Err() == nil {
		if condition() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}
