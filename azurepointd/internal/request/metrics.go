package request

import (
	"github.com/rcrowley/go-metrics"

	"github.com/azurepoint/azurepoint/coordination/register"
)

// Metrics in the default registry.
var (
	countDone             = metrics.GetOrRegisterCounter("home.done", nil)
	countNotRun           = metrics.GetOrRegisterCounter("home.notRun", nil)
	countUnknown          = metrics.GetOrRegisterCounter("home.unknown", nil)
	countCancelled        = metrics.GetOrRegisterCounter("home.cancelled", nil)
	countRetries          = metrics.GetOrRegisterCounter("home.retries", nil)
	countRetriesRefused   = metrics.GetOrRegisterCounter("home.retriesRefused", nil)
	countClaims           = metrics.GetOrRegisterCounter("home.claims", nil)
	countClaimsUnanswered = metrics.GetOrRegisterCounter("home.claimsUnanswered", nil)
	countSettled          = metrics.GetOrRegisterCounter("home.settled", nil)
	countConflicts        = metrics.GetOrRegisterCounter("home.conflicts", nil)
	gaugeRecords          = metrics.GetOrRegisterGauge("home.records", nil)
	gaugeRecordBytes      = metrics.GetOrRegisterGauge("home.recordBytes", nil)
	gaugeOpenRequests     = metrics.GetOrRegisterGauge("home.open", nil)
)

func countOutcome(o register.Outcome) {
	switch o.State {
	case register.Done:
		countDone.Inc(1)
	case register.NotRun:
		countNotRun.Inc(1)
	case register.Unknown:
		countUnknown.Inc(1)
	case register.Pending:
	}
}
