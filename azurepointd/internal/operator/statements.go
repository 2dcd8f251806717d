package operator

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/command"
)

// RunStatements answers queries with tables, or proposes the commands as one
// change and answers with its fate.
func (h handler) RunStatements(ctx context.Context, r *operatorapi.Statements) (reply *operatorapi.Reply, err error) {
	text, err := command.Parse(r.Text)
	if err != nil {
		return nil, syntax(err)
	}
	switch {
	case len(text.Queries) > 0:
		return h.answer(text.Queries)
	case len(text.Commands) > 0:
		return h.change(ctx, r, text)
	}
	return nil, failure(http.StatusBadRequest, "the text has no statement")
}

// syntax puts the place of the wrong word into the fields of the answer.
func syntax(err error) *operatorapi.ErrorStatusCode {
	answer := failure(http.StatusBadRequest, err.Error())
	if e, found := errors.Into[*command.SyntaxError](err); found {
		answer.Response.Line.SetTo(e.Line)
		answer.Response.Column.SetTo(e.Column)
		answer.Response.Word.SetTo(e.Word)
		answer.Response.Expected.SetTo(e.Expected)
	}
	return answer
}

func (h handler) answer(queries []command.Query) (reply *operatorapi.Reply, err error) {
	h.counts.queries.Inc(int64(len(queries)))
	s := h.Fleet.State()
	reply = &operatorapi.Reply{Version: s.Version}
	for _, q := range queries {
		tables, err := h.tables(s, q)
		if err != nil {
			return nil, failure(http.StatusNotFound, err.Error())
		}
		reply.Tables = append(reply.Tables, tables...)
	}
	return reply, nil
}
