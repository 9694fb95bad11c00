package upstream

import (
	"errors"
	"syscall"
)

// connectionRefused reports whether a dial failed because no process listens at
// the address.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
