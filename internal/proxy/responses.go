package proxy

import (
	"sync"
	"sync/atomic"

	"flamingodoor.example/flamingodoor/internal/intake"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	// responseMemoryDivisor sets the part of a host's memory for what is buffered of
	// responses beyond firstBufferedBytes: a sixteenth.
	responseMemoryDivisor = 16
	// firstBufferedBytes is what is buffered of each response without asking for room.
	// 2,000 such parts take 32 MB.
	firstBufferedBytes = 16 << 10
)

// responses counts the memory of responses that are buffered. It is safe for concurrent
// use.
type responses struct {
	limit int64 // bytes
	bytes atomic.Int64
}

// reserve returns the room for one response, or nil if there is none.
func (r *responses) reserve() *responseRoom {
	const room = maxBufferedBytes - firstBufferedBytes
	if r.bytes.Add(room) > r.limit {
		r.bytes.Add(-room)
		return nil
	}
	return &responseRoom{release: sync.OnceFunc(func() { r.bytes.Add(-room) })}
}

// responseRoom is reserved until it is released. The zero value and nil hold nothing.
type responseRoom struct {
	release func()
}

func (r *responseRoom) free() {
	if r != nil {
		r.release()
	}
}

// BufferedBytes returns the room that buffered responses take.
func (p *Proxy) BufferedBytes() int64 {
	return p.responses.bytes.Load()
}

// bufferResponse reads a response up to maxBufferedBytes, or only up to
// firstBufferedBytes if there is no room for more: the rest is then read as fast as the
// caller reads it. It closes the response unless there is a rest.
func (p *Proxy) bufferResponse(response *upstream.Response) (bufferedResponse, error) {
	body, complete, err := intake.ReadPrefix(response.Body, firstBufferedBytes)
	var room *responseRoom
	if err == nil && !complete {
		room = p.responses.reserve()
	}
	if room != nil {
		var more []byte
		more, complete, err = intake.ReadPrefix(response.Body, maxBufferedBytes-int64(len(body)))
		body = append(body, more...)
	}
	if err != nil || complete {
		_ = response.Body.Close() // read to its end or broken
	}
	if err != nil {
		room.free()
		return bufferedResponse{}, err
	}
	buffered := bufferedResponse{status: response.StatusCode, header: response.Header, body: body, length: response.ContentLength, room: room}
	if !complete {
		buffered.rest = response.Body
	}
	return buffered, nil
}
