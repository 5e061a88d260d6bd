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

// ListLeases lists the leases that are held, of one name or all (""), not older than the call.
func (c *Client) ListLeases(ctx context.Context, name string) (list []coord.LeaseStatus, err error) {
	err = c.get(ctx, "/v1/leases?name="+url.QueryEscape(name), &list)
	return list, err
}

// ListLeasesWithPrefix lists the leases whose names begin with prefix, not older than the call.
func (c *Client) ListLeasesWithPrefix(ctx context.Context, prefix string) (list []coord.LeaseStatus, err error) {
	err = c.get(ctx, "/v1/leases?prefix="+url.QueryEscape(prefix), &list)
	return list, err
}

// WatchLease waits until a lease is held with another token (0: is free), for watchDuration at most.
func (c *Client) WatchLease(ctx context.Context, name string, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, watchDuration)
	defer cancel()
	var response coord.Response
	return c.get(ctx, fmt.Sprintf("/v1/watch?lease=%s&token=%d", url.QueryEscape(name), token), &response)
}

// ExecuteRollout has a command of internal/rollout carried out. The error is a RejectedError where
// the coordinators rejected it.
func (c *Client) ExecuteRollout(ctx context.Context, command rollout.Command) (coord.Response, error) {
	o := c.execute(ctx, coord.Command{Op: coord.OpRollout, Rollout: &command}, nil)
	return o.response, o.err
}

// RolloutReport is the state of the rollout, once it is newer than the version after or some seconds
// have passed; at once for 0.
func (c *Client) RolloutReport(ctx context.Context, after uint64) (r rollout.Report, err error) {
	err = c.get(ctx, fmt.Sprintf("/v1/rollout?after=%d", after), &r)
	return r, err
}

// Drains is the set of drained servers, once it is newer than the version after or some seconds have
// passed; at once for 0.
func (c *Client) Drains(ctx context.Context, after uint64) (d rollout.DrainSet, err error) {
	err = c.get(ctx, fmt.Sprintf("/v1/drains?after=%d", after), &d)
	return d, err
}

// WatchDrains waits as Drains does, also for the first version after 0: while nothing was ever
// drained nobody polls again and again.
func (c *Client) WatchDrains(ctx context.Context, after uint64) (d rollout.DrainSet, err error) {
	err = c.get(ctx, fmt.Sprintf("/v1/drains?after=%d&wait=true", after), &d)
	return d, err
}

// PutDocument has a document put, and returns its revision. The error is a RejectedError where the
// coordinators rejected it; with CodeConflict it has the document's revision.
func (c *Client) PutDocument(ctx context.Context, put coord.DocumentPut) (revision uint64, err error) {
	o := c.execute(ctx, coord.Command{Op: coord.OpPutDocument, Document: &put}, nil)
	return o.response.Revision, o.err
}

// DocumentHistory is what the coordinators keep of a document's changes, the oldest first, not older
// than the call.
func (c *Client) DocumentHistory(ctx context.Context, name string) (history []watchlog.Change, err error) {
	err = c.get(ctx, protocol.HistoryPath+"?name="+url.QueryEscape(name), &history)
	return history, err
}

// ListDocuments lists the documents whose names begin with prefix, not older than the call.
func (c *Client) ListDocuments(ctx context.Context, prefix string) (rows []protocol.DocumentRow, err error) {
	err = c.get(ctx, protocol.DocumentsPath+"?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}
