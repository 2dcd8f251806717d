// Package caller serves the callers' HTTP API: it issues request keys, validates
// submissions, and forwards each request to the primary and backup entries that its
// key names.
//
// A 4xx or 5xx response means that the request did not run and never will under
// that key, or that the key was not used. Every other response is an outcome.
package caller
