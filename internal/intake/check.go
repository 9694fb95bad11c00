package intake

import (
	"net/http"

	"golang.org/x/net/http/httpguts"

	"flamingodoor.example/flamingodoor"
)

const (
	// minStatus and maxStatus bound the statuses that HTTP defines.
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error with CodeProtocol if a response must not have the status or a
// header field of that name, where net/http accepts any status that strconv.Atoi accepts
// and blanks in names. After such a head, nothing on the connection is known to belong to
// the request, which may have run: "Content-Length : 5" sets no length.
func CheckHead(status int, header http.Header) error {
	if !validStatus(status) {
		return errInvalidHead("invalid response status %03d", status)
	}
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errInvalidHead("invalid name of a response header field %q", name)
		}
	}
	return nil
}

// validStatus reports whether a response may have the status: 100 to 599, except 101,
// because no request asks for another protocol.
func validStatus(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

func errInvalidHead(format string, args ...any) error {
	return flamingodoor.NewError(flamingodoor.CodeProtocol, flamingodoor.RunStateMayHaveRun, flamingodoor.Errorf(flamingodoor.CodeProtocol, format, args...))
}
