// Package cli holds the flags, the start and the stop of endpointd.
package cli
