package client

import (
	"context"
	"net"
	"syscall"
)

// Sizes of the buffers of the kernel for what a client has sent, in bytes. PeerReceiveBytes is for listeners of
// other entries, which send longer messages.
const (
	ReceiveBytes     = 16 << 10
	PeerReceiveBytes = 64 << 10
)

// Listen listens at a TCP address. What clients have sent and the process has not read takes buffers of a size for
// each connection, which count as its memory.
func Listen(ctx context.Context, address string, receiveBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// Without the option the buffers are larger, which is no reason not to serve.
		return c.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
	}}
	return config.Listen(ctx, "tcp", address)
}
