package responsechecker

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
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
	status, fields, err := splitHead(head)
	if err != nil {
		return err
	}
	if err := checkStatus(status); err != nil {
		return err
	}
	return checkFields(fields)
}

// checkFields checks the lines of the fields of a head, and of their continuations.
func checkFields(fields []byte) error {
	first := true
	for line := range bytes.Lines(fields) {
		line = trimLineEnd(line)
		if len(line) == 0 {
			return nil
		}
		if isContinuation := line[0] == ' ' || line[0] == '\t'; isContinuation && !first {
			continue
		}
		first = false
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return errors.Annotatef(ErrInvalidHead, "field line %.64q without a colon", line)
		}
		if err := checkName(string(name)); err != nil {
			return err
		}
	}
	return nil
}

// CheckResponse checks the head of a response that a client of net/http has read. The error wraps ErrInvalidHead.
func CheckResponse(r *http.Response) error {
	if err := checkStatus(r.StatusCode); err != nil {
		return err
	}
	for name := range r.Header {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}

func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return errors.Annotatef(ErrInvalidHead, "status %03d", status)
	}
	return nil
}

// checkName checks the name of a field. Libraries accept blanks in it, but not as part of the name that was meant,
// so that the field has no effect (RFC 9112, 5.1).
func checkName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return errors.Annotatef(ErrInvalidHead, "field name %.64q", name)
	}
	return nil
}

// splitHead returns the status in a head and the lines of its fields. Libraries accept several spaces before the
// status, and empty lines before its line.
func splitHead(head []byte) (status int, fields []byte, err error) {
	line, fields, _ := bytes.Cut(bytes.TrimLeft(head, "\r\n"), []byte("\n"))
	_, rest, _ := bytes.Cut(trimLineEnd(line), []byte(" "))
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if status, err = strconv.Atoi(string(digits)); err != nil {
		return 0, nil, errors.Annotatef(ErrInvalidHead, "status line %.64q", line)
	}
	return status, fields, nil
}

// trimLineEnd returns a line without its line feed and the carriage return before it.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
