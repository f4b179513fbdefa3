package sequoiasill

// InstanceClass distinguishes reclaimable (spot) from on-demand instances.
type InstanceClass string

// Instance classes.
const (
	Reclaimable InstanceClass = "reclaimable"
	OnDemand    InstanceClass = "onDemand"
)

// Instance is a machine in the platform's instance list.
type Instance struct {
	Name    string
	Address string // IP and port of its listener
	Zone    string
	Class   InstanceClass
	Role    string // RoleEntry or RoleUpstream
	Pool    string // upstreams only
	Version string // upstreams only
	Leaving bool
	StopAt  Millis // shutdown time; 0 if not announced
}

// Roles of instances.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// Upstream is a backend that receives requests.
type Upstream struct {
	Name    string
	Address string
	Zone    string
	Pool    string
	Version string
	Slots   int
}

// LoadReport is the most recent load that an upstream reported.
type LoadReport struct {
	Running    int
	Waiting    int
	ReportedAt Millis // by the upstream's clock
}
