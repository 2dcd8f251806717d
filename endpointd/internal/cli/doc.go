// Package cli parses the flags of endpointd, starts it and stops it.
package cli
