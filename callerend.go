package sequoiasill

import "context"

// ConnectionEnd tells how a caller's connection ended while its call was in progress.
type ConnectionEnd string

// Ends of callers' connections.
const (
	// EndedSending is an orderly end of the caller's sending side. Whether the caller still reads
	// shows only when something is written.
	EndedSending ConnectionEnd = "caller ended sending"
	EndedByReset ConnectionEnd = "caller reset"
	EndedSilent  ConnectionEnd = "caller silent" // gives no sign of life
	EndedByStop  ConnectionEnd = "stop"          // this process closed the connection when it stopped
)

// ConnectionError is the cause with which the context of a call is cancelled when its caller's
// connection ends. It is a context.Canceled.
type ConnectionError struct {
	End ConnectionEnd
}

// Error returns how the connection ended.
func (e *ConnectionError) Error() string { return "connection ended: " + string(e.End) }

// Is reports whether target is context.Canceled.
func (e *ConnectionError) Is(target error) bool { return target == context.Canceled }
