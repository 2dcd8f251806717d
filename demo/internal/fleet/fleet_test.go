package fleet

import (
	"net"
	"testing"
)

// Guards against an entry that exits because a connection of another process has got the port
// that was chosen for it, before it listens or while it is restarted.
func TestAddressesAreNotTakenByConnections(t *testing.T) {
	addresses, err := freeAddresses(t.Context(), 12)
	if err != nil {
		t.Fatal(err)
	}
	server, err := new(net.ListenConfig).Listen(t.Context(), "tcp", addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	first, err := new(net.Dialer).DialContext(t.Context(), "tcp", addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	host, _, _ := net.SplitHostPort(first.LocalAddr().String())
	for _, address := range addresses[1:] {
		_, port, _ := net.SplitHostPort(address)
		local, err := net.ResolveTCPAddr("tcp", net.JoinHostPort(host, port))
		if err != nil {
			t.Fatal(err)
		}
		second, err := (&net.Dialer{LocalAddr: local}).DialContext(t.Context(), "tcp", addresses[0])
		if err != nil {
			// Another process has this port on the host of connections.
			continue
		}
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
		if err != nil {
			t.Fatalf("an entry cannot listen: %v", err)
		}
		_, _ = l.Close(), second.Close()
		return
	}
	t.Error("no connection could be made from a chosen port")
}
