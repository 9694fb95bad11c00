package harness

import (
	"bytes"
	"io"
	"sync"
)

// outputMutex keeps lines of different processes apart.
var outputMutex sync.Mutex

// prefixWriter writes whole lines with the name of the process.
type prefixWriter struct {
	prefix string
	target io.Writer
	rest   []byte
}

// Write buffers the data up to the end of the line.
func (w *prefixWriter) Write(data []byte) (int, error) {
	outputMutex.Lock()
	defer outputMutex.Unlock()
	w.rest = append(w.rest, data...)
	for {
		end := bytes.IndexByte(w.rest, '\n')
		if end < 0 {
			return len(data), nil
		}
		line := append([]byte(w.prefix), w.rest[:end+1]...)
		w.rest = w.rest[end+1:]
		if _, err := w.target.Write(line); err != nil {
			return len(data), err
		}
	}
}
