package sequoiasill

// Replica is an upstream as it announces itself. Each restart of an upstream
// creates a new replica, usually under a new name.
type Replica struct {
	Name        string
	Service     string
	Address     string // IP and port
	Zone        string
	Version     string // software version
	Slots       int
	Draining    bool
	Reclaimable bool
	ShutdownIn  Millis // time until shutdown, counted from the announcement; 0 if not announced
	StartedAt   Millis // start time, which distinguishes restarts under the same name
	Revision    uint64 // store version of the announcement
	Sequence    uint64 // rises with each write of the replica, 0 if unknown
}

// Rollout is an operator's order to move a service to another version.
type Rollout struct {
	Service  string
	Target   string
	Duration Millis
	Revision uint64  // store version
	State    MoveEnd // state in the store
	Recorded bool    // a state has been recorded in the store
}
