package cli

import (
	"github.com/azurepoint/azurepoint/azurepointd/internal/dispatch"
	"github.com/azurepoint/azurepoint/azurepointd/internal/operator"
)

// usageReporter provides the usage of the local dispatcher to the operators' API.
type usageReporter struct {
	dispatcher *dispatch.Dispatcher
	dataCentre string
}

// Usage returns the usage and the refusals of each member in the pools that this
// entry dispatches.
func (u usageReporter) Usage() (r operator.UsageReport) {
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
			for _, refused := range m.Refused {
				r.Refusals = append(r.Refusals, operator.Refusal{
					DataCentre: u.dataCentre,
					Pool:       p.Pool,
					Member:     m.Member,
					Reason:     string(refused.Reason),
					Count:      refused.Count,
				})
			}
		}
	}
	return r
}
