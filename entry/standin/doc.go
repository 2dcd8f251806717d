// Package standin has small in-memory stand-ins of what an entry calls: the
// key-value service, endpoints and the machine service, with the faults that the
// real ones have. Tests and the demonstration use them.
package standin
