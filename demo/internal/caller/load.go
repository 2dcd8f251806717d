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

// Record is what one caller was told of its request.
type Record struct {
	Kind    Kind
	Key     string
	Payload string
	// State is the last outcome that the caller was told.
	State  callerapi.OutcomeState
	Reason string
	Answer string
	// Entries are the addresses asked, in order.
	Entries []string
}

// Load sends requests to the entries in turn, as callers behind a balancer do.
type Load struct {
	Entries []string
	Kinds   []Kind
	// Deadline is how long each caller waits for its request.
	Deadline time.Duration

	mu      sync.Mutex
	clients map[string]*callerapi.Client
}

// Send runs count requests, at most parallel at once, and returns their records.
func (l *Load) Send(ctx context.Context, first, count, parallel int) (records []Record) {
	records = make([]Record, count)
	places := make(chan int)
	var callers sync.WaitGroup
	for range parallel {
		callers.Go(func() {
			for i := range places {
				records[i] = l.request(ctx, first+i)
			}
		})
	}
	for i := range count {
		places <- i
	}
	close(places)
	callers.Wait()
	return records
}

// request gets a key and sends one request; a caller whose entry fails asks the
// next entries with the same key, as the contract allows.
func (l *Load) request(ctx context.Context, number int) (r Record) {
	r.Kind = l.Kinds[number%len(l.Kinds)]
	r.Payload = fmt.Sprintf("request-%d", number)
	ctx, cancel := context.WithTimeout(ctx, 2*l.Deadline)
	defer cancel()
	deadline := time.Now().Add(l.Deadline)
	order := callerapi.KeyOrder{Pool: r.Kind.Pool}
	place := number % len(l.Entries)
	for attempt := 0; r.Key == ""; attempt++ {
		if attempt == 2*len(l.Entries) {
			r.State, r.Reason = callerapi.OutcomeStateNotRun, "no entry issued a key"
			return r
		}
		client, err := l.client(l.Entries[(place+attempt)%len(l.Entries)])
		if err != nil {
			continue
		}
		keys, err := client.IssueKeys(ctx, &order)
		if err == nil && len(keys.Keys) == 1 {
			r.Key = keys.Keys[0]
			place += attempt
		}
	}
	l.submit(ctx, &r, place, deadline)
	return r
}

func (l *Load) submit(ctx context.Context, r *Record, place int, deadline time.Time) {
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
		address := l.Entries[(place+attempt)%len(l.Entries)]
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

func (l *Load) client(address string) (client *callerapi.Client, err error) {
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
