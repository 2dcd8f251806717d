// Package standin serves a worker over HTTP. It implements the endpoint API,
// injects the faults that tests set, and returns the history that they check.
package standin
