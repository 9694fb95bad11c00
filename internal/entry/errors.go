package entry

import (
	"encoding/json"
	"fmt"
	"net/http"

	"flamingodoor.example/flamingodoor"
)

// httpStatuses contains the HTTP status of every failure code.
var httpStatuses = map[flamingodoor.Code]int{
	flamingodoor.CodeInternal:             http.StatusInternalServerError,
	flamingodoor.CodeInvalidRequest:       http.StatusBadRequest,
	flamingodoor.CodeUnauthenticated:      http.StatusUnauthorized,
	flamingodoor.CodeNotAllowed:           http.StatusForbidden,
	flamingodoor.CodeUnknownModel:         http.StatusNotFound,
	flamingodoor.CodeUnknownService:       http.StatusNotFound,
	flamingodoor.CodeTooLarge:             http.StatusRequestEntityTooLarge,
	flamingodoor.CodeNotFresh:             http.StatusServiceUnavailable,
	flamingodoor.CodeStopping:             http.StatusServiceUnavailable,
	flamingodoor.CodeOverloaded:           http.StatusTooManyRequests,
	flamingodoor.CodeNoEndpoint:           http.StatusServiceUnavailable,
	flamingodoor.CodeDeadlineExceeded:     http.StatusGatewayTimeout,
	flamingodoor.CodeEndpointFailed:       http.StatusBadGateway,
	flamingodoor.CodeStreamLost:           http.StatusBadGateway,
	flamingodoor.CodePoisonRequest:        http.StatusUnprocessableEntity,
	flamingodoor.CodeKeyRequired:          http.StatusBadRequest,
	flamingodoor.CodeKeyInvalid:           http.StatusBadRequest,
	flamingodoor.CodeKeyExpired:           http.StatusBadRequest,
	flamingodoor.CodeKeyReused:            http.StatusUnprocessableEntity,
	flamingodoor.CodeOutcomeUnknown:       http.StatusConflict,
	flamingodoor.CodeLogUnavailable:       http.StatusServiceUnavailable,
	flamingodoor.CodeConflict:             http.StatusConflict,
	flamingodoor.CodeInvalidConfiguration: http.StatusUnprocessableEntity,
	flamingodoor.CodeUnreadableRecord:     http.StatusInternalServerError,
	flamingodoor.CodeFutureRecord:         http.StatusInternalServerError,
	flamingodoor.CodePermitDenied:         http.StatusServiceUnavailable,
	flamingodoor.CodeOrderRefused:         http.StatusBadGateway,
	flamingodoor.CodeNoMajority:           http.StatusServiceUnavailable,
	flamingodoor.CodeTrimmed:              http.StatusInternalServerError,
	flamingodoor.CodeStoreUnavailable:     http.StatusServiceUnavailable,
	flamingodoor.CodeInvalidSettings:      http.StatusUnprocessableEntity,
	flamingodoor.CodeProtocol:             http.StatusBadGateway,
}

// Status returns the HTTP status for a failure code.
func Status(code flamingodoor.Code) int {
	if status, ok := httpStatuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// failureBody is the body of an error response and of the last event of a stream
// that fails.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code      flamingodoor.Code     `json:"code"`
	Message   string                `json:"message"`
	RunState  flamingodoor.RunState `json:"run_state"`
	RequestID string                `json:"request_id"`
}

// writeError sends an error response, or an error event if the status has
// already been sent.
func (x *exchange) writeError(err error) {
	detail := failureDetail{
		Code: flamingodoor.CodeOf(err), Message: err.Error(),
		RunState: flamingodoor.RunStateOf(err), RequestID: x.requestID,
	}
	if detail.Code == flamingodoor.CodeInternal {
		detail.Message = "internal failure" // the details are logged
	}
	data, encodeErr := json.Marshal(failureBody{Error: detail})
	if encodeErr != nil {
		return
	}
	if x.statusSent {
		_, _ = fmt.Fprintf(x.writer, "data: %s\n\n", data)
		_ = http.NewResponseController(x.writer).Flush()
		return
	}
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("X-Run-State", detail.RunState.String())
	status := Status(detail.Code)
	if detail.RunState == flamingodoor.RunStateNotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		header.Set("Retry-After", "1")
	}
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(append(data, '\n'))
}
