package dispatcher

import (
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/admitter"
	"sequoiasill.dev/sequoiasill/decide/allotter"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
)

// PreviewRequest describes a call that an operator asks about.
type PreviewRequest struct {
	ID           string // decides on the service and version of routes with several, may be empty
	Host         string
	Target       string             // path and query
	Organisation string             // empty for none
	Remaining    sequoiasill.Millis // time until the caller stops waiting, 0 for the route's timeout
	Tokens       int                // of the prompt, 0 if it has none
	MaxOutput    int
}

// Preview tells what this entry would do with a call now, and why. Whether the request itself is
// quarantined is left out, as that takes its body.
type Preview struct {
	Config    uint64 // version
	Route     string
	Service   string
	Refusal   string // why the call would be refused in any case, empty if it would not
	Paths     string // state of this entry's paths to the upstreams
	Quota     *allotter.Share
	Admission admitter.Decision // with the probability to refuse the call
	Upstreams []PreviewUpstream // the first choices, the cheapest first
}

// PreviewUpstream is an upstream to which a call might go.
type PreviewUpstream struct {
	Name       string
	Zone       string
	Version    string
	Cost       float64 // milliseconds
	Prefill    int     // estimated tokens to prefill
	Limited    bool    // the call would need a permit
	Candidates int
	ReportAge  sequoiasill.Millis // of its load report, -1 for none
}

// maxPreviewUpstreams is the number of upstreams in a Preview: those to which one call may be sent.
const maxPreviewUpstreams = 5

// Preview returns what this entry would do with a call now. Nothing is sent, charged or counted.
func (d *Dispatcher) Preview(r PreviewRequest) Preview {
	t := d.traffic.Load()
	if t == nil {
		return Preview{Refusal: "no configuration yet"}
	}
	call := &sequoiasill.Call{ID: r.ID, Host: r.Host, Target: r.Target, Prompt: sequoiasill.Prompt{HasSizes: r.Tokens > 0, Tokens: r.Tokens, MaxOutput: r.MaxOutput}}
	p := Preview{Config: t.Version}
	route, ok := t.Route(call.Host, call.Path())
	if !ok {
		p.Refusal = "no route for this host and path"
		return p
	}
	j := &job{call: call, tried: make(map[string]bool)}
	j.setRoute(t, route)
	p.Route, p.Service = route.Name, j.service
	if !route.Anonymous && len(t.Accounts) > 0 {
		i := slices.IndexFunc(t.Accounts, func(a sequoiasill.Account) bool { return a.Name == r.Organisation })
		if i < 0 {
			p.Refusal = "the route needs an organisation, and this one is unknown"
			return p
		}
		j.account = &t.Accounts[i]
	}
	d.previewDecisions(&p, j, r.Remaining)
	return p
}

// previewDecisions adds what depends on the state of the entry.
func (d *Dispatcher) previewDecisions(p *Preview, j *job, remaining sequoiasill.Millis) {
	paths := d.paths.State(j.service)
	p.Paths = paths.String()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if j.account != nil && j.account.RatePerSec > 0 {
		share := d.allotter.Share(now, j.account)
		p.Quota = &share
	}
	if limit := j.route.Timeout; remaining <= 0 || limit > 0 && limit < remaining {
		remaining = limit
	}
	p.Admission = d.admitter.Assess(now, j.admissionRequest(remaining))
	if paths == pathmonitor.Unreachable {
		return // another entry would serve it
	}
	candidates := d.candidatesForVersion(j, d.registrar.Candidates(now, j.service))
	for len(p.Upstreams) < maxPreviewUpstreams {
		c, ok := d.chooseFrom(j, candidates)
		if !ok {
			break
		}
		j.tried[c.Replica.Name] = true
		p.Upstreams = append(p.Upstreams, PreviewUpstream{
			Name: c.Replica.Name, Zone: c.Replica.Zone, Version: c.Replica.Version, Cost: c.Cost, Prefill: c.Prefill, Limited: c.Limited, Candidates: c.Candidates, ReportAge: c.ReportAge,
		})
	}
	if len(p.Upstreams) == 0 {
		p.Refusal = "no upstream left"
	}
}
