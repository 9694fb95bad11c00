package harness

import (
	"bytes"
	"io"
	"sync"
)

// outputMutex serialises the writes of all processes, so that their lines do not
// mix.
var outputMutex sync.Mutex

// prefixWriter writes whole lines, each after a prefix that names the process.
type prefixWriter struct {
	prefix  string
	target  io.Writer
	partial []byte // start of the line that is not complete yet
}

// Write writes the complete lines and buffers the rest.
func (w *prefixWriter) Write(data []byte) (int, error) {
	outputMutex.Lock()
	defer outputMutex.Unlock()
	w.partial = append(w.partial, data...)
	for {
		end := bytes.IndexByte(w.partial, '\n')
		if end < 0 {
			return len(data), nil
		}
		line := append([]byte(w.prefix), w.partial[:end+1]...)
		w.partial = w.partial[end+1:]
		if _, err := w.target.Write(line); err != nil {
			return len(data), err
		}
	}
}
