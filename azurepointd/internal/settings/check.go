package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// grantMargin is how long a grant lasts beyond the estimated run time; see
// section 11 of the design.
const grantMargin = 10 * time.Second

// minRequestsInMemory is how many bodies of the maximum size the memory for requests must hold, since a request
// takes several times its size while it is decoded.
const minRequestsInMemory = 8

// minHeartbeatsPerLifetime is the minimum number of heartbeat intervals in a
// lifetime; an entry stays live when two consecutive heartbeats are lost.
const minHeartbeatsPerLifetime = 3

// Problem is one error in the settings.
type Problem struct {
	Name Name
	Text string
}

// String returns the section, the key and the text of the problem.
func (p Problem) String() string {
	return p.Name.String() + ": " + p.Text
}

// CheckError holds all problems of the settings.
type CheckError struct {
	Problems []Problem
}

// Error returns the number of problems, then one problem per line.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%d errors", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Check returns a CheckError with every value that is out of range and every invalid
// combination of values, or nil.
func Check(s Settings) (err error) {
	c := checker{}
	c.checkValues(&s)
	c.checkCombinations(&s)
	if err = c.err(); err != nil {
		return errors.Wrap(err, "settings")
	}
	return nil
}

// checker collects problems. Further checks of a key that is known to be invalid are
// skipped.
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

func (c *checker) checkValues(s *Settings) {
	for _, k := range keys() {
		if c.faulty[k.name] {
			continue
		}
		if err := k.check(s); err != nil {
			c.report(k.name, err.Error())
		}
	}
}

// require reports a problem of the first key if the condition is false, unless one of
// the keys is known to be invalid.
func (c *checker) require(condition bool, text string, names ...Name) {
	if condition || slices.ContainsFunc(names, func(n Name) bool { return c.faulty[n] }) {
		return
	}
	c.problems = append(c.problems, Problem{Name: names[0], Text: text})
}

var (
	callerName       = Name{"listen", "caller"}
	operatorName     = Name{"listen", "operator"}
	peerName         = Name{"listen", "peer"}
	joinName         = Name{"peers", "join"}
	clockErrorName   = Name{"limits", "clockError"}
	longestGrantName = Name{"dispatch", "longestGrant"}
)

func (c *checker) checkCombinations(s *Settings) {
	c.checkListenAddresses(s)
	c.checkDurations(s)
	c.require(s.Operators.Secret != s.Peers.Secret,
		"must differ from [peers] secret: otherwise the secret of the entries grants operator access",
		Name{"operators", "secret"}, Name{"peers", "secret"})
	c.require(s.Limits.RequestMemory<<20 >= minRequestsInMemory*s.Limits.MaxBodyBytes,
		fmt.Sprintf("must hold at least %d requests of [limits] maxBodyBytes (%d)", minRequestsInMemory, s.Limits.MaxBodyBytes),
		Name{"limits", "requestMemory"}, Name{"limits", "maxBodyBytes"})
}

func (c *checker) checkListenAddresses(s *Settings) {
	l := s.Listen
	c.require(!listenersOverlap(l.Peer, l.Caller), "must not equal [listen] caller", peerName, callerName)
	c.require(!listenersOverlap(l.Operator, l.Caller), "must not equal [listen] caller", operatorName, callerName)
	c.require(!listenersOverlap(l.Operator, l.Peer), "must not equal [listen] peer", operatorName, peerName)
	c.require(!l.Peer.Addr().IsUnspecified(),
		"must be a specific IP, because it is advertised to the other entries", peerName)
	c.require(!slices.Contains(s.Peers.Join, l.Caller), "must not contain [listen] caller", joinName, callerName)
	c.require(!slices.Contains(s.Peers.Join, l.Operator), "must not contain [listen] operator", joinName, operatorName)
	platformName := Name{"platform", "address"}
	c.require(!s.Platform.Address.Addr().IsUnspecified(), "must be a specific IP to connect to", platformName)
	for _, listenAddress := range []netip.AddrPort{l.Caller, l.Operator, l.Peer} {
		c.require(listenAddress != s.Platform.Address, "must not equal an address of [listen]", platformName)
	}
}

// listenersOverlap reports whether two listeners would bind the same port of an IP.
func listenersOverlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) checkDurations(s *Settings) {
	lifetime, heartbeat := Name{"peers", "lifetime"}, Name{"peers", "heartbeat"}
	c.require(s.Peers.Lifetime >= minHeartbeatsPerLifetime*s.Peers.Heartbeat,
		fmt.Sprintf("must be at least %d times [peers] heartbeat (%s)", minHeartbeatsPerLifetime, s.Peers.Heartbeat),
		lifetime, heartbeat)
	c.require(s.Peers.Lifetime > s.Peers.Heartbeat+s.Limits.ClockError,
		fmt.Sprintf("must be greater than the sum of [peers] heartbeat (%s) and [limits] clockError (%s)",
			s.Peers.Heartbeat, s.Limits.ClockError),
		lifetime, heartbeat, clockErrorName)
	c.require(s.Dispatch.LongestGrant > grantMargin+s.Limits.ClockError,
		fmt.Sprintf("must be greater than the sum of the grant margin (%s) and [limits] clockError (%s)",
			grantMargin, s.Limits.ClockError),
		longestGrantName, clockErrorName)
	c.require(s.Requests.KeyLifetime > s.Dispatch.LongestGrant+s.Limits.ClockError,
		fmt.Sprintf("must be greater than the sum of [dispatch] longestGrant (%s) and [limits] clockError (%s), because a key must outlive its grant",
			s.Dispatch.LongestGrant, s.Limits.ClockError),
		Name{"requests", "keyLifetime"}, longestGrantName, clockErrorName)
	c.require(s.Maintenance.RebootDeadline >= s.Maintenance.FailedAfter,
		fmt.Sprintf("must be at least [upkeep] failedAfter (%s)", s.Maintenance.FailedAfter),
		Name{"upkeep", "rebootDeadline"}, Name{"upkeep", "failedAfter"})
}
