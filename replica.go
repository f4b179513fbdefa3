package sequoiasill

import (
	"net"
	"strconv"

	"github.com/juju/errors"
)

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
	ColdFor     Millis // time for which it stays cold, counted from the announcement; 0 if it is not
	Sequence    uint64 // rises with each write of the replica, 0 if unknown
}

const (
	// maxSlots is the maximum number of slots of an upstream. An entry cannot have more connections
	// to one address than there are ports, and calls are balanced by slots: an absurd number would
	// draw all calls of the service.
	maxSlots = 1<<16 - 1
	// maxTextBytes is the maximum length of a name. The four of an announcement must fit into one
	// gossip message.
	maxTextBytes = 200
)

// Validate returns an error if r does not name an upstream that can be used.
func (r Replica) Validate() error {
	for _, text := range []string{r.Name, r.Service, r.Zone, r.Version} {
		if len(text) > maxTextBytes {
			return errors.Errorf("a name has %d bytes", len(text))
		}
	}
	switch {
	case r.Name == "" || r.Service == "":
		return errors.New("it has no name or no service")
	case r.Slots < 1 || r.Slots > maxSlots:
		return errors.New("its number of slots is out of range")
	case r.StartedAt < 0 || r.StartedAt > MaxTimestamp:
		return errors.New("its start time is out of range")
	case r.ShutdownIn < 0 || r.ShutdownIn > MaxDuration:
		return errors.New("its time until shutdown is out of range")
	case r.ColdFor < 0 || r.ColdFor > MaxDuration:
		return errors.New("its cold time is out of range")
	case r.Sequence > MaxNumber:
		return errors.New("its sequence number is out of range")
	}
	return validateAddress(r.Address)
}

func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.New("its address is not an IP number and a port")
	}
	if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() || ip.IsMulticast() {
		return errors.New("its address has no IP number of a host")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.New("its port is not a number from 1 to 65535")
	}
	return nil
}

// Rollout is an operator's order to move a service to another version.
type Rollout struct {
	Service  string
	Target   string
	Duration Millis
	Revision uint64  // store version
	State    MoveEnd // state in the store
	Recorded bool    // a state has been recorded in the store
	// Order identifies the order among those of its service: the store version at which it was first
	// seen. It is 0 if that is not known, as for orders that an older build recorded.
	Order uint64
	// Stored is the status in the store as it was read, empty if there is none. A rewritten order keeps
	// the status of the one before.
	Stored string
	// InUse is the version that the service ran when it was ordered, empty if that is not known.
	InUse string
	// Rejected is the target of the order before, if that was not completed.
	Rejected string
}

// After returns the order with the versions that follow from the one that it replaces, whose move
// had the given outcome by then. What the order itself tells is kept.
func (r Rollout) After(last Rollout, end MoveEnd) Rollout {
	if r.InUse != "" {
		return r
	}
	r.InUse, r.Rejected = last.InUse, last.Target
	if end == MoveDone {
		r.InUse, r.Rejected = last.Target, ""
	}
	if r.Rejected == r.InUse {
		r.Rejected = ""
	}
	return r
}
