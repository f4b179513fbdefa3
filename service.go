package sequoiasill

import "strings"

// Kind distinguishes model services from plain HTTP services.
type Kind string

// Kinds of services and pools.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Service is a target that callers address by name.
type Service struct {
	Name    string
	Kind    Kind
	Pool    string
	Version string // the version that receives traffic when no move is in progress
	Routes  []Route
}

// Route defines retries and timeouts for the calls under a path of a plain
// service.
type Route struct {
	Path               string // path prefix, starting with a slash
	Idempotent         bool
	CallerNeverRepeats bool // a non-idempotent call needs no Idempotency-Key
	Timeout            Millis
}

// Route returns the route with the longest prefix that matches path. Calls that
// match no route are treated as non-idempotent.
func (s Service) Route(path string) Route {
	best := Route{Path: "/"}
	found := false
	for _, r := range s.Routes {
		if hasPathPrefix(path, r.Path) && (!found || len(r.Path) > len(best.Path)) {
			best = r
			found = true
		}
	}
	return best
}

func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// Pool is a set of upstreams with the same configuration.
type Pool struct {
	Name    string
	Kind    Kind
	Fencing bool // the upstreams reject commands with a stale epoch
	Slots   int  // concurrent requests per upstream
}
