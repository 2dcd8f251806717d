package operator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
)

// callTimeout bounds one call; a call with a change returns once the change is in
// force.
const callTimeout = 10 * time.Second

// Client sends a call to one entry after another until one answers.
type Client struct {
	Entries []string
	Secret  string
}

// bearerSecret gives the bearer token to the generated client.
type bearerSecret string

// Secret returns the bearer token of an operator.
func (s bearerSecret) Secret(context.Context, operatorapi.OperationName) (operatorapi.Secret, error) {
	return operatorapi.Secret{Token: string(s)}, nil
}

// Run runs statements under an identifier, so that a retry at the next entry after
// a lost response cannot apply a change twice.
func (c *Client) Run(ctx context.Context, id, text string) (reply *operatorapi.Reply, err error) {
	request := &operatorapi.Statements{
		Text:   text,
		ID:     operatorapi.NewOptString(id),
		Author: operatorapi.NewOptString("demo"),
	}
	for _, address := range c.Entries {
		reply, err = c.runAt(ctx, address, request)
		var refusal *operatorapi.ErrorStatusCode
		if err == nil || errors.As(err, &refusal) {
			break
		}
	}
	if err != nil {
		return nil, errors.Wrapf(err, "operator: %q", text)
	}
	if result, set := reply.Change.Get(); set && result.State != operatorapi.ChangeStateApplied {
		return reply, fmt.Errorf("operator: %q is %s: %s", text, result.State, result.Reason.Value)
	}
	return reply, nil
}

func (c *Client) runAt(ctx context.Context, address string, request *operatorapi.Statements) (reply *operatorapi.Reply, err error) {
	client, err := operatorapi.NewClient("http://"+address, bearerSecret(c.Secret),
		operatorapi.WithClient(&http.Client{Timeout: callTimeout}))
	if err != nil {
		return nil, err
	}
	return client.RunStatements(ctx, request)
}

// Cell returns the cell in a column of the first row whose first cell is name, in
// any table that has the column.
func Cell(reply *operatorapi.Reply, name, column string) (cell string, found bool) {
	for _, t := range reply.Tables {
		for _, r := range t.Rows {
			if len(r.Cells) == 0 || r.Cells[0] != name {
				continue
			}
			for i, title := range t.Columns {
				if title == column && i < len(r.Cells) {
					return r.Cells[i], true
				}
			}
		}
	}
	return "", false
}

// Metrics returns the metrics of one entry.
func (c *Client) Metrics(ctx context.Context, address string) (m operatorapi.Metrics, err error) {
	client, err := operatorapi.NewClient("http://"+address, bearerSecret(c.Secret),
		operatorapi.WithClient(&http.Client{Timeout: callTimeout}))
	if err != nil {
		return nil, err
	}
	if m, err = client.ListMetrics(ctx); err != nil {
		return nil, errors.Wrapf(err, "operator: metrics of %s", address)
	}
	return m, nil
}
