package caller

import "github.com/rcrowley/go-metrics"

// Metrics of the default registry.
var (
	countKeys        = metrics.GetOrRegisterCounter("caller.keys", nil)
	countSubmissions = metrics.GetOrRegisterCounter("caller.submissions", nil)
	countRefused     = metrics.GetOrRegisterCounter("caller.refused", nil)
	countBackupCalls = metrics.GetOrRegisterCounter("caller.askedBackup", nil)
	countUnknown     = metrics.GetOrRegisterCounter("caller.unknown", nil)
)
