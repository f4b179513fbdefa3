package sequoiasill

// Move shifts a service's traffic from one version to another by a deadline.
type Move struct {
	Name     string
	Service  string
	From     string // empty for every version but To
	To       string
	Start    Millis
	Deadline Millis
}

// MoveEnd is how a move ended.
type MoveEnd string

// The ends of a move. MoveOpen means that there is none yet.
const (
	MoveOpen  MoveEnd = ""
	MoveDone  MoveEnd = "done"
	MoveTaken MoveEnd = "takenBack"
)

// MoveStatus is the recorded state of a move.
type MoveStatus struct {
	Move    string
	Share   int // of traffic on the new version, in thousandths
	End     MoveEnd
	Reason  string
	Epoch   uint64 // lease epoch of the writer
	Changed Millis
}
