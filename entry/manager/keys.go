package manager

// Keys of the key-value service.
const (
	// ControlPrefix is followed by every entry; its keys change rarely.
	ControlPrefix = "azurepoint/control/"
	// OwnerKey names the owner of the pools while its lease lasts.
	OwnerKey = ControlPrefix + "owner"
	// InboxPrefix marks jobs that an entry stored without the owner.
	InboxPrefix = ControlPrefix + "inbox/"
	// CancelPrefix marks jobs that an entry cancelled without the owner.
	CancelPrefix = ControlPrefix + "cancel/"
	// EntryPrefix names the entries and where the others reach them.
	EntryPrefix = ControlPrefix + "entries/"
	// TermKey counts the owners; its value is the fence of the last one.
	TermKey = "azurepoint/term"
	// endpointsKey holds the endpoints on which the owner may have started tasks.
	endpointsKey = "azurepoint/endpoints"
	jobPrefix    = "azurepoint/jobs/"
)

// JobKey returns the key of a job's record.
func JobKey(id string) string {
	return jobPrefix + id
}
