package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
)

const (
	// largeMemoryDivisor and smallMemoryDivisor set the parts of a host's memory for the
	// bodies of the requests in flight: a third for large ones, and an eighth for small
	// ones, which therefore never wait for room behind large ones.
	largeMemoryDivisor = 3
	smallMemoryDivisor = 8
	// smallBodyBytes is the largest size of a small body.
	smallBodyBytes = 64 << 10
)

// errBodiesFull is returned for a body for which there is no room.
var errBodiesFull = flamingodoor.Errorf(flamingodoor.CodeOverloaded, "the bodies of the requests in flight take all memory set aside for them")

// bodies counts the memory of the bodies of callers' requests in flight. It is safe for
// concurrent use.
type bodies struct {
	largeLimit int64 // bytes
	smallLimit int64 // bytes

	mu    sync.Mutex
	large int64 // bytes reserved
	small int64 // bytes reserved
}

func (b *bodies) setMemory(bytes int64) {
	b.largeLimit, b.smallLimit = bytes/largeMemoryDivisor, bytes/smallMemoryDivisor
}

// reserve reserves room for a body of the given size, or returns false if there is none.
func (b *bodies) reserve(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	used, limit := &b.small, b.smallLimit
	if size > smallBodyBytes {
		used, limit = &b.large, b.largeLimit
	}
	if *used+size > limit {
		return false
	}
	*used += size
	return true
}

// release gives up room that was reserved for a body of the given size.
func (b *bodies) release(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size > smallBodyBytes {
		b.large -= size
	} else {
		b.small -= size
	}
}

// readBody reads the body of a request after it has reserved room for it, which the
// returned function gives up. Without room it reads nothing. The room for requests of peers
// is reserved by takeovers.
func (p *Proxy) readBody(writer http.ResponseWriter, request *http.Request, from origin, index *catalogue.Index) (body []byte, release func(), err error) {
	limit := bodyLimit(index)
	reader := http.MaxBytesReader(writer, request.Body, limit)
	size := request.ContentLength
	switch {
	case size > limit:
		return nil, nil, &http.MaxBytesError{Limit: limit}
	case size < 0:
		return p.readUnsized(reader, limit)
	case from.host == "" && !p.bodies.reserve(size):
		return nil, nil, errBodiesFull
	}
	release = func() {
		if from.host == "" {
			p.bodies.release(size)
		}
	}
	body = make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

// readUnsized reads a body whose size is not known. It needs room for a small one at
// first, and for the largest one if it turns out not to be small.
func (p *Proxy) readUnsized(reader io.Reader, limit int64) (body []byte, release func(), err error) {
	reserved := min(limit, smallBodyBytes)
	if !p.bodies.reserve(reserved) {
		return nil, nil, errBodiesFull
	}
	free := func() { p.bodies.release(reserved) }
	body, complete, err := readUpTo(reader, make([]byte, 0, reserved+1)) // the end shows beyond the last byte
	if err == nil && !complete {
		if !p.bodies.reserve(limit) {
			free()
			return nil, nil, errBodiesFull
		}
		free()
		reserved = limit
		body, complete, err = readUpTo(reader, append(make([]byte, 0, limit+1), body...))
	}
	if err == nil && !complete {
		err = &http.MaxBytesError{Limit: limit}
	}
	if err != nil {
		free()
		return nil, nil, err
	}
	return body, free, nil
}

// readUpTo appends to the data what fits its capacity, and reports whether that is all.
func readUpTo(reader io.Reader, data []byte) (all []byte, complete bool, err error) {
	for len(data) < cap(data) {
		read, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+read]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return data, false, nil
}
