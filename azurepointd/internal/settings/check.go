package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// grantMargin is how long a grant lasts beyond the estimated run time; it is
// the value of section 11 of the design page.
const grantMargin = 10 * time.Second

// heartbeatsPerLifetime is how many heartbeats must fit into a lifetime, so
// that two lost ones do not make an entry count as gone.
const heartbeatsPerLifetime = 3

// Problem is one fault of the settings.
type Problem struct {
	Name Name
	Text string
}

// String returns the problem with its section and key.
func (p Problem) String() string {
	return p.Name.String() + ": " + p.Text
}

// CheckError holds every problem of the settings at once.
type CheckError struct {
	Problems []Problem
}

// Error returns the problems, one a line.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%d faults", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Check returns a CheckError with every value that is out of its range and
// every combination that cannot work, or nil.
func Check(s Settings) (err error) {
	c := checker{}
	c.values(&s)
	c.combinations(&s)
	if err = c.err(); err != nil {
		return errors.Wrap(err, "settings")
	}
	return nil
}

// checker collects problems; a key that is already at fault is not reported
// again through another check.
type checker struct {
	problems []Problem
	faulty   map[Name]bool
}

func (c *checker) err() (err error) {
	if len(c.problems) == 0 {
		return nil
	}
	return &CheckError{Problems: c.problems}
}

func (c *checker) report(n Name, text string) {
	if c.faulty == nil {
		c.faulty = make(map[Name]bool)
	}
	c.faulty[n] = true
	c.problems = append(c.problems, Problem{Name: n, Text: text})
}

func (c *checker) values(s *Settings) {
	for _, k := range keys() {
		if c.faulty[k.name] {
			continue
		}
		if err := k.check(s); err != nil {
			c.report(k.name, err.Error())
		}
	}
}

// require reports the first key unless the condition holds; it reports nothing
// when one of the keys has no usable value.
func (c *checker) require(holds bool, text string, names ...Name) {
	if holds || slices.ContainsFunc(names, func(n Name) bool { return c.faulty[n] }) {
		return
	}
	c.problems = append(c.problems, Problem{Name: names[0], Text: text})
}

var (
	callerName   = Name{"listen", "caller"}
	operatorName = Name{"listen", "operator"}
	peerName     = Name{"listen", "peer"}
	joinName     = Name{"peers", "join"}
	clockName    = Name{"limits", "clockError"}
	grantName    = Name{"dispatch", "longestGrant"}
)

func (c *checker) combinations(s *Settings) {
	c.addresses(s)
	c.times(s)
	c.require(s.Operators.Secret != s.Peers.Secret,
		"must differ from [peers] secret: an entry's secret would let its holder act as an operator",
		Name{"operators", "secret"}, Name{"peers", "secret"})
}

func (c *checker) addresses(s *Settings) {
	l := s.Listen
	c.require(!overlap(l.Peer, l.Caller), "must not equal [listen] caller", peerName, callerName)
	c.require(!overlap(l.Operator, l.Caller), "must not equal [listen] caller", operatorName, callerName)
	c.require(!overlap(l.Operator, l.Peer), "must not equal [listen] peer", operatorName, peerName)
	c.require(!l.Peer.Addr().IsUnspecified(),
		"must name one IP: the other entries are told this address", peerName)
	c.require(!slices.Contains(s.Peers.Join, l.Caller), "must not hold [listen] caller", joinName, callerName)
	c.require(!slices.Contains(s.Peers.Join, l.Operator), "must not hold [listen] operator", joinName, operatorName)
	platform := Name{"platform", "address"}
	c.require(!s.Platform.Address.Addr().IsUnspecified(), "cannot be connected to", platform)
	for _, own := range []netip.AddrPort{l.Caller, l.Operator, l.Peer} {
		c.require(own != s.Platform.Address, "must not be an address of [listen]", platform)
	}
}

// overlap tells whether two listeners would take the same port of an IP.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) times(s *Settings) {
	lifetime, heartbeat := Name{"peers", "lifetime"}, Name{"peers", "heartbeat"}
	c.require(s.Peers.Lifetime >= heartbeatsPerLifetime*s.Peers.Heartbeat,
		fmt.Sprintf("must be at least %d times [peers] heartbeat (%s)", heartbeatsPerLifetime, s.Peers.Heartbeat),
		lifetime, heartbeat)
	c.require(s.Peers.Lifetime > s.Peers.Heartbeat+s.Limits.ClockError,
		fmt.Sprintf("must be above [peers] heartbeat (%s) and [limits] clockError (%s) together",
			s.Peers.Heartbeat, s.Limits.ClockError),
		lifetime, heartbeat, clockName)
	c.require(s.Dispatch.LongestGrant > grantMargin+s.Limits.ClockError,
		fmt.Sprintf("must be above %s, the margin of every grant, and [limits] clockError (%s) together",
			grantMargin, s.Limits.ClockError),
		grantName, clockName)
	c.require(s.Requests.KeyLifetime > s.Dispatch.LongestGrant+s.Limits.ClockError,
		fmt.Sprintf("must be above [dispatch] longestGrant (%s) and [limits] clockError (%s) together: a key outlives its grant",
			s.Dispatch.LongestGrant, s.Limits.ClockError),
		Name{"requests", "keyLifetime"}, grantName, clockName)
	c.require(s.Upkeep.RebootDeadline >= s.Upkeep.FailedAfter,
		fmt.Sprintf("must be at least [upkeep] failedAfter (%s)", s.Upkeep.FailedAfter),
		Name{"upkeep", "rebootDeadline"}, Name{"upkeep", "failedAfter"})
}
