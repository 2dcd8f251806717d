package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"github.com/azurepoint/azurepoint/api/callerapi"
)

// NewServer returns the HTTP handler of the callers' API.
func NewServer(h *Handler) (server http.Handler, err error) {
	server, err = callerapi.NewServer(h, callerapi.WithErrorHandler(writeMalformedError))
	if err != nil {
		return nil, errors.Wrap(err, "caller: serve the callers' API")
	}
	return server, nil
}

// NewError converts an error without a field into a response with status 500.
func (h *Handler) NewError(_ context.Context, err error) *callerapi.ErrorStatusCode {
	return refusef(http.StatusInternalServerError, "", "%v", err)
}

func refusef(status int, field, format string, arguments ...any) *callerapi.ErrorStatusCode {
	countRefused.Inc(1)
	e := callerapi.Error{Message: fmt.Sprintf(format, arguments...)}
	if field != "" {
		e.Field = callerapi.NewOptString(field)
	}
	return &callerapi.ErrorStatusCode{StatusCode: status, Response: e}
}

// writeMalformedError answers a call that does not match the API schema.
func writeMalformedError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	refusal := refusef(ogenerrors.ErrorCode(err), fieldFromError(err), "%v", err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.StatusCode)
	_ = json.NewEncoder(w).Encode(&refusal.Response)
}

// decodeFieldPattern extracts the field name from an error message of the JSON
// decoder, which has no error type for it.
var decodeFieldPattern = regexp.MustCompile(`decode field "(\w+)"`)

// fieldFromError returns the first field that an error of the generated code
// concerns, or an empty string.
func fieldFromError(err error) (field string) {
	var invalid *validate.Error
	var parameter *ogenerrors.DecodeParamError
	switch {
	case errors.As(err, &parameter):
		return parameter.Name
	case errors.As(err, &invalid) && len(invalid.Fields) > 0:
		return invalid.Fields[0].Name
	}
	if match := decodeFieldPattern.FindStringSubmatch(err.Error()); match != nil {
		return match[1]
	}
	if strings.Contains(err.Error(), validate.ErrBodyRequired.Error()) {
		return "body"
	}
	return ""
}
