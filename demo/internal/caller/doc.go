// Package caller sends the demo's requests through the entries and records the
// outcome that each caller received.
package caller
