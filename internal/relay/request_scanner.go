package relay

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// Limits of the head of a request. net/http limits only its bytes, and keeps a map entry for each field.
const (
	maxHeadFields  = 100
	maxHeadBytes   = 16 << 10
	maxLengthBytes = 64 // of the line with the length of the body, without spaces
)

// requestScanner finds the end of each request in the bytes of a connection, and counts the fields of its head, as the
// bytes arrive. It only decides how much is passed on at a time and counted: which requests are accepted is decided by
// net/http and package framing, which end the connection of each request whose end is not certain.
type requestScanner struct {
	inBody     bool
	complete   bool // the last byte that was scanned ended a request
	bodyLeft   int64
	length     int64 // of the body; negative until the head has given it
	fields     int   // complete lines of the head, the request line among them
	headBytes  int
	oversized  bool   // the head exceeds a limit
	lineBytes  int    // length of the current line
	lineFolded bool   // the current line begins with a space, so it belongs to the field before it
	line       []byte // the start of the current line without spaces, up to maxLengthBytes
}

// scan processes bytes up to the end of the current request, or of the input, and returns their number.
func (s *requestScanner) scan(input []byte) (n int) {
	if s.complete {
		*s = requestScanner{line: s.line[:0]}
	}
	for n < len(input) && !s.complete {
		if s.inBody {
			skipped := min(s.bodyLeft, int64(len(input)-n))
			s.bodyLeft -= skipped
			n += int(skipped)
			s.complete = s.bodyLeft == 0
			continue
		}
		n += s.scanLine(input[n:])
	}
	return n
}

// scanLine processes bytes of the head up to the end of the current line.
func (s *requestScanner) scanLine(input []byte) (n int) {
	end := bytes.IndexByte(input, '\n')
	part := input
	if end >= 0 {
		part = input[:end]
	}
	if s.lineBytes == 0 && len(part) > 0 {
		s.lineFolded = part[0] == ' ' || part[0] == '\t'
	}
	s.lineBytes += len(part)
	for _, b := range part {
		if len(s.line) > maxLengthBytes {
			break
		}
		if b != ' ' && b != '\t' && b != '\r' {
			s.line = append(s.line, b)
		}
	}
	n = len(part)
	if end >= 0 {
		n++
		s.endLine()
	}
	s.headBytes += n
	s.oversized = s.oversized || s.fields > maxHeadFields || s.headBytes > maxHeadBytes
	return n
}

// endLine processes a complete line of the head. An empty one ends the head.
func (s *requestScanner) endLine() {
	if len(s.line) == 0 && s.lineBytes <= len("\r") {
		s.inBody, s.bodyLeft = true, max(0, s.length)
		s.complete = s.bodyLeft == 0
		return
	}
	s.fields++
	if name, value, _ := strings.Cut(string(s.line), ":"); !s.lineFolded {
		s.field(name, value)
	}
	s.lineBytes, s.line = 0, s.line[:0]
}

// field processes a field of the head that may give the length of the body. The rest of the connection counts as the
// body of a request whose length is not certain.
func (s *requestScanner) field(name, value string) {
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		s.length = math.MaxInt64
	case !strings.EqualFold(name, "Content-Length"):
	case len(s.line) > maxLengthBytes:
		s.oversized = true
	default:
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || length < 0 {
			length = math.MaxInt64
		}
		s.length = max(s.length, length)
	}
}

// headSize returns the bytes and the fields that have been scanned of the current head.
func (s *requestScanner) headSize() (bytes, fields int) { return s.headBytes, s.fields }
