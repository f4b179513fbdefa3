package connector

import (
	"io"
	"net/http"
	"slices"

	"github.com/juju/errors"
)

const (
	// maxEarlier is the number of earlier requests on a connection whose late responses are told.
	maxEarlier = 4
	// maxSkipped is the number of late responses that are skipped before a response, and
	// maxSkippedBytes limits the body of each.
	maxSkipped      = 8
	maxSkippedBytes = 64 << 10
)

// remember adds a request that got its response to the earlier ones.
func (k *conn) remember(id string) {
	if id == "" {
		return
	}
	if len(k.earlier) == maxEarlier {
		k.earlier = slices.Delete(k.earlier, 0, 1)
	}
	k.earlier = append(k.earlier, id)
}

// isLate reports whether a response belongs to an earlier request on the connection, and whether
// another one may follow it.
func (k *conn) isLate(resp *http.Response, r Request) bool {
	if r.ID == "" || r.ResponseID == nil || resp.Close || UntilClose(resp) {
		return false
	}
	id := r.ResponseID(resp)
	return id != r.ID && slices.Contains(k.earlier, id)
}

func skipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
	if err == nil && n == maxSkippedBytes {
		err = errors.Errorf("longer than %d bytes", maxSkippedBytes)
	}
	return err
}
