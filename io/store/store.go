// Package store is the client of the KV stores that hold cached context outside the engines.
package store

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"cicadavalve/io/link"
)

// Errors of a store.
var (
	ErrAbsent = errors.New("the store holds no committed object of this name")
	ErrFull   = errors.New("the store is full")
	// ErrUncertain marks a failed commit that may have taken effect.
	ErrUncertain = errors.New("the object may have been committed")
)

// Store reads and writes objects of KV stores.
type Store interface {
	// Get reads a committed object; it fails with [ErrAbsent] if there is none.
	Get(ctx context.Context, address, name string) ([]byte, error)
	// Put stages an object and commits it; an object of the same name is replaced.
	Put(ctx context.Context, address, name string, data []byte) error
	// Delete deletes an object at once rather than leaving it to eviction.
	Delete(ctx context.Context, address, name string) error
}

// Checksum returns the hexadecimal xxHash64 that commits and orders carry.
func Checksum(data []byte) string {
	d := xxhash.New()
	_, _ = d.Write(data)
	return hex.EncodeToString(d.Sum(nil))
}

const (
	// maxObjectBytes bounds the objects that the entry reads itself, which are manifests and never blocks.
	maxObjectBytes  = 1 << 20
	maxIdlePerStore = 16
)

// HTTPClient is a [Store] over HTTP.
type HTTPClient struct{ client *http.Client }

// NewHTTPClient returns a client with a pool of connections per store.
func NewHTTPClient(connectTimeout time.Duration) *HTTPClient {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &HTTPClient{client: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerStore, MaxResponseHeaderBytes: link.MaxHeader},
	}}
}

// CloseIdle closes the connections that no request uses.
func (c *HTTPClient) CloseIdle() { c.client.CloseIdleConnections() }

// Get implements [Store].
func (c *HTTPClient) Get(ctx context.Context, address, name string) (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "get from %s", address) }()
	resp, err := c.do(ctx, http.MethodGet, objectURL(address, name), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound || resp.Header.Get("X-Committed") != "true" {
		return nil, ErrAbsent
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	link.LimitBody(resp, maxObjectBytes)
	return io.ReadAll(resp.Body)
}

// Put implements [Store].
func (c *HTTPClient) Put(ctx context.Context, address, name string, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "put to %s", address) }()
	if err := c.send(ctx, http.MethodPut, objectURL(address, name), data); err != nil {
		return err
	}
	query := url.Values{"length": {strconv.Itoa(len(data))}, "checksum": {Checksum(data)}}
	err = c.send(ctx, http.MethodPost, objectURL(address, name)+"/commit?"+query.Encode(), nil)
	return errors.Mark(err, ErrUncertain)
}

// Delete implements [Store].
func (c *HTTPClient) Delete(ctx context.Context, address, name string) (err error) {
	defer func() { err = errors.Wrapf(err, "delete from %s", address) }()
	return c.send(ctx, http.MethodDelete, objectURL(address, name), nil)
}

func objectURL(address, name string) string {
	return "http://" + address + "/blocks/" + url.PathEscape(name)
}

func (c *HTTPClient) send(ctx context.Context, method, url string, data []byte) (err error) {
	resp, err := c.do(ctx, method, url, data)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusInsufficientStorage:
		return ErrFull
	}
	return errors.Newf("status %d", resp.StatusCode)
}

func (c *HTTPClient) do(ctx context.Context, method, url string, data []byte) (resp *http.Response, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return c.client.Do(req)
}
