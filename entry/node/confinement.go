package node

import (
	"encoding/json"
	"strconv"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// confinementRecord is the value of manager.ConfinementKey. Every owner writes it with its
// claim; one of an earlier release does not, so that Term is not the latest term.
type confinementRecord struct {
	Since int64 `json:"since"`
	Term  int64 `json:"term"`
}

// nextTerm returns the number of the next term and the revision of the previous one, by the
// keys that begin with manager.TermKey, and the first term from which on all owners have kept
// the tasks of confined jobs in their data centres.
func nextTerm(items []store.Item) (number, revision, confinedSince int64, err error) {
	var c confinementRecord
	for _, i := range items {
		switch i.Key {
		case manager.TermKey:
			revision = i.Revision
			if number, err = strconv.ParseInt(string(i.Value), 10, 64); err != nil {
				return 0, 0, 0, err
			}
		case manager.ConfinementKey:
			if e := json.Unmarshal(i.Value, &c); e != nil {
				event.RecordInvalid.Log(log.Fields{"key": i.Key, "error": e.Error()})
				c = confinementRecord{}
			}
		}
	}
	if c.Term == number && c.Since > 0 {
		return number + 1, revision, c.Since, nil
	}
	return number + 1, revision, number + 1, nil
}
