package job

// Caller is who sends a request about a job. The zero value is a caller of an entry that does not
// identify its callers, which may read any job.
type Caller struct {
	// Organisation is the organisation of the caller's key; empty if it needed none.
	Organisation string
	// Identified is set if the entry has checked the key.
	Identified bool
}

// MayBeSameJob reports whether two submissions with one identifier may be of the same job,
// given their organisations. One without an organisation may have been sent before the
// entries identified callers.
func MayBeSameJob(organisation, other string) bool {
	return organisation == "" || other == "" || organisation == other
}

// MaySee reports whether the caller may read a job of an organisation. A job without
// an organisation is open to all callers.
func (c Caller) MaySee(organisation string) bool {
	return !c.Identified || organisation == "" || organisation == c.Organisation
}
