// Package standin serves a worker over HTTP: the endpoint API, the faults that
// tests ask for, and the history that they check.
package standin
