package schedule

import "github.com/azurepoint/azurepoint/coordination/organisation"

// SetOrganisations sets the terms of the organisations by the newest configuration. Jobs
// of an organisation that is not among them have no limit and no share of their own.
func (s *Scheduler) SetOrganisations(terms []organisation.Terms) {
	s.organisationTerms = terms
}
