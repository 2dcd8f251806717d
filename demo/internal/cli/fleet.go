package cli

import (
	"context"
	"fmt"
	"io"
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
	peerSecret     = "demo secret of the entries"
	operatorSecret = "demo secret of the operators"

	// stopWithin bounds the end of all processes together.
	stopWithin = 8 * time.Second
	// rebootTime is how long an endpoint of the demo takes to reboot.
	rebootTime = time.Second
)

// place is one endpoint of the demo.
type place struct {
	name       string
	dataCentre string
	pool       string
}

// places are the demo's endpoints: six, in three pools, over two data centres.
var places = []place{
	{"cover-1", "north", "cover"},
	{"cover-2", "south", "cover"},
	{"payroll-1", "north", "payroll"},
	{"payroll-2", "south", "payroll"},
	{"spare-1", "north", "spare"},
	{"spare-2", "south", "spare"},
}

// entryPlace is one entry of the demo.
type entryPlace struct {
	name       string
	dataCentre string
}

var entryPlaces = []entryPlace{
	{"north-1", "north"}, {"north-2", "north"}, {"south-1", "south"}, {"south-2", "south"},
}

// entry is a running entry with its addresses.
type entry struct {
	entryPlace
	process  *process.Process
	caller   string
	operator string
	peer     string
}

// fleet is the set of running processes.
type fleet struct {
	group     process.Group
	platform  *process.Process
	endpoints map[string]*process.Process
	entries   []*entry
	operators operator.Client
}

// start starts every process and configures the pools and members.
func (f *fleet) start(ctx context.Context) (err error) {
	f.platform, err = f.group.Start(ctx, "platform", "platformd")
	if err != nil {
		return err
	}
	f.endpoints = make(map[string]*process.Process)
	for _, p := range places {
		f.endpoints[p.name], err = f.group.Start(ctx, p.name, "endpointd", "--name", p.name,
			"--data-centre", p.dataCentre, "--platform", f.platform.Addresses[0],
			"--reboot-time", rebootTime.String())
		if err != nil {
			return err
		}
	}
	if err = f.startEntries(ctx); err != nil {
		return err
	}
	f.operators.Secret = operatorSecret
	for _, e := range f.entries {
		f.operators.Entries = append(f.operators.Entries, e.operator)
	}
	return f.configure(ctx)
}

func (f *fleet) startEntries(ctx context.Context) (err error) {
	free, err := freeAddresses(ctx, 3*len(entryPlaces))
	if err != nil {
		return err
	}
	var peers []string
	for i, p := range entryPlaces {
		e := &entry{entryPlace: p, caller: free[3*i], operator: free[3*i+1], peer: free[3*i+2]}
		peers = append(peers, e.peer)
		f.entries = append(f.entries, e)
	}
	for _, e := range f.entries {
		path := filepath.Join(f.group.Logs, e.name+".ini")
		if err = os.WriteFile(path, []byte(e.settings(f.platform.Addresses[0], peers)), 0o600); err != nil {
			return errors.Wrap(err, "cli: write settings")
		}
		if e.process, err = f.group.Start(ctx, e.name, "azurepointd", path); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings file of an entry.
func (e *entry) settings(platform string, peers []string) string {
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
`, e.name, e.dataCentre, e.caller, e.operator, e.peer, strings.Join(peers, ", "), peerSecret, platform, operatorSecret)
}

// configure creates the pools, members and instances in one change.
func (f *fleet) configure(ctx context.Context) (err error) {
	var text strings.Builder
	text.WriteString("create pool cover budget 1\ncreate pool payroll budget 1\ncreate pool spare budget 1 spare\n")
	text.WriteString("create member cafes cap 32 share 3 minimum 4\ncreate member phones cap 24 share 2 minimum 2\n")
	text.WriteString("create member accounts cap 24\n")
	for _, p := range places {
		fmt.Fprintf(&text, "add instance %s address %s dataCentre %s rack %s-r1 slots 8 pool %s\n",
			p.name, f.endpoints[p.name].Addresses[0], p.dataCentre, p.dataCentre, p.pool)
	}
	_, err = f.operators.Run(ctx, "demo-configure", text.String())
	return err
}

// print writes where the fleet can be reached.
func (f *fleet) print(w io.Writer) {
	for _, e := range f.entries {
		fmt.Fprintf(w, "entry %s dataCentre=%s callers=http://%s operators=%s\n", e.name, e.dataCentre, e.caller, e.operator)
	}
	fmt.Fprintf(w, "operator secret: %s\n", operatorSecret)
}

// freeAddresses returns loopback addresses that were free a moment ago; entries
// need theirs before they start, because their peers' settings name them. All are
// held until the last is found, so that no two are the same.
func freeAddresses(ctx context.Context, count int) (addresses []string, err error) {
	for range count {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "cli: find a free port")
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
