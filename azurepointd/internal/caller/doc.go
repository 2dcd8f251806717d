// Package caller serves the callers' HTTP API: it issues keys, checks
// submissions, and forwards each request to the entries that its key names.
//
// A 4xx or 5xx answer means that the request did not run and never will under
// that key, or that the key was not used. All else is an outcome.
package caller
