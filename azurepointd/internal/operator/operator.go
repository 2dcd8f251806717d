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
	// maxBodyBytes holds 65,536 characters of text, the limit of the API, when
	// each is escaped as \uXXXX in JSON.
	maxBodyBytes = 6*65536 + 4096
	// callRate and callBurst bound the calls a second with the right secret;
	// 57,000 changes a day are fewer than one a second.
	callRate  = 20
	callBurst = 60
	// refusalLogRate bounds the log entries a second about refused calls.
	refusalLogRate = 1
)

// Fleet is the configuration in force at this entry.
type Fleet interface {
	// State is never modified after it is returned.
	State() *fleet.State
	// Propose writes the change to the log; an error leaves its outcome unknown.
	Propose(ctx context.Context, c fleet.Change) (fate fleet.Fate, err error)
	// Leaving tells whether the platform's list says that the instance leaves.
	Leaving(instance string) bool
}

// Peers is the view of the other entries; each entry carries the version that
// is in force there.
type Peers interface {
	Self() membership.Entry
	Live() []membership.Entry
	Remote(dataCentre string) []membership.Entry
	DataCentres() []string
}

// Part is a part of the daemon that can write its state as readable text.
type Part struct {
	Name   string
	Dumper interface{ Dump(w io.Writer) }
}

// Operator serves the API; it is ready once the fields of its needs are set.
type Operator struct {
	Fleet Fleet
	Peers Peers
	Usage Usage
	// Secret is what every call carries as bearer token; without one, every
	// call is refused.
	Secret string
	Parts  []Part
	// Metrics is the default registry of go-metrics if nil.
	Metrics metrics.Registry

	once     sync.Once
	calls    *rate.Limiter
	refusals *rate.Limiter
	counts   counts
}

// Handler returns the HTTP handler of the API.
func (o *Operator) Handler() (h http.Handler, err error) {
	o.init()
	server, err := operatorapi.NewServer(handler{o}, handler{o},
		operatorapi.WithErrorHandler(o.writeError))
	if err != nil {
		return nil, errors.Wrap(err, "operator")
	}
	return http.MaxBytesHandler(server, maxBodyBytes), nil
}

func (o *Operator) init() {
	o.once.Do(func() {
		if o.Metrics == nil {
			o.Metrics = metrics.DefaultRegistry
		}
		o.calls = rate.NewLimiter(callRate, callBurst)
		o.refusals = rate.NewLimiter(refusalLogRate, 1)
		o.counts = newCounts(o.Metrics)
	})
}

// handler has the methods of the generated interfaces, which are not part of
// what Operator offers to the daemon.
type handler struct {
	*Operator
}

// GetChange returns the fate of a change as far as this entry knows it.
func (h handler) GetChange(_ context.Context, p operatorapi.GetChangeParams) (f *operatorapi.ChangeFate, err error) {
	return new(h.fateOf(h.Fleet.State(), p.ID)), nil
}

// NewError turns an error into the answer that the API describes.
func (h handler) NewError(_ context.Context, err error) (answer *operatorapi.ErrorStatusCode) {
	if errors.As(err, &answer) {
		return answer
	}
	if _, denied := errors.Into[*ogenerrors.SecurityError](err); denied {
		return failure(http.StatusUnauthorized, "the secret is missing or wrong")
	}
	event.OperatorFailed.Log(log.Fields{"error": err.Error()})
	return failure(http.StatusInternalServerError, err.Error())
}

func failure(code int, message string) *operatorapi.ErrorStatusCode {
	return &operatorapi.ErrorStatusCode{StatusCode: code, Response: operatorapi.Error{Message: message}}
}

// writeError answers a call that cannot be decoded.
func (o *Operator) writeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
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
		event.OperatorFailed.Log(log.Fields{"error": err.Error()})
	}
}

// counts are the metrics of this package.
type counts struct {
	queries metrics.Counter
	applied metrics.Counter
	refused metrics.Counter
	unknown metrics.Counter
	denied  metrics.Counter
	limited metrics.Counter
	propose metrics.Timer
}

func newCounts(r metrics.Registry) (c counts) {
	return counts{
		queries: metrics.GetOrRegisterCounter("operator.queries", r),
		applied: metrics.GetOrRegisterCounter("operator.changesApplied", r),
		refused: metrics.GetOrRegisterCounter("operator.changesRefused", r),
		unknown: metrics.GetOrRegisterCounter("operator.changesUnknown", r),
		denied:  metrics.GetOrRegisterCounter("operator.callsDenied", r),
		limited: metrics.GetOrRegisterCounter("operator.callsLimited", r),
		propose: metrics.GetOrRegisterTimer("operator.propose", r),
	}
}

// now is the time that changes carry.
func now() time.Time {
	return time.Now().UTC()
}
