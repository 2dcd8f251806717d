package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/demo/internal/operator"
	"github.com/azurepoint/azurepoint/demo/internal/process"
)

const (
	peerSecret = "demo secret of the entries"
	// OperatorSecret is the secret of the operators' API.
	OperatorSecret = "demo secret of the operators"
)

// EndpointSpec is the name, data centre and pool of one endpoint.
type EndpointSpec struct {
	Name       string
	DataCentre string
	Pool       string
}

// EntrySpec is the name and data centre of one entry.
type EntrySpec struct {
	Name       string
	DataCentre string
}

// Entry is a running entry with its addresses.
type Entry struct {
	EntrySpec
	Process  *process.Process
	Caller   string
	Operator string
	Peer     string

	settingsPath string
}

// Fleet is the set of running processes; the fields above Platform are set
// before Start.
type Fleet struct {
	Group         process.Group
	EndpointSpecs []EndpointSpec
	Entries       []*Entry
	// RebootTime is how long an endpoint takes to reboot.
	RebootTime time.Duration
	// Settings are more lines of the entries' settings files.
	Settings string

	Platform  *process.Process
	Endpoints map[string]*process.Process
	Operators operator.Client
}

// Start starts every process with an empty configuration.
func (f *Fleet) Start(ctx context.Context) (err error) {
	f.Platform, err = f.Group.Start(ctx, "platform", "platformd")
	if err != nil {
		return err
	}
	f.Endpoints = make(map[string]*process.Process)
	for _, p := range f.EndpointSpecs {
		f.Endpoints[p.Name], err = f.Group.Start(ctx, p.Name, "endpointd", "--name", p.Name,
			"--data-centre", p.DataCentre, "--platform", f.Platform.Addresses[0],
			"--reboot-time", f.RebootTime.String())
		if err != nil {
			return err
		}
	}
	if err = f.writeSettings(ctx); err != nil {
		return err
	}
	f.Operators.Secret = OperatorSecret
	for _, e := range f.Entries {
		if err = f.StartEntry(ctx, e); err != nil {
			return err
		}
		f.Operators.Entries = append(f.Operators.Entries, e.Operator)
	}
	return nil
}

// StartEntry starts an entry, or starts it again after its process has ended.
func (f *Fleet) StartEntry(ctx context.Context, e *Entry) (err error) {
	e.Process, err = f.Group.Start(ctx, e.Name, "azurepointd", e.settingsPath)
	return err
}

func (f *Fleet) writeSettings(ctx context.Context) (err error) {
	free, err := freeAddresses(ctx, 3*len(f.Entries))
	if err != nil {
		return err
	}
	var peers []string
	for i, e := range f.Entries {
		e.Caller, e.Operator, e.Peer = free[3*i], free[3*i+1], free[3*i+2]
		peers = append(peers, e.Peer)
	}
	for _, e := range f.Entries {
		e.settingsPath = filepath.Join(f.Group.Logs, e.Name+".ini")
		text := e.settings(f.Platform.Addresses[0], peers) + f.Settings
		if err = os.WriteFile(e.settingsPath, []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "fleet: write settings")
		}
	}
	return nil
}

// settings returns the settings file of an entry.
func (e *Entry) settings(platform string, peers []string) string {
	return fmt.Sprintf(`[entry]
name = %s
dataCentre = %s

[listen]
caller = %s
operator = %s
peer = %s

[peers]
join = %s
secret = "%s"

[platform]
address = %s

[operators]
secret = "%s"

`, e.Name, e.DataCentre, e.Caller, e.Operator, e.Peer, strings.Join(peers, ", "), peerSecret, platform, OperatorSecret)
}

// Print writes the addresses of the entries and the operators' secret.
func (f *Fleet) Print(w io.Writer) {
	for _, e := range f.Entries {
		fmt.Fprintf(w, "entry %s dataCentre=%s callers=http://%s operators=%s\n", e.Name, e.DataCentre, e.Caller, e.Operator)
	}
	fmt.Fprintf(w, "operator secret: %s\n", OperatorSecret)
}

// freeAddresses returns loopback addresses that were free when checked. Addresses
// are chosen before the entries start, because the settings of every entry list
// the addresses of its peers. They share a host of their own: connections of other
// processes, which begin at 127.0.0.1, may get any free port there before an entry
// listens, or while it is restarted. All listeners stay open until the last one is
// created, so that no address is returned twice.
func freeAddresses(ctx context.Context, count int) (addresses []string, err error) {
	host := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	for range count {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", net.JoinHostPort(host.String(), "0"))
		if err != nil {
			return nil, errors.Wrap(err, "fleet: find a free port")
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
