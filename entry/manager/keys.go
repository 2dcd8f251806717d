package manager

// Keys in the key-value service.
const (
	// ControlPrefix is the prefix that every entry watches; its keys change rarely.
	ControlPrefix = "azurepoint/control/"
	// OwnerKey holds the record of the pools' owner; it is attached to the owner's
	// lease.
	OwnerKey = ControlPrefix + "owner"
	// InboxPrefix marks jobs that an entry stored without the owner.
	InboxPrefix = ControlPrefix + "inbox/"
	// CancelPrefix marks jobs that an entry cancelled without the owner.
	CancelPrefix = ControlPrefix + "cancel/"
	// EntryPrefix holds the registered entries with their addresses.
	EntryPrefix = ControlPrefix + "entries/"
	// TermKey counts the terms; its value is the fencing token of the latest owner.
	TermKey = "azurepoint/term"
	// ConfinementKey holds since which term all owners have kept the tasks of confined jobs
	// in their data centres. It begins with TermKey, so that a claim reads both at once.
	ConfinementKey = TermKey + "/confinement"
	// endpointsPrefix is the prefix of the endpoints on which the owner may have started
	// tasks, in groups. Earlier releases stored all of them under the prefix itself.
	endpointsPrefix = "azurepoint/endpoints"
	jobPrefix       = "azurepoint/jobs/"
)

// JobKey returns the key of a job's record.
func JobKey(id string) string {
	return jobPrefix + id
}
