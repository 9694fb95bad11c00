package planner

import (
	"errors"
	"syscall"
)

// connectionRefused reports whether no process listens at the dialled address.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
