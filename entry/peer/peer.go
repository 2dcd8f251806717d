package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/jobsrpc"
	"github.com/azurepoint/azurepoint/coordination/input"
	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/client"
	"github.com/azurepoint/azurepoint/entry/manager"
)

// MaxMessageBytes bounds a request body; a job's description has at most 4,000 bytes
// and each of its steps a few hundred.
const MaxMessageBytes = 1 << 20

// Limits of connections to the owner.
const (
	// dialTimeout bounds a new connection; entries are a few milliseconds apart.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnsPerOwner keeps enough idle connections for a burst of callers.
	maxIdleConnsPerOwner = 32
	// idleTimeout closes idle connections, for example to previous owners.
	idleTimeout = 30 * time.Second
)

// busyRetryDelay is when a caller may return whose job the owner has no memory to read.
const busyRetryDelay = time.Second

// ErrNotSent means that no connection was established, so the owner has not received
// the request.
var ErrNotSent = errors.New("peer: connection to the owner failed")

// Owner handles requests of other entries. Its owner results are false if this entry
// does not own the pools.
type Owner interface {
	Submit(ctx context.Context, j job.Job, until time.Time) (r manager.Reply)
	State(id string, caller job.Caller) (state job.State, known, owner bool)
	Cancel(ctx context.Context, id string, caller job.Caller) (state job.State, known, owner bool)
	Pending(queue string) (count int, owner bool)
	// Current returns the owner as observed by this entry.
	Current() OwnerView
	// MayTakeOver reports whether this entry may take over from the owner whose key has a
	// revision, and the reason if it may not.
	MayTakeOver(ctx context.Context, revision int64) (reason string, may bool)
	// TakeOver claims the pools from an owner that has stopped.
	TakeOver(ctx context.Context, h Handover) (r HandoverReply)
}

// OwnerView is the owner of the pools as observed by an entry.
type OwnerView struct {
	// Record is the stored value of the owner's key and Revision its revision;
	// Revision is 0 if no owner is known.
	Record   []byte
	Revision int64
	// Serving reports whether the entry itself owns the pools with a confirmed lease.
	Serving bool
}

// Handler serves requests of other entries.
func Handler(o Owner) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", jobsrpc.NewOwnerServer(handler{o}))
	mux.HandleFunc("POST "+mayTakeOverPath, handler{o}.mayTakeOver)
	mux.HandleFunc("POST "+takeOverPath, handler{o}.takeOver)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxMessageBytes)
		mux.ServeHTTP(w, r)
	})
}

// handler converts between the wire messages and an Owner.
type handler struct {
	owner Owner
}

// Submit stores a job, if this entry is the owner.
func (h handler) Submit(ctx context.Context, r *jobsrpc.SubmitRequest) (*jobsrpc.SubmitReply, error) {
	if err := client.Hold(ctx, client.DecodedBytes(r.Job)); err != nil {
		return &jobsrpc.SubmitReply{Outcome: jobsrpc.Outcome(manager.Refused), RetryAfterMillis: busyRetryDelay.Milliseconds(), Reason: "owner: " + err.Error()}, nil
	}
	var j job.Job
	if err := json.Unmarshal(r.Job, &j); err != nil {
		return nil, errors.Wrap(err, "peer: decode job")
	}
	j.Bound()
	reply := h.owner.Submit(ctx, j, time.UnixMilli(r.UntilUnixMillis))
	return &jobsrpc.SubmitReply{
		Outcome: jobsrpc.Outcome(reply.Outcome), RetryAfterMillis: reply.RetryAfter.Milliseconds(), Reason: reply.Reason,
	}, nil
}

// State returns the state of a job.
func (h handler) State(_ context.Context, r *jobsrpc.JobRequest) (*jobsrpc.StateReply, error) {
	state, known, owner := h.owner.State(r.Id, callerOf(r))
	return &jobsrpc.StateReply{Owner: owner, Known: known, State: string(state)}, nil
}

// Cancel cancels a job and returns its state, if this entry is the owner.
func (h handler) Cancel(ctx context.Context, r *jobsrpc.JobRequest) (*jobsrpc.StateReply, error) {
	state, known, owner := h.owner.Cancel(ctx, r.Id, callerOf(r))
	return &jobsrpc.StateReply{Owner: owner, Known: known, State: string(state)}, nil
}

func callerOf(r *jobsrpc.JobRequest) job.Caller {
	return job.Caller{Organisation: r.Organisation, Identified: r.Identified}
}

func jobRequest(id string, caller job.Caller) *jobsrpc.JobRequest {
	return &jobsrpc.JobRequest{Id: id, Organisation: caller.Organisation, Identified: caller.Identified}
}

// Pending returns the number of jobs of a queue that have not started.
func (h handler) Pending(_ context.Context, r *jobsrpc.QueueRequest) (*jobsrpc.PendingReply, error) {
	count, owner := h.owner.Pending(r.Queue)
	return &jobsrpc.PendingReply{Owner: owner, Pending: int64(count)}, nil
}

// Current returns the owner of the pools as observed by this entry.
func (h handler) Current(context.Context, *jobsrpc.CurrentRequest) (*jobsrpc.CurrentReply, error) {
	v := h.owner.Current()
	return &jobsrpc.CurrentReply{Record: v.Record, Revision: v.Revision, Serving: v.Serving}, nil
}

// Client calls other entries; use NewClient to create one.
type Client struct {
	http *http.Client
}

// NewClient returns a client that reuses connections.
func NewClient() *Client {
	return NewBoundedClient(0)
}

// NewBoundedClient returns a client that opens at most a number of connections to an entry; 0 means any number.
func NewBoundedClient(connections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerOwner, MaxConnsPerHost: connections, IdleConnTimeout: idleTimeout,
	}}}
}

func (c *Client) ownerClient(address string) jobsrpc.Owner {
	return jobsrpc.NewOwnerProtobufClient("http://"+address, c.http)
}

// Submit sends a job to the owner.
func (c *Client) Submit(ctx context.Context, address string, j job.Job, until time.Time) (r manager.Reply, err error) {
	value, err := json.Marshal(&j)
	if err != nil {
		return manager.Reply{}, errors.Wrap(ErrNotSent, err.Error())
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	reply, err := c.ownerClient(address).Submit(ctx, &jobsrpc.SubmitRequest{Job: value, UntilUnixMillis: until.UnixMilli()})
	if err != nil && !connected.Load() {
		// The dial failed, or the context ended before it.
		return manager.Reply{}, errors.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return manager.Reply{}, errors.Wrap(err, "peer: submit")
	}
	if _, known := jobsrpc.Outcome_name[int32(reply.Outcome)]; !known {
		return manager.Reply{}, errors.Errorf("peer: submit: unknown outcome %d", reply.Outcome)
	}
	return manager.Reply{
		Outcome: manager.Outcome(reply.Outcome), RetryAfter: input.Milliseconds(float64(reply.RetryAfterMillis)), Reason: reply.Reason,
	}, nil
}

// State requests the state of a job from the owner.
func (c *Client) State(ctx context.Context, address, id string, caller job.Caller) (state job.State, known, owner bool, err error) {
	reply, err := c.ownerClient(address).State(ctx, jobRequest(id, caller))
	if err != nil {
		return "", false, false, errors.Wrap(err, "peer: state")
	}
	return job.State(reply.State), reply.Known, reply.Owner, nil
}

// Cancel requests the owner to cancel a job.
func (c *Client) Cancel(ctx context.Context, address, id string, caller job.Caller) (state job.State, known, owner bool, err error) {
	reply, err := c.ownerClient(address).Cancel(ctx, jobRequest(id, caller))
	if err != nil {
		return "", false, false, errors.Wrap(err, "peer: cancel")
	}
	return job.State(reply.State), reply.Known, reply.Owner, nil
}

// Pending requests from the owner how many jobs of a queue have not started.
func (c *Client) Pending(ctx context.Context, address, queue string) (count int64, owner bool, err error) {
	reply, err := c.ownerClient(address).Pending(ctx, &jobsrpc.QueueRequest{Queue: queue})
	if err != nil {
		return 0, false, errors.Wrap(err, "peer: pending")
	}
	return reply.Pending, reply.Owner, nil
}

// Current requests the owner of the pools as observed by another entry.
func (c *Client) Current(ctx context.Context, address string) (v OwnerView, err error) {
	reply, err := c.ownerClient(address).Current(ctx, &jobsrpc.CurrentRequest{})
	if err != nil {
		return OwnerView{}, errors.Wrap(err, "peer: current owner")
	}
	return OwnerView{Record: reply.Record, Revision: reply.Revision, Serving: reply.Serving}, nil
}
