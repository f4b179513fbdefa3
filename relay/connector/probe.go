package connector

import (
	"context"
	"io"
	"net/http"
)

// Probe opens a connection to an upstream, requests the path on it and keeps it for later
// requests. Any response is a success.
func (c *Connector) Probe(ctx context.Context, upstream, address, path string) error {
	return c.ProbeIf(ctx, upstream, address, path, nil, func(http.Header) {})
}

// ProbeIf is like Probe, but sends nothing if maySend returns false; the error then wraps ErrWithheld.
// It passes the header of the response to observe.
func (c *Connector) ProbeIf(ctx context.Context, upstream, address, path string, maySend func() bool, observe func(http.Header)) error {
	x, err := c.Do(ctx, Request{Upstream: upstream, Address: address, Method: http.MethodGet, Target: path, Host: address, NewConnection: true, MaySend: maySend})
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxProbeBytes))
	x.Close(err == nil && n < maxProbeBytes)
	observe(x.Response.Header)
	return nil
}
