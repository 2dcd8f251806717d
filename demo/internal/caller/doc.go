// Package caller sends the demo's requests through the entries and records what
// each caller was told.
package caller
