package client

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/occupancy"
)

// Limits bound what one client of a server may send and how long it may take.
type Limits struct {
	// HeadBytes is the size of the head of a request; a few kilobytes more are accepted.
	HeadBytes int
	// BodyBytes is the size of a body.
	BodyBytes int64
	// HeadTimeout is how long the head of a request may take from its first byte, and IdleTimeout how long a
	// connection may be without a request.
	HeadTimeout, IdleTimeout time.Duration
	// BodyTimeout is how long the rest of a request may take after its head, and AnswerTimeout how long a
	// client may leave a part of an answer unread.
	BodyTimeout, AnswerTimeout time.Duration
}

// Check returns an error for a limit that is out of range.
func (l Limits) Check() error {
	if l.HeadBytes < occupancy.MinHeadBytes || l.HeadBytes > occupancy.MaxHeadBytes {
		return errors.Errorf("client: the size of a head is %d bytes, outside %d to %d", l.HeadBytes, occupancy.MinHeadBytes, occupancy.MaxHeadBytes)
	}
	if l.BodyBytes < occupancy.MinBodyBytes || l.BodyBytes > occupancy.MaxBodyBytes {
		return errors.Errorf("client: the size of a body is %d bytes, outside %d to %d", l.BodyBytes, occupancy.MinBodyBytes, occupancy.MaxBodyBytes)
	}
	for name, t := range map[string]time.Duration{
		"head": l.HeadTimeout, "idle connection": l.IdleTimeout, "body": l.BodyTimeout, "answer": l.AnswerTimeout,
	} {
		if t < occupancy.MinTimeout || t > occupancy.MaxTimeout {
			return errors.Errorf("client: the time of a %s is %s, outside %s to %s", name, t, occupancy.MinTimeout, occupancy.MaxTimeout)
		}
	}
	return nil
}

// With returns the limits with those of others that are positive, within their bounds.
func (l Limits) With(others Limits) Limits {
	if others.HeadBytes > 0 {
		l.HeadBytes = max(occupancy.MinHeadBytes, min(others.HeadBytes, occupancy.MaxHeadBytes))
	}
	if others.BodyBytes > 0 {
		l.BodyBytes = max(occupancy.MinBodyBytes, min(others.BodyBytes, occupancy.MaxBodyBytes))
	}
	if others.HeadTimeout > 0 {
		l.HeadTimeout = max(occupancy.MinTimeout, min(others.HeadTimeout, occupancy.MaxTimeout))
	}
	if others.IdleTimeout > 0 {
		l.IdleTimeout = max(occupancy.MinTimeout, min(others.IdleTimeout, occupancy.MaxTimeout))
	}
	return l
}

// Capacity is what a process may hold for its clients.
type Capacity struct {
	// MemoryBytes and Descriptors are the limits of the process.
	MemoryBytes int64
	Descriptors int
}

// Parts of a process that clients may use.
const (
	// reservedDescriptors are those of files, which connections cannot use.
	reservedDescriptors = 200
	// connectionBytes is what a connection takes without its request: its buffers, its goroutines and the
	// buffers of the kernel.
	connectionBytes = 88 << 10
	// spareShare is the part of the connections that may be open beyond those that are served.
	spareShare = 8
	// minConnections is served by the smallest of processes.
	minConnections = 8
)

// Share returns the limits of a listener that may use a part of the descriptors, of the memory for connections and
// of the memory for requests.
func (c Capacity) Share(descriptors, connections, requests int64) (l occupancy.Limits) {
	sockets := max(0, int64(c.Descriptors)-reservedDescriptors)
	l.Connections = int(max(minConnections, min(sockets/descriptors, c.MemoryBytes/connections/connectionBytes)))
	l.Spare = max(minConnections/2, l.Connections/spareShare)
	l.Bytes = c.MemoryBytes / requests
	return l
}
