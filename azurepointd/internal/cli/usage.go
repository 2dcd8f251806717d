package cli

import (
	"github.com/azurepoint/azurepoint/azurepointd/internal/dispatch"
	"github.com/azurepoint/azurepoint/azurepointd/internal/operator"
)

// usage shows operators what the dispatcher of this entry knows.
type usage struct {
	dispatcher *dispatch.Dispatcher
	dataCentre string
}

// Usage returns who takes what of the pools that this entry dispatches.
func (u usage) Usage() (r operator.UsageReport) {
	for _, p := range u.dispatcher.Usage() {
		for _, m := range p.Members {
			r.Uses = append(r.Uses, operator.Use{
				DataCentre: u.dataCentre,
				Pool:       p.Pool,
				Member:     m.Member,
				InUse:      m.InUse,
				Share:      int(m.Share),
				Cap:        m.Cap,
				Queued:     m.Queued,
				Granted:    m.Granted,
			})
			for _, c := range m.Refused {
				r.Refusals = append(r.Refusals, operator.Refusal{
					DataCentre: u.dataCentre,
					Pool:       p.Pool,
					Member:     m.Member,
					Reason:     string(c.Reason),
					Count:      c.Count,
				})
			}
		}
	}
	return r
}
