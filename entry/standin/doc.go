// Package standin has small in-memory fakes of what an entry calls: the key-value
// service, endpoints and the machine service, with injectable faults like those of
// the real ones. Tests and the demonstration use them.
package standin
