package organisation

import "github.com/azurepoint/azurepoint/coordination/job"

// Terms are what the operators' configuration grants an organisation.
type Terms struct {
	Name string
	// Weight is the organisation's share of full pools relative to the others, and the
	// jobs a second that it is entitled to submit; 0 means an equal share and no rate.
	Weight float64
	// Limit is the most that the organisation may have running in all pools; a resource of
	// which it names 0 has no limit.
	Limit job.Capacity
}

// Admit reports whether an amount is within the limit.
func (t Terms) Admit(c job.Capacity) bool {
	return within(t.Limit, c)
}
