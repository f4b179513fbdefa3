package responsechecker

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// ErrInvalidHead is the cause of the error of a response whose head is invalid.
const ErrInvalidHead = errors.ConstError("invalid response head")

// The lowest and the highest valid status (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead checks the head of a response, from its status line to the empty line, as it was received. The
// error wraps ErrInvalidHead.
func CheckHead(head []byte) error {
	status, err := parseStatus(head)
	if err != nil {
		return err
	}
	return checkStatus(status)
}

// CheckResponse checks the head of a response that a client of net/http has read. The error wraps ErrInvalidHead.
func CheckResponse(r *http.Response) error { return checkStatus(r.StatusCode) }

func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return errors.Annotatef(ErrInvalidHead, "status %03d", status)
	}
	return nil
}

// parseStatus returns the status in a head. Libraries accept several spaces before it.
func parseStatus(head []byte) (int, error) {
	for line := range bytes.Lines(head) {
		if line = trimLineEnd(line); len(line) == 0 {
			continue
		}
		_, rest, _ := bytes.Cut(line, []byte(" "))
		digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
		status, err := strconv.Atoi(string(digits))
		if err != nil {
			return 0, errors.Annotatef(ErrInvalidHead, "status line %q", line)
		}
		return status, nil
	}
	return 0, errors.Annotate(ErrInvalidHead, "no status line")
}

// trimLineEnd returns a line without its line feed and the carriage return before it.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
