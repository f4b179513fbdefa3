package soaker

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const repeatRefusalsFault = "repeat refusals of a replica"

// refusalRepeater sends the refusal of a request once more, before the response to the next request on
// its connection.
type refusalRepeater struct {
	client net.Conn

	mu      sync.Mutex
	refusal []byte // without a body
}

// forward sees data that is about to be forwarded.
func (r *refusalRepeater) forward(data []byte, isResponse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !isResponse && r.refusal != nil:
		// An error means that the connection is closed.
		_, _ = r.client.Write(r.refusal)
		r.refusal = nil
	case isResponse && bytes.HasPrefix(data, []byte("HTTP/1.1 503 ")) && bytes.HasSuffix(data, []byte("\r\n\r\n")):
		r.refusal = bytes.Clone(data)
		if rand.IntN(2) == 0 {
			r.refusal = withoutLine(r.refusal, "Request-Id: ")
		}
	}
}

// withoutLine removes the first line with a prefix.
func withoutLine(head []byte, prefix string) []byte {
	before, line, found := bytes.Cut(head, []byte("\r\n"+prefix))
	if !found {
		return head
	}
	_, after, _ := bytes.Cut(line, []byte("\r\n"))
	return append(append(before, "\r\n"...), after...)
}

// repeatReplicaRefusals makes a replica refuse some calls, and repeat these refusals.
func (h *Harness) repeatReplicaRefusals(duration time.Duration) {
	h.withRandomReplica(func(r *replica) {
		withFault([]*replica{r}, duration, func(r *replica, on bool) {
			r.rejectsPer1000.Store(strengthIf(300, on))
			r.proxy.setFault(noFault)
			if on {
				r.proxy.setFault(repeatRefusals)
			}
		})
	})
}
