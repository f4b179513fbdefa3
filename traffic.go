package sequoiasill

import (
	"slices"
	"strings"
)

// CallKind defines whether the calls of a route may be retried.
type CallKind int

// Kinds of calls. A call of unknown kind is treated as RunOnce.
const (
	RunOnce    CallKind = iota // runs at most once
	Idempotent                 // may run any number of times
	Streaming                  // responds with an event stream; runs at most once unless the route is resumable
)

// String returns the name of the kind in logs and metrics.
func (k CallKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "runOnce"
}

// Traffic is one validated version of the routing configuration. It is immutable.
type Traffic struct {
	Version  uint64
	Routes   []TrafficRoute
	Services []TrafficService
	Accounts []Account
	Limits   CallerLimits
}

// TrafficRoute routes the calls for a host and path prefix to services.
type TrafficRoute struct {
	Name                string
	Host                string
	Prefix              string // begins and ends with a slash
	Kind                CallKind
	Resumable           bool   // an interrupted stream may be resumed on another upstream
	Anonymous           bool   // requires no bearer key
	Timeout             Millis // from the arrival of a call to its end
	TargetLatency       Millis // target time to the response or to the first event of a stream
	TargetEventInterval Millis // target time between events of a stream
	Priority            int    // 0 is the highest
	MaxAttempts         int    // maximum number of attempts per call, each on another upstream
	Targets             []WeightedService
}

// WeightedService is a service with its share of a route's calls.
type WeightedService struct {
	Service string
	Weight  int
}

// TrafficService is a set of interchangeable upstreams.
type TrafficService struct {
	Name           string
	HealthPath     string
	MaxConnections int     // connections that one upstream accepts in total
	ColdPerSec     float64 // requests a second that a cold upstream serves, 0 if the service has no cold starts
	Engine         *EngineLimits
	Scaling        *ScalingLimits
}

// EngineLimits are the capacities of the model engines of a service.
type EngineLimits struct {
	Slots          int // maximum batch size in calls
	CacheTokens    int // cache capacity of one engine in tokens
	TokenBytes     int // cache size of one token in bytes
	CacheMigration bool
	HandleTTL      Millis // time after which an unused migrated cache expires
}

// ScalingLimits bound the number of a service's upstreams in each availability
// zone.
type ScalingLimits struct {
	Min, Max         int
	BootTime         Millis
	ReclaimablePrice float64            // as a fraction of the on-demand price
	ZonePrices       map[string]float64 // on-demand price per second, by zone
}

// Account holds an organisation's credentials and rate limit.
type Account struct {
	Name         string
	Keys         []string
	Priority     int     // 0 is the highest; takes precedence over the route's priority
	CountsTokens bool    // the rate limit counts tokens instead of calls
	DefaultCost  float64 // tokens charged for a call that declares no sizes
	RatePerSec   float64 // 0 for no limit
	Burst        float64
}

// CallerLimits are the size limits and timeouts of callers' connections.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout Millis
	IdleTimeout   Millis // idle timeout of a keep-alive connection
}

// Sizes that apply where none is configured, in bytes.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
)

// HeaderFraming allows for the request line and the framing of a header beyond its configured size, in bytes.
const HeaderFraming = 4 << 10

// WithDefaultSizes returns the limits with the default sizes where none is configured.
func (l CallerLimits) WithDefaultSizes() CallerLimits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	return l
}

// Route returns the route of the host with the longest prefix that matches the
// path.
func (t *Traffic) Route(host, path string) (*TrafficRoute, bool) {
	var best *TrafficRoute
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// AccountByKey looks up an account by bearer key.
func (t *Traffic) AccountByKey(key string) (*Account, bool) {
	if key == "" {
		return nil, false
	}
	for i := range t.Accounts {
		for _, k := range t.Accounts[i].Keys {
			if k == key {
				return &t.Accounts[i], true
			}
		}
	}
	return nil, false
}

// Service looks up a service by name.
func (t *Traffic) Service(name string) (*TrafficService, bool) {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i], true
		}
	}
	return nil, false
}

// Selects reports whether ServiceFor may return a service.
func (r *TrafficRoute) Selects(service string) bool {
	if !slices.ContainsFunc(r.Targets, func(w WeightedService) bool { return w.Weight > 0 }) {
		return len(r.Targets) > 0 && r.Targets[0].Service == service
	}
	return slices.ContainsFunc(r.Targets, func(w WeightedService) bool { return w.Service == service && w.Weight > 0 })
}

// ServiceFor selects a service by weight. The same hash always selects the same
// service of a route.
func (r *TrafficRoute) ServiceFor(hash uint64) string {
	total := 0
	for _, w := range r.Targets {
		total += max(w.Weight, 0)
	}
	if total == 0 {
		if len(r.Targets) > 0 {
			return r.Targets[0].Service
		}
		return ""
	}
	at := int(hash % uint64(total))
	for _, w := range r.Targets {
		at -= max(w.Weight, 0)
		if at < 0 {
			return w.Service
		}
	}
	return ""
}

// MayRetry reports whether calls of the route may run more than once.
func (r *TrafficRoute) MayRetry() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Cost returns the amount that a call is charged against the account's rate limit.
func (a *Account) Cost(p Prompt) float64 {
	switch {
	case !a.CountsTokens:
		return 1
	case p.HasSizes:
		return float64(p.Tokens + p.MaxOutput)
	}
	return a.DefaultCost
}
