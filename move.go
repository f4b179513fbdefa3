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
	// Until is the end of the time in which requests to a bad version count, 0 for Deadline.
	Until Millis
	// Order tells moves of the same name apart that were ordered one after the other. It rises, and
	// is 0 for a move that is declared only once.
	Order uint64
}

// VersionAssignment tells which version of a service serves a call.
type VersionAssignment struct {
	Target   string // version of the service's last order, empty if there is none
	ToTarget bool   // the call is assigned to it
	InUse    string // version that the service ran when it was ordered, empty if not known
	Rejected string // version of an earlier order that was not completed, empty if there is none
}

// VersionResult is what the result of a call tells of the version that it was sent to.
type VersionResult int

// The results. Whether a version declines or rejects calls that it should serve shows only by comparison with another version.
const (
	VersionServed   VersionResult = iota // answered with success, or begun to
	VersionFailed                        // failed, or not answered
	VersionDeclined                      // answered with a status of 3xx or 4xx
	VersionRejected                      // not run, though the upstream had room
)

// String returns the name of the result.
func (r VersionResult) String() string {
	switch r {
	case VersionServed:
		return "served"
	case VersionFailed:
		return "failed"
	case VersionDeclined:
		return "declined"
	case VersionRejected:
		return "rejected"
	}
	return "unknown"
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
	Order   uint64 // of the move, 0 if the writer does not tell
	Share   int    // traffic on the new version in thousandths
	End     MoveEnd
	Reason  string
	Epoch   uint64 // lease epoch of the writer
	Changed Millis
}

// BelongsTo reports whether the status, which was read as a version of its object, is that of a move
// and not of an earlier order of the same name. One without an order was written by an older
// build, after the order if the version is newer.
func (s MoveStatus) BelongsTo(m Move, version uint64) bool {
	return s.Order == m.Order || s.Order == 0 && version > m.Order
}
