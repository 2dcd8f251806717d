package operator

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

const (
	// MaxBodyBytes fits the API's limit of 65,536 characters of text when each of
	// them is escaped as \uXXXX in JSON.
	MaxBodyBytes = 6*65536 + 4096
	// callRate and callBurst limit the calls per second with the correct secret;
	// 57,000 changes a day are less than one per second.
	callRate  = 20
	callBurst = 60
	// refusalLogRate limits the log lines per second about refused calls.
	refusalLogRate = 1
)

// Fleet gives access to the configuration in force at this entry.
type Fleet interface {
	// State returns the current state, which is never modified afterwards.
	State() *fleet.State
	// Propose writes the change to the change log and returns its result; after an
	// error the outcome is unknown.
	Propose(ctx context.Context, c fleet.Change) (result fleet.ChangeResult, err error)
	// Leaving reports whether the platform lists the instance as leaving.
	Leaving(instance string) bool
}

// Peers is the view of the other entries, each with the version in force there.
type Peers interface {
	Self() membership.Entry
	Live() []membership.Entry
	Remote(dataCentre string) []membership.Entry
	DataCentres() []string
}

// Part is a named component of the daemon that can dump its state as readable
// text.
type Part struct {
	Name   string
	Dumper interface{ Dump(w io.Writer) }
}

// Operator serves the API. Fleet, Peers, Usage and Secret must be set before use.
type Operator struct {
	Fleet Fleet
	Peers Peers
	Usage Usage
	// Secret is the bearer token that every call must carry. If it is empty, every
	// call is refused.
	Secret string
	Parts  []Part
	// Metrics defaults to the default registry of go-metrics.
	Metrics metrics.Registry

	once              sync.Once
	callLimiter       *rate.Limiter
	refusalLogLimiter *rate.Limiter
	apiMetrics        apiMetrics
}

// Handler returns the HTTP handler of the API.
func (o *Operator) Handler() (h http.Handler, err error) {
	o.init()
	server, err := operatorapi.NewServer(handler{o}, handler{o},
		operatorapi.WithErrorHandler(o.handleDecodeError))
	if err != nil {
		return nil, errors.Wrap(err, "operator")
	}
	return http.MaxBytesHandler(server, MaxBodyBytes), nil
}

func (o *Operator) init() {
	o.once.Do(func() {
		if o.Metrics == nil {
			o.Metrics = metrics.DefaultRegistry
		}
		o.callLimiter = rate.NewLimiter(callRate, callBurst)
		o.refusalLogLimiter = rate.NewLimiter(refusalLogRate, 1)
		o.apiMetrics = newAPIMetrics(o.Metrics)
	})
}

// handler implements the generated interfaces, so that their methods are not part
// of the exported API of Operator.
type handler struct {
	*Operator
}

// GetChange returns the result of a change as known at this entry.
func (h handler) GetChange(_ context.Context, p operatorapi.GetChangeParams) (f *operatorapi.ChangeFate, err error) {
	return new(h.lookUpChange(h.Fleet.State(), p.ID)), nil
}

// NewError converts an error to the error response that the API defines.
func (h handler) NewError(_ context.Context, err error) (answer *operatorapi.ErrorStatusCode) {
	if errors.As(err, &answer) {
		return answer
	}
	if _, denied := errors.Into[*ogenerrors.SecurityError](err); denied {
		return newStatusError(http.StatusUnauthorized, "the secret is missing or wrong")
	}
	event.OperatorCallFailed.Log(log.Fields{"error": err.Error()})
	return newStatusError(http.StatusInternalServerError, err.Error())
}

func newStatusError(code int, message string) *operatorapi.ErrorStatusCode {
	return &operatorapi.ErrorStatusCode{StatusCode: code, Response: operatorapi.Error{Message: message}}
}

// handleDecodeError responds to a call that cannot be decoded.
func (o *Operator) handleDecodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	code := ogenerrors.ErrorCode(err)
	if _, tooLarge := errors.Into[*http.MaxBytesError](err); tooLarge {
		code = http.StatusRequestEntityTooLarge
	}
	text, marshalErr := (&operatorapi.Error{Message: err.Error()}).MarshalJSON()
	if marshalErr != nil {
		text = nil
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(code)
	if _, err = w.Write(text); err != nil {
		event.OperatorCallFailed.Log(log.Fields{"error": err.Error()})
	}
}

// apiMetrics holds the metrics of the operators' API.
type apiMetrics struct {
	queries metrics.Counter
	applied metrics.Counter
	refused metrics.Counter
	unknown metrics.Counter
	denied  metrics.Counter
	limited metrics.Counter
	propose metrics.Timer
}

func newAPIMetrics(r metrics.Registry) (m apiMetrics) {
	return apiMetrics{
		queries: metrics.GetOrRegisterCounter("operator.queries", r),
		applied: metrics.GetOrRegisterCounter("operator.changesApplied", r),
		refused: metrics.GetOrRegisterCounter("operator.changesRefused", r),
		unknown: metrics.GetOrRegisterCounter("operator.changesUnknown", r),
		denied:  metrics.GetOrRegisterCounter("operator.callsDenied", r),
		limited: metrics.GetOrRegisterCounter("operator.callsLimited", r),
		propose: metrics.GetOrRegisterTimer("operator.propose", r),
	}
}

// utcNow returns the current time in UTC, as recorded in changes and dumps.
func utcNow() time.Time {
	return time.Now().UTC()
}
