package worker

import (
	"fmt"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// RefusalError is the error of a refused call, which has changed nothing.
type RefusalError struct {
	Code    endpointapi.RefusalCode
	Message string
}

// Error returns the code and the message.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("worker: %s: %s", r.Code, r.Message)
}

func refusalf(code endpointapi.RefusalCode, format string, arguments ...any) error {
	return &RefusalError{Code: code, Message: fmt.Sprintf(format, arguments...)}
}
