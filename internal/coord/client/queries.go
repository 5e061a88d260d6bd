package client

import (
	"context"
	"fmt"
	"net/url"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
	"dockhinge.example/dockhinge/internal/rollout"
)

// ListLeases returns the held leases, of one name or all (""). The result is not older than the
// call.
func (c *Client) ListLeases(ctx context.Context, name string) (list []coord.LeaseStatus, err error) {
	err = c.get(ctx, "/v1/leases?name="+url.QueryEscape(name), &list)
	return list, err
}

// ListLeasesWithPrefix returns the held leases whose names begin with prefix. The result is not
// older than the call.
func (c *Client) ListLeasesWithPrefix(ctx context.Context, prefix string) (list []coord.LeaseStatus, err error) {
	err = c.get(ctx, "/v1/leases?prefix="+url.QueryEscape(prefix), &list)
	return list, err
}

// WatchLease waits, for watchDuration at most, until a lease has another token than the given one
// (0: the lease is free).
func (c *Client) WatchLease(ctx context.Context, name string, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, watchDuration)
	defer cancel()
	var response coord.Response
	return c.get(ctx, fmt.Sprintf("/v1/watch?lease=%s&token=%d", url.QueryEscape(name), token), &response)
}

// ExecuteRollout executes a command of internal/rollout. The error is a RejectedError if the
// coordinators rejected it.
func (c *Client) ExecuteRollout(ctx context.Context, command rollout.Command) (coord.Response, error) {
	o := c.execute(ctx, coord.Command{Op: coord.OpRollout, Rollout: &command}, nil)
	return o.response, o.err
}

// RolloutReport returns the state of the rollout once it is newer than the version after or some
// seconds have passed; for 0 it returns immediately.
func (c *Client) RolloutReport(ctx context.Context, after uint64) (r rollout.Report, err error) {
	err = c.get(ctx, fmt.Sprintf("/v1/rollout?after=%d", after), &r)
	return r, err
}

// Drains returns the set of drained servers once it is newer than the version after or some seconds
// have passed; for 0 it returns immediately.
func (c *Client) Drains(ctx context.Context, after uint64) (d rollout.DrainSet, err error) {
	err = c.get(ctx, fmt.Sprintf("/v1/drains?after=%d", after), &d)
	return d, err
}

// WatchDrains is like Drains, but for 0 it also waits, for the first version. Otherwise clients
// would poll in a loop until the first drain.
func (c *Client) WatchDrains(ctx context.Context, after uint64) (d rollout.DrainSet, err error) {
	err = c.get(ctx, fmt.Sprintf("/v1/drains?after=%d&wait=true", after), &d)
	return d, err
}

// PutDocument puts or deletes a document and returns its revision. The error is a RejectedError if
// the coordinators rejected it; with CodeConflict it has the document's current revision.
func (c *Client) PutDocument(ctx context.Context, put coord.DocumentPut) (revision uint64, err error) {
	o := c.execute(ctx, coord.Command{Op: coord.OpPutDocument, Document: &put}, nil)
	return o.response.Revision, o.err
}

// DocumentHistory returns the retained changes of a document, the oldest first. The result is not
// older than the call.
func (c *Client) DocumentHistory(ctx context.Context, name string) (history []watchlog.Change, err error) {
	err = c.get(ctx, protocol.HistoryPath+"?name="+url.QueryEscape(name), &history)
	return history, err
}

// ListDocuments returns the documents whose names begin with prefix. The result is not older than
// the call.
func (c *Client) ListDocuments(ctx context.Context, prefix string) (rows []protocol.DocumentRow, err error) {
	err = c.get(ctx, protocol.DocumentsPath+"?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}
