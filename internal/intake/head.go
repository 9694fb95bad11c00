package intake

import (
	"bufio"
	"errors"
	"io"

	"flamingodoor.example/flamingodoor"
)

// lineBufferBytes is the size in which long lines of a head are read.
const lineBufferBytes = 1 << 10

// HeadLimits bound the heads of the HTTP responses to one request: status lines
// and header fields, those of interim responses included.
type HeadLimits struct {
	Bytes int
	Lines int
}

// HeadReader bounds the heads that are read from a connection. It returns a head
// line by line and never reads beyond its end, so that a buffered reader on top
// of it holds no bytes of the body while the head is read. A line that begins with
// a blank is an error: net/http would add it to the value of the line before.
type HeadReader struct {
	source *bufio.Reader
	left   HeadLimits
	inHead bool
	inLine bool // the latest read ended within a line
}

// NewHeadReader returns a reader that passes everything on until ExpectHead is
// called.
func NewHeadReader(source io.Reader) *HeadReader {
	return &HeadReader{source: bufio.NewReaderSize(source, lineBufferBytes)}
}

// Limit sets how much the heads that follow may contain together.
func (h *HeadReader) Limit(limits HeadLimits) {
	h.left = limits
}

// ExpectHead states that the next byte begins a head.
func (h *HeadReader) ExpectHead() {
	h.inHead, h.inLine = true, false
}

// Buffered returns the number of bytes that were received and not yet read.
func (h *HeadReader) Buffered() int {
	return h.source.Buffered()
}

// Read reads at most one line while in a head. It returns an error with
// CodeTooLarge once the limits are passed, and one with CodeProtocol for a line
// that begins with a blank.
func (h *HeadReader) Read(data []byte) (int, error) {
	if !h.inHead || len(data) == 0 {
		return h.source.Read(data)
	}
	count, ended, err := h.readLine(data)
	h.left.Bytes -= count
	if ended {
		h.left.Lines--
	}
	if h.left.Bytes < 0 || h.left.Lines < 0 {
		return 0, flamingodoor.Errorf(flamingodoor.CodeTooLarge, "head of a response exceeds its limits")
	}
	return count, err
}

// readLine reads up to the end of the current line, as far as the data has room,
// and reports whether the line ended.
func (h *HeadReader) readLine(data []byte) (count int, ended bool, err error) {
	if _, err := h.source.Peek(1); err != nil {
		return 0, false, err
	}
	available, err := h.source.Peek(min(len(data), h.source.Buffered()))
	if err != nil {
		return 0, false, err
	}
	if !h.inLine && (available[0] == ' ' || available[0] == '\t') {
		return 0, false, errInvalidHead("line of a response head begins with a blank")
	}
	for _, char := range available {
		data[count] = char
		count++
		if char == '\n' {
			ended = true
			break
		}
	}
	if _, err := h.source.Discard(count); err != nil && !errors.Is(err, io.EOF) {
		return count, ended, err
	}
	if ended && !h.inLine && isBlank(data[:count]) {
		h.inHead = false
	}
	h.inLine = !ended
	return count, ended, nil
}

// isBlank reports whether a line, which includes its line break, ends a head.
func isBlank(line []byte) bool {
	return string(line) == "\r\n" || string(line) == "\n"
}
