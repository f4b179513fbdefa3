package acceptor

import "sequoiasill.dev/sequoiasill"

const (
	// shortestLine is the size of the shortest header line in bytes, "a:" with its end. A head within its
	// limit of bytes has no more lines than its size holds of these.
	shortestLine = 4
	// maxLeadingLines is the number of empty lines before a request. The server accepts two after the body of
	// another request, as old callers send them.
	maxLeadingLines = 8
)

// headScanner counts the bytes and the lines of a head while it is read, before a parser holds them.
type headScanner struct {
	bytes    int
	lines    int  // without the leading ones
	leading  int  // empty lines before the request
	length   int  // of the line that is being read
	returned bool // the last byte was a carriage return
	ended    bool
}

// scan counts the next bytes up to the end of the head.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		if s.ended {
			return
		}
		s.bytes++
		if b != '\n' {
			s.length++
			s.returned = b == '\r'
			continue
		}
		// A single carriage return belongs to the end of the line, as in the server.
		isEmpty := s.length == 0 || s.length == 1 && s.returned
		s.length, s.returned = 0, false
		switch {
		case !isEmpty:
			s.lines++
		case s.lines == 0:
			s.leading++
		default:
			s.ended = true
		}
	}
}

// exceeds reports whether the head is beyond its limits, for a configured size of the header in bytes.
func (s *headScanner) exceeds(headerBytes int) bool {
	size := headerBytes + sequoiasill.HeaderFraming
	return s.bytes > size || s.lines > size/shortestLine || s.leading > maxLeadingLines
}

// cost returns the memory that the head takes, in bytes.
func (s *headScanner) cost() int64 { return headerCost(s.bytes, s.lines) }
