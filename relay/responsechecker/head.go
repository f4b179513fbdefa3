package responsechecker

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

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
func CheckHead(raw []byte) error {
	_, err := parseHead(raw)
	return err
}

// head is the head of a response.
type head struct {
	version []byte
	status  int
	fields  []byte // lines of the fields
}

// parseHead splits and checks the head of a response. Libraries accept several spaces before the status, and empty
// lines before its line.
func parseHead(raw []byte) (head, error) {
	line, fields, _ := bytes.Cut(bytes.TrimLeft(raw, "\r\n"), []byte("\n"))
	version, rest, _ := bytes.Cut(trimLineEnd(line), []byte(" "))
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.Atoi(string(digits))
	if err != nil {
		return head{}, errors.Annotatef(ErrInvalidHead, "status line %.64q", line)
	}
	if err := checkStatus(status); err != nil {
		return head{}, err
	}
	h := head{version: version, status: status, fields: fields}
	return h, h.checkFields()
}

// isInterim reports whether another head follows (RFC 9110, 15.2).
func (h head) isInterim() bool {
	return h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
}

// checkFields checks the lines of the fields, and where they are continued.
func (h head) checkFields() error {
	first := true
	for line := range bytes.Lines(h.fields) {
		line = trimLineEnd(line)
		if len(line) == 0 {
			return nil
		}
		if isContinuation := line[0] == ' ' || line[0] == '\t'; isContinuation && !first {
			continue
		}
		first = false
		name, _, ok := strings.Cut(string(line), ":")
		if !ok {
			return errors.Annotatef(ErrInvalidHead, "field line %.64q without a colon", line)
		}
		if err := checkName(name); err != nil {
			return err
		}
		if strings.EqualFold(name, "Transfer-Encoding") && !h.allowsTransferEncoding() {
			return errors.Annotatef(ErrInvalidHead, "transfer encoding with version %.64q", h.version)
		}
	}
	return nil
}

// allowsTransferEncoding reports whether the version has transfer encodings. In an earlier one they leave open how
// the body is framed (RFC 9112, 6.1).
func (h head) allowsTransferEncoding() bool {
	major, minor, ok := http.ParseHTTPVersion(string(h.version))
	return ok && (major > 1 || major == 1 && minor >= 1)
}

// CheckResponse checks the head of a response that a client of net/http has read. The error wraps ErrInvalidHead.
// Transfer encodings of an HTTP/1.0 response are not checked, as net/http removes them.
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

// checkName checks the name of a field. Libraries accept names with blanks, and read them as one that the sender did
// not mean, or ignore the field (RFC 9112, 5.1).
func checkName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return errors.Annotatef(ErrInvalidHead, "field name %.64q", name)
	}
	return nil
}

// trimLineEnd returns a line without its line feed and the carriage return before it.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
