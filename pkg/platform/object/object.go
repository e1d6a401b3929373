// Package object is the client of the platform's object store, which holds whole values by
// key. The client doesn't retry; each call is bounded by its context.
package object

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrNotFound marks the error of a Get whose key is not in the store.
var ErrNotFound = errors.New("object not found")

// ErrUnavailable marks the error of a call that failed or got an unexpected status. A Put or
// Delete with this error may still have taken effect.
var ErrUnavailable = errors.New("object store unavailable")

// Put stores value under key and replaces any earlier value.
type Put func(ctx context.Context, key string, value []byte) error

// Get reads the whole value under key. If there is none, its error is marked with ErrNotFound:
// errors.Is(err, ErrNotFound) is true.
type Get func(ctx context.Context, key string) ([]byte, error)

// Delete removes key; a missing key is not an error.
type Delete func(ctx context.Context, key string) error

// Client reads and writes objects. It is safe for concurrent use if its three functions are.
type Client struct {
	put    Put
	get    Get
	remove Delete
}

// New returns a client that calls the given functions of the store.
func New(put Put, get Get, remove Delete) *Client {
	return &Client{put: put, get: get, remove: remove}
}

// Put stores value under key and replaces any earlier value.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	return errors.Wrapf(c.put(ctx, key, value), "object put %s", key)
}

// Get reads the value under key. If there is none, its error is marked with ErrNotFound:
// errors.Is(err, ErrNotFound) is true.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	value, err := c.get(ctx, key)
	return value, errors.Wrapf(err, "object get %s", key)
}

// Delete removes key; a missing key is not an error.
func (c *Client) Delete(ctx context.Context, key string) error {
	return errors.Wrapf(c.remove(ctx, key), "object delete %s", key)
}

// NewOverHTTP returns a client of the store at the base URL, such as http://127.0.0.1:7000.
func NewOverHTTP(base string, client *http.Client) *Client {
	h := httpStore{base: base + "/object/", client: client}
	return New(h.put, h.get, h.remove)
}

// httpStore implements the client's functions with HTTP requests.
type httpStore struct {
	base   string
	client *http.Client
}

func (h httpStore) put(ctx context.Context, key string, value []byte) error {
	_, err := h.call(ctx, http.MethodPut, key, value)
	return err
}

func (h httpStore) get(ctx context.Context, key string) ([]byte, error) {
	return h.call(ctx, http.MethodGet, key, nil)
}

func (h httpStore) remove(ctx context.Context, key string) error {
	_, err := h.call(ctx, http.MethodDelete, key, nil)
	return err
}

// call sends a request and returns the body of the response.
func (h httpStore) call(ctx context.Context, method, key string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.base+key, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build HTTP request")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "peer %s", h.base), ErrUnavailable)
	}
	defer func() { _ = response.Body.Close() }()
	value, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return nil, errors.Mark(errors.Wrapf(err, "read from peer %s", h.base), ErrUnavailable)
	case response.StatusCode == http.StatusNotFound:
		return nil, ErrNotFound
	case response.StatusCode != http.StatusOK:
		return nil, errors.Mark(errors.Newf("peer %s responded with status %s", h.base, response.Status), ErrUnavailable)
	}
	return value, nil
}
