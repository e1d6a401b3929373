package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// CommitRequest is the body of POST /table/commit.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// CommitReply is the response of POST /table/commit. Done is false on a conflict; Revision is
// the new revision of the written rows.
type CommitReply struct {
	Done     bool   `json:"done"`
	Revision uint64 `json:"version"`
}

// NewOverHTTP returns a client of the service at the base URL, such as http://127.0.0.1:7000.
func NewOverHTTP(base string, client *http.Client) *Client {
	h := httpTable{base: base, client: client}
	return New(h.get, h.scan, h.commit)
}

// httpTable implements the client's functions with HTTP requests.
type httpTable struct {
	base   string
	client *http.Client
}

func (h httpTable) get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := h.call(ctx, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

func (h httpTable) scan(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := h.call(ctx, http.MethodGet, "/table/rows?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

func (h httpTable) commit(ctx context.Context, conditions []Condition, writes []Write) (Result, error) {
	body, err := json.Marshal(CommitRequest{Conditions: conditions, Writes: writes})
	if err != nil {
		return Result{}, errors.Wrap(err, "encode commit")
	}
	var reply CommitReply
	if err := h.call(ctx, http.MethodPost, "/table/commit", body, &reply); err != nil {
		return Result{Outcome: Unknown}, err
	}
	if !reply.Done {
		return Result{Outcome: Conflict}, nil
	}
	return Result{Outcome: Committed, Revision: reply.Revision}, nil
}

// call sends a request and decodes the JSON body of the response into into.
func (h httpTable) call(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build HTTP request")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "peer %s", h.base), ErrUnavailable)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Mark(errors.Newf("peer %s responded with status %s", h.base, response.Status), ErrUnavailable)
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read from peer %s", h.base), ErrUnavailable)
	}
	return errors.Wrapf(json.Unmarshal(raw, into), "decode response of peer %s", h.base)
}
