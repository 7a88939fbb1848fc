package clientconn

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
)

// maxHeadBytes and maxChunkLineBytes limit what is retained of an answer to find its end. net/http gives up sooner.
const (
	maxHeadBytes      = 256 << 10
	maxChunkLineBytes = 8 << 10
)

// part is a part of an answer.
type part int

const (
	head      part = iota
	body           // of a known length
	chunkSize      // the line with the size of a chunk
	chunkData
	chunkEnd // the line end behind the data of a chunk
	trailer
)

// answerFraming follows the bytes of one answer to its end, which it finds as net/http does.
type answerFraming struct {
	part       part
	line       []byte // of the head all that has been read, of a chunk size or trailer the current line
	remaining  int64  // bytes of the body or of the chunk
	unknownEnd bool   // the answer ends with the connection, or is malformed
}

// feed processes the next bytes of the connection. It returns how many of them belong to the answer, and whether the
// answer is complete with these.
func (a *answerFraming) feed(input []byte) (n int, complete bool) {
	for n < len(input) {
		if a.unknownEnd {
			return len(input), false
		}
		consumed, complete := a.feedPart(input[n:])
		n += consumed
		if complete {
			return n, true
		}
	}
	return n, false
}

// feedPart processes bytes up to the end of the current part.
func (a *answerFraming) feedPart(input []byte) (n int, complete bool) {
	switch a.part {
	case head:
		return a.feedHead(input)
	case body, chunkData:
		n = int(min(a.remaining, int64(len(input))))
		a.remaining -= int64(n)
		if a.remaining > 0 {
			return n, false
		}
		if a.part == body {
			return n, true
		}
		a.part = chunkEnd
		return n, false
	}
	return a.feedLine(input)
}

// feedHead processes bytes of the head, and determines the length of the body once the head is complete.
func (a *answerFraming) feedHead(input []byte) (n int, complete bool) {
	before := len(a.line)
	a.line = append(a.line, input...)
	end := headEnd(a.line, max(0, before-len("\n\r\n")))
	if end < 0 {
		a.unknownEnd = len(a.line) > maxHeadBytes
		return len(input), false
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(a.line[:end])), nil)
	a.line = nil
	n = end - before
	switch {
	case err != nil, response.StatusCode == http.StatusSwitchingProtocols:
		a.unknownEnd = true
	case response.StatusCode < http.StatusOK: // the final answer follows
	case response.Body == http.NoBody: // also of a status that allows no body, whatever the header says
		return n, true
	case len(response.TransferEncoding) > 0:
		a.part = chunkSize
	case response.ContentLength < 0:
		a.unknownEnd = true
	default:
		a.part, a.remaining = body, response.ContentLength
	}
	return n, false
}

// headEnd returns the length of a head with the empty line that ends it, or -1 if that is not there yet. The bytes before
// from have been searched.
func headEnd(text []byte, from int) int {
	for i := from; i < len(text); i++ {
		if text[i] != '\n' {
			continue
		}
		switch rest := text[i+1:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + len("\n\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + len("\n\r\n")
		}
	}
	return -1
}

// feedLine processes bytes of a line of a chunked body.
func (a *answerFraming) feedLine(input []byte) (n int, complete bool) {
	end := bytes.IndexByte(input, '\n')
	if end < 0 {
		a.line = append(a.line, input...)
		a.unknownEnd = len(a.line) > maxChunkLineBytes
		return len(input), false
	}
	line := bytes.TrimRight(append(a.line, input[:end]...), " \t\r")
	a.line = nil
	return end + 1, a.endLine(line)
}

// endLine processes a complete line of a chunked body, and reports whether it is the last one.
func (a *answerFraming) endLine(line []byte) (complete bool) {
	switch a.part {
	case chunkEnd:
		a.part, a.unknownEnd = chunkSize, len(line) > 0
	case trailer:
		return len(line) == 0
	case chunkSize:
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseInt(string(bytes.TrimRight(digits, " \t")), 16, 64)
		switch {
		case err != nil || size < 0:
			a.unknownEnd = true
		case size == 0:
			a.part = trailer
		default:
			a.part, a.remaining = chunkData, size
		}
	}
	return false
}
