package logging

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines wait for a slow reader of the output before
// further ones are dropped.
const queueLines = 4096

// Queue is a writer that never blocks: it drops lines while its output is slow
// and says how many.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewQueue returns a writer to the output. Close writes what is left.
func NewQueue(output io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines)}
	q.done.Add(1)
	go q.run(output)
	return q
}

// Write queues a line.
func (q *Queue) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case q.lines <- kept:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines. Nothing may be written after it.
func (q *Queue) Close() {
	close(q.lines)
	q.done.Wait()
}

func (q *Queue) run(output io.Writer) {
	defer q.done.Done()
	var batch []byte
	for line := range q.lines {
		batch = append(batch[:0], line...)
		for more := true; more; {
			select {
			case next, ok := <-q.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		if dropped := q.dropped.Swap(0); dropped > 0 {
			batch = append(batch, "level=warn event=log_lines_dropped count="+strconv.FormatInt(dropped, 10)+"\n"...)
		}
		// Nothing is left to report a failure of the log itself to.
		_, _ = output.Write(batch)
	}
}
