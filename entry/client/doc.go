// Package client serves HTTP to clients that may not keep to the protocol: it bounds the connections, the memory
// and the times of a listener.
package client
