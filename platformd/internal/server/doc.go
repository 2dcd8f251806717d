// Package server serves the subset of the published Consul HTTP API that
// azurepoint uses, and the faults and counters of the stand-in.
package server
