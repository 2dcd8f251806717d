package caller

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/callerapi"
)

// Kind is one kind of request that the demo sends.
type Kind struct {
	Member     string
	Pool       string
	Urgency    callerapi.Urgency
	Repeatable bool
	RunMillis  int
}

// Record is the outcome of one request as its caller received it.
type Record struct {
	Kind    Kind
	Key     string
	Payload string
	// State is the last outcome that the caller received.
	State  callerapi.OutcomeState
	Reason string
	Answer string
	// Entries are the addresses of the entries that were called, in order.
	Entries []string
}

// LoadGenerator sends requests to the entries in turn, like callers behind a load
// balancer.
type LoadGenerator struct {
	Entries []string
	Kinds   []Kind
	// Deadline is how long each caller waits for its request.
	Deadline time.Duration

	mu      sync.Mutex
	clients map[string]*callerapi.Client
}

// Send runs count requests, at most parallel at once, and returns their records.
func (l *LoadGenerator) Send(ctx context.Context, first, count, parallel int) (records []Record) {
	records = make([]Record, count)
	indexes := make(chan int)
	var callers sync.WaitGroup
	for range parallel {
		callers.Go(func() {
			for i := range indexes {
				records[i] = l.request(ctx, first+i)
			}
		})
	}
	for i := range count {
		indexes <- i
	}
	close(indexes)
	callers.Wait()
	return records
}

// request gets a key and sends one request. If an entry fails, it sends the
// request with the same key to the next entries, which the API allows.
func (l *LoadGenerator) request(ctx context.Context, number int) (r Record) {
	r.Kind = l.Kinds[number%len(l.Kinds)]
	r.Payload = fmt.Sprintf("request-%d", number)
	ctx, cancel := context.WithTimeout(ctx, 2*l.Deadline)
	defer cancel()
	deadline := time.Now().Add(l.Deadline)
	order := callerapi.KeyOrder{Pool: r.Kind.Pool}
	firstEntry := number % len(l.Entries)
	for attempt := 0; r.Key == ""; attempt++ {
		if attempt == 2*len(l.Entries) {
			r.State, r.Reason = callerapi.OutcomeStateNotRun, "no entry issued a key"
			return r
		}
		client, err := l.client(l.Entries[(firstEntry+attempt)%len(l.Entries)])
		if err != nil {
			continue
		}
		keys, err := client.IssueKeys(ctx, &order)
		if err == nil && len(keys.Keys) == 1 {
			r.Key = keys.Keys[0]
			firstEntry += attempt
		}
	}
	l.submit(ctx, &r, firstEntry, deadline)
	return r
}

func (l *LoadGenerator) submit(ctx context.Context, r *Record, firstEntry int, deadline time.Time) {
	submission := callerapi.Submission{
		Key:        r.Key,
		Member:     r.Kind.Member,
		Pool:       r.Kind.Pool,
		Urgency:    callerapi.NewOptUrgency(r.Kind.Urgency),
		Repeatable: callerapi.NewOptBool(r.Kind.Repeatable),
		Deadline:   deadline,
		RunMillis:  callerapi.NewOptInt(r.Kind.RunMillis),
		Payload:    callerapi.NewOptString(r.Payload),
	}
	r.State, r.Reason = callerapi.OutcomeStateUnknown, "no entry answered"
	for attempt := range 2 * len(l.Entries) {
		address := l.Entries[(firstEntry+attempt)%len(l.Entries)]
		r.Entries = append(r.Entries, address)
		client, err := l.client(address)
		if err != nil {
			continue
		}
		outcome, err := client.SubmitRequest(ctx, &submission)
		var refusal *callerapi.ErrorStatusCode
		if errors.As(err, &refusal) {
			r.State, r.Reason = callerapi.OutcomeStateNotRun, refusal.Response.Message
			return
		}
		if err == nil {
			r.State, r.Reason, r.Answer = outcome.State, outcome.Reason.Value, outcome.Answer.Value
			if r.State != callerapi.OutcomeStatePending {
				return
			}
		}
	}
}

func (l *LoadGenerator) client(address string) (client *callerapi.Client, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if client = l.clients[address]; client != nil {
		return client, nil
	}
	client, err = callerapi.NewClient("http://"+address, callerapi.WithClient(&http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}))
	if err != nil {
		return nil, errors.Wrapf(err, "caller: client of %s", address)
	}
	if l.clients == nil {
		l.clients = make(map[string]*callerapi.Client)
	}
	l.clients[address] = client
	return client, nil
}
