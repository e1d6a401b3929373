// Package object is the client of the platform's object store.
package object

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrNotFound marks a get of a key that is not in the store.
var ErrNotFound = errors.New("object missing")

// ErrUnavailable marks errors of a store that did not answer.
var ErrUnavailable = errors.New("object store unavailable")

// Put stores value whole under key, replacing what was there.
type Put func(ctx context.Context, key string, value []byte) error

// Get reads the whole value under key.
type Get func(ctx context.Context, key string) ([]byte, error)

// Delete removes key; removing a missing key is no error.
type Delete func(ctx context.Context, key string) error

// Client reads and writes objects.
type Client struct {
	put    Put
	get    Get
	remove Delete
}

// New makes a client from the three calls of the service.
func New(put Put, get Get, remove Delete) *Client {
	return &Client{put: put, get: get, remove: remove}
}

// Put stores value whole under key.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	return errors.Wrapf(c.put(ctx, key, value), "object put %s", key)
}

// Get reads the value under key; its error is ErrNotFound when there is none.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	value, err := c.get(ctx, key)
	return value, errors.Wrapf(err, "object get %s", key)
}

// Delete removes key.
func (c *Client) Delete(ctx context.Context, key string) error {
	return errors.Wrapf(c.remove(ctx, key), "object delete %s", key)
}

// NewOverHTTP makes a client of the store at base, such as http://127.0.0.1:7000.
func NewOverHTTP(base string, client *http.Client) *Client {
	h := overHTTP{base: base + "/object/", client: client}
	return New(h.put, h.get, h.remove)
}

type overHTTP struct {
	base   string
	client *http.Client
}

func (h overHTTP) put(ctx context.Context, key string, value []byte) error {
	_, err := h.call(ctx, http.MethodPut, key, value)
	return err
}

func (h overHTTP) get(ctx context.Context, key string) ([]byte, error) {
	return h.call(ctx, http.MethodGet, key, nil)
}

func (h overHTTP) remove(ctx context.Context, key string) error {
	_, err := h.call(ctx, http.MethodDelete, key, nil)
	return err
}

func (h overHTTP) call(ctx context.Context, method, key string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.base+key, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
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
		return nil, errors.Mark(errors.Newf("peer %s answered %s", h.base, response.Status), ErrUnavailable)
	}
	return value, nil
}
