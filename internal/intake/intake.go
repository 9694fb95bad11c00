// Package intake reads what other processes send, within bounds. A read that
// passes its bound fails, so that a part is never taken for the whole.
package intake

import (
	"io"

	"flamingodoor.example/flamingodoor"
)

// ReadAll reads to the end of the reader. It returns an error with CodeTooLarge
// if there are more than limit bytes.
func ReadAll(reader io.Reader, limit int64) ([]byte, error) {
	data, complete, err := ReadPrefix(reader, limit)
	if err != nil {
		return nil, err
	}
	if !complete {
		return nil, errTooLarge(limit)
	}
	return data, nil
}

// ReadPrefix reads up to limit bytes and reports whether they are all. If they
// are not, it also returns the first byte beyond the limit, and the reader
// continues after it.
func ReadPrefix(reader io.Reader, limit int64) (data []byte, complete bool, err error) {
	data, err = io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, false, err
	}
	return data, int64(len(data)) <= limit, nil
}

// Discard reads to the end of the reader and drops the data. It returns an error
// with CodeTooLarge if there are more than limit bytes.
func Discard(reader io.Reader, limit int64) error {
	count, err := io.Copy(io.Discard, io.LimitReader(reader, limit+1))
	if err != nil {
		return err
	}
	if count > limit {
		return errTooLarge(limit)
	}
	return nil
}

func errTooLarge(limit int64) error {
	return flamingodoor.Errorf(flamingodoor.CodeTooLarge, "more than %d bytes", limit)
}
