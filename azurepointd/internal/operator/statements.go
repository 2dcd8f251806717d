package operator

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/command"
)

// RunStatements returns tables for queries, or proposes the commands as one change
// and returns its result.
func (h handler) RunStatements(ctx context.Context, r *operatorapi.Statements) (reply *operatorapi.Reply, err error) {
	text, err := command.Parse(r.Text)
	if err != nil {
		return nil, newSyntaxError(err)
	}
	switch {
	case len(text.Queries) > 0:
		return h.runQueries(text.Queries)
	case len(text.Commands) > 0:
		return h.runCommands(ctx, r, text)
	}
	return nil, newStatusError(http.StatusBadRequest, "the text has no statement")
}

// newSyntaxError returns an error response with the position of the syntax error
// and the expected words.
func newSyntaxError(err error) *operatorapi.ErrorStatusCode {
	statusErr := newStatusError(http.StatusBadRequest, err.Error())
	if e, found := errors.Into[*command.SyntaxError](err); found {
		statusErr.Response.Line.SetTo(e.Line)
		statusErr.Response.Column.SetTo(e.Column)
		statusErr.Response.Word.SetTo(e.Word)
		statusErr.Response.Expected.SetTo(e.Expected)
	}
	return statusErr
}

func (h handler) runQueries(queries []command.Query) (reply *operatorapi.Reply, err error) {
	h.apiMetrics.queries.Inc(int64(len(queries)))
	s := h.Fleet.State()
	reply = &operatorapi.Reply{Version: s.Version}
	for _, q := range queries {
		tables, err := h.queryTables(s, q)
		if err != nil {
			return nil, newStatusError(http.StatusNotFound, err.Error())
		}
		reply.Tables = append(reply.Tables, tables...)
	}
	return reply, nil
}
