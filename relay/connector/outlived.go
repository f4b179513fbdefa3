package connector

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
)

const (
	// settleTime is the time between the end of a response and the check of its upstream. A process
	// that ends closes its sockets one after the other.
	settleTime = 10 * sequoiasill.Millis(1)
	// outlivedTimeout bounds a connect of the check, as a lost packet is sent again only after a second.
	// outlivedPause is the pause after one that failed at once.
	outlivedTimeout = 200 * sequoiasill.Millis(1)
	outlivedPause   = 50 * sequoiasill.Millis(1)
	// unusedIdleTimeout is how long the new connection is kept unused. The upstream has not announced an
	// idle timeout on it.
	unusedIdleTimeout = 500 * sequoiasill.Millis(1)
)

// Outlived reports whether an upstream was still running after it had closed a connection, by opening
// a new one, which is kept for later requests. It returns nil if so. The kernel closes the connections
// of a process that ends in the same way as the process does itself, and refuses connects from then on. An
// upstream that does not answer a connect may be silent and go on: it is asked again for as long as a sound
// one may be silent.
func (c *Connector) Outlived(ctx context.Context, upstream, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.MaxSilence.Duration())
	defer cancel()
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	for {
		err := c.open(ctx, upstream, address)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, syscall.ECONNREFUSED) && c.hasOpenIdle(upstream):
			// An upstream may refuse new connections and live on, as its open ones show.
			return nil
		case errors.Is(err, syscall.ECONNREFUSED) || sleep(ctx, outlivedPause) != nil:
			return errors.Annotatef(err, "upstream after it closed the connection")
		}
	}
}

// open opens a connection and keeps it for later requests.
func (c *Connector) open(ctx context.Context, upstream, address string) error {
	ctx, cancel := context.WithTimeout(ctx, outlivedTimeout.Duration())
	defer cancel()
	k, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	c.put(upstream, k, min(unusedIdleTimeout, c.opts.IdleTimeout))
	return nil
}

// hasOpenIdle reports whether an idle connection to an upstream is open.
func (c *Connector) hasOpenIdle(upstream string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle[upstream] {
		if isHealthy(k.net) {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, d sequoiasill.Millis) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d.Duration()):
		return nil
	}
}
