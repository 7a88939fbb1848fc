package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"
)

const (
	// maxRetainedBytes is the size up to which the memory of encoded records is kept for the next ones: one with the
	// largest body, and some more.
	maxRetainedBytes = 192 << 10
	// writeBytes is how much is collected for one write to a file.
	writeBytes = 64 << 10
)

// frameBuffer collects encoded records. Its memory is used again after a reset.
type frameBuffer struct {
	buf     bytes.Buffer
	encoder *json.Encoder
}

// append encodes a record and returns the size of its frame in bytes.
func (b *frameBuffer) append(r Record) int64 {
	if b.encoder == nil {
		b.encoder = json.NewEncoder(&b.buf)
	}
	start := b.buf.Len()
	b.buf.Write(make([]byte, frameHeaderSize))
	if err := b.encoder.Encode(r); err != nil {
		panic(err) // no field of a record can fail to encode
	}
	b.buf.Truncate(b.buf.Len() - len("\n"))
	frame := b.buf.Bytes()[start:]
	payload := frame[frameHeaderSize:]
	binary.LittleEndian.PutUint32(frame, uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.ChecksumIEEE(payload))
	return int64(len(frame))
}

// reset empties the buffer.
func (b *frameBuffer) reset() {
	if b.buf.Cap() > maxRetainedBytes {
		b.buf, b.encoder = bytes.Buffer{}, nil
		return
	}
	b.buf.Reset()
}

// frameWriter writes records to a file, some at a time.
type frameWriter struct {
	out     io.Writer
	frames  frameBuffer
	written int64
	err     error
}

// append writes a record, at the latest with the next flush.
func (w *frameWriter) append(r Record) {
	w.frames.append(r)
	if w.frames.buf.Len() >= writeBytes {
		w.flush()
	}
}

// flush writes what is left, and returns the first error of all writes.
func (w *frameWriter) flush() error {
	if w.err == nil {
		_, w.err = w.out.Write(w.frames.buf.Bytes())
	}
	w.written += int64(w.frames.buf.Len())
	w.frames.reset()
	return w.err
}
