package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/cockroachdb/errors"
)

// Client calls the operator API of an entry. It is safe for concurrent use. Its methods
// return a problem.Problem as the error if the entry refused or failed the call.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the entry at the URL base, such as
// http://127.0.0.1:7200.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Document returns the configuration document in force.
func (c *Client) Document(ctx context.Context) (Document, error) {
	var document Document
	return document, c.call(ctx, http.MethodGet, "/target", nil, &document)
}

// Propose submits a new configuration document. It fails with a conflict if
// proposal.Base is not the version in force.
func (c *Client) Propose(ctx context.Context, proposal Proposal) (Accepted, error) {
	var accepted Accepted
	return accepted, c.call(ctx, http.MethodPut, "/target", proposal, &accepted)
}

// Status returns the accepted version and the version in force on each node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, "/target/status", nil, &status)
}

// LocalStatus returns the version in force on the called entry and on its agents.
func (c *Client) LocalStatus(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, "/target/local", nil, &status)
}

// Domains returns the failure domains, whether they are evacuated, and what is left there.
func (c *Client) Domains(ctx context.Context) (DomainStatus, error) {
	var status DomainStatus
	return status, c.call(ctx, http.MethodGet, "/domain", nil, &status)
}

// LocalDomains returns the version of the evacuated domains in force on the called entry.
func (c *Client) LocalDomains(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, "/local/domain", nil, &status)
}

// ChangeDomain evacuates a domain or takes it back.
func (c *Client) ChangeDomain(ctx context.Context, domain string, change DomainChange) (Accepted, error) {
	var accepted Accepted
	return accepted, c.call(ctx, http.MethodPut, "/domain/"+url.PathEscape(domain), change, &accepted)
}

// History returns all accepted versions, oldest first.
func (c *Client) History(ctx context.Context) ([]AcceptedVersion, error) {
	var versions []AcceptedVersion
	return versions, c.call(ctx, http.MethodGet, "/target/history", nil, &versions)
}

// Submit submits a job and returns it as stored.
func (c *Client) Submit(ctx context.Context, submission job.Submission) (placement.Job, error) {
	var accepted placement.Job
	return accepted, c.call(ctx, http.MethodPost, "/job", submission, &accepted)
}

// Jobs returns all jobs, oldest first.
func (c *Client) Jobs(ctx context.Context) ([]placement.Job, error) {
	var jobs []placement.Job
	return jobs, c.call(ctx, http.MethodGet, "/job", nil, &jobs)
}

// Job returns one job with its tasks.
func (c *Client) Job(ctx context.Context, id string) (job.Status, error) {
	var status job.Status
	return status, c.call(ctx, http.MethodGet, "/job/"+url.PathEscape(id), nil, &status)
}

// Cancel requests the cancellation of a job. The owners of its tasks carry it out later.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, "/job/"+url.PathEscape(id), nil, nil)
}

// Report returns the report on the period between from and to. An empty workspace or class
// selects all.
func (c *Client) Report(ctx context.Context, from, to time.Time, workspace, class string) (ledger.Report, error) {
	query := url.Values{"workspace": {workspace}, "class": {class}}
	query.Set("from", from.Format(time.RFC3339Nano))
	query.Set("to", to.Format(time.RFC3339Nano))
	var report ledger.Report
	return report, c.call(ctx, http.MethodGet, "/report?"+query.Encode(), nil, &report)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrapf(err, "entry %q", c.base)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "entry %s", c.base)
	}
	defer func() { _ = response.Body.Close() }()
	if err := problem.Read(response, c.base); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(out), "decode response of entry %s", c.base)
}
