package exchanger

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// configPath is the HTTP path at which entries serve the configuration to each other;
// headerVersion is the response header with its version.
const (
	configPath    = "/config"
	headerVersion = "Config-Version"
)

func (e *Exchanger) serveConfig(w http.ResponseWriter, _ *http.Request) {
	raw, version := e.configs.Current()
	if version == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headerVersion, strconv.FormatUint(version, 10))
	w.Header().Set("Content-Encoding", "gzip")
	compressed, err := e.compress(raw, version)
	if err != nil {
		e.log.Error("cannot compress configuration", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The client detects a truncated response by its length.
	_, _ = w.Write(compressed)
}

// compress returns the configuration gzipped. The result is cached per version for all
// entries that pull it: links are slow, and a configuration, being mostly names,
// compresses well.
func (e *Exchanger) compress(raw []byte, version uint64) ([]byte, error) {
	e.compressMu.Lock()
	defer e.compressMu.Unlock()
	if e.compressedVersion == version {
		return e.compressed, nil
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(raw); err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	e.compressed, e.compressedVersion = b.Bytes(), version
	return e.compressed, nil
}

// CaughtUp reports whether this entry has had the time to hear of a newer configuration from the
// others, and has applied it. The store may lack it after it came back from a copy. Once true, it
// stays so.
func (e *Exchanger) CaughtUp() bool {
	_, current := e.configs.Current()
	entries := e.Entries()
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.joinedAt == 0 && entries > 1 {
		e.joinedAt = now
	}
	heard := e.joinedAt > 0 && now-e.joinedAt >= joinTime || now-e.startedAt >= discoveryTime
	e.caughtUp = e.caughtUp || heard && current >= e.targetVersion
	return e.caughtUp
}

// pull fetches the newest configuration version announced by gossip, unless this entry
// already has it. It tries the store first, whose link is fast enough for all entries at
// once, which that of a single entry is not. Other entries are the fallback when the
// store is unavailable.
func (e *Exchanger) pull() {
	_, current := e.configs.Current()
	e.mu.Lock()
	target, announcer := e.targetVersion, e.targetAddress
	e.mu.Unlock()
	if current >= target {
		return
	}
	if !e.isAway() && e.pullFromOrigin(target) {
		return
	}
	for _, address := range e.pullAddresses(announcer) {
		raw, err := e.fetch(address)
		if err != nil {
			e.log.Debug("cannot pull configuration", "from", address, "error", err)
			continue
		}
		e.configs.Accept(raw, address)
		if _, version := e.configs.Current(); version >= target {
			return
		}
	}
}

// pullFromOrigin reads the configuration from the store and reports whether the current
// version is then at least target.
func (e *Exchanger) pullFromOrigin(target uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	raw, err := e.origin.Fetch(ctx)
	if err != nil {
		e.log.Debug("cannot read configuration from the store", "error", err)
		return false
	}
	e.configs.Accept(raw, "store")
	_, version := e.configs.Current()
	return version >= target
}

// maxSources is the maximum number of entries contacted in one pull.
const maxSources = 3

// pullAddresses returns the addresses to pull from: random live entries, to spread the
// load, followed by the entry that announced the version.
func (e *Exchanger) pullAddresses(announcer string) []string {
	out := []string{}
	members := e.gossip.Members()
	for _, i := range rand.Perm(len(members)) {
		address := members[i].Address
		if len(out) < maxSources-1 && address != e.opts.Address && address != announcer {
			out = append(out, address)
		}
	}
	if announcer != "" && announcer != e.opts.Address {
		out = append(out, announcer)
	}
	return out
}

func (e *Exchanger) fetch(address string) ([]byte, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+configPath, nil)
	if err != nil {
		return nil, errors.Annotate(err, "create request")
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "pull configuration")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("pull configuration: status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxConfigBytes))
	return raw, errors.Annotate(err, "pull configuration")
}
