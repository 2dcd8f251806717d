// Package server implements the subset of the published Consul HTTP API that
// azurepoint uses. It also serves the settings of faults and the counters of
// calls.
package server
