package sequoiasill

// Move is the gradual shift of a service's traffic from one version to another. It must be
// completed by a deadline.
type Move struct {
	Name     string
	Service  string
	From     string // empty for all versions other than To
	To       string
	Start    Millis
	Deadline Millis
}

// VersionAssignment tells which version of a service serves a call.
type VersionAssignment struct {
	Target   string // version of the service's last order, empty if there is none
	ToTarget bool   // the call is assigned to it
	InUse    string // version that the service ran when it was ordered, empty if not known
	Rejected string // version of an earlier order that was not completed, empty if there is none
}

// MoveEnd is the outcome of a move.
type MoveEnd string

// Outcomes of a move. MoveOpen means that the move is still in progress, MoveRolledBack
// that it was rolled back.
const (
	MoveOpen       MoveEnd = ""
	MoveDone       MoveEnd = "done"
	MoveRolledBack MoveEnd = "takenBack"
)

// MoveStatus is the persisted state of a move.
type MoveStatus struct {
	Move    string
	Share   int // traffic on the new version in thousandths
	End     MoveEnd
	Reason  string
	Epoch   uint64 // lease epoch of the writer
	Changed Millis
}
