package logging

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is how many lines are queued for a slow output before further
// ones are dropped.
const maxQueuedLines = 4096

// Queue is a writer that never blocks. It drops lines when its output is too slow
// and writes a line with the number of dropped ones.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64   // lines dropped since the last report
	done    sync.WaitGroup // waits for run
}

// NewQueue returns a writer that writes to the output in the background until
// Close.
func NewQueue(output io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines)}
	q.done.Add(1)
	go q.run(output)
	return q
}

// Write queues a copy of the line, or drops the line if the queue is full.
func (q *Queue) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case q.lines <- queued:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the queued lines are written. Write must not be called
// afterwards.
func (q *Queue) Close() {
	close(q.lines)
	q.done.Wait()
}

// run writes the queued lines in batches until the queue is closed.
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
		// A write error is ignored: there is no other place to report it.
		_, _ = output.Write(batch)
	}
}
