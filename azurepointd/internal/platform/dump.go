package platform

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// maxDumpedResults is the number of most recent results of changes in a dump.
const maxDumpedResults = 10

// Dump writes the version in force, its source, unavailable instances, unfinished
// waves and the latest results of changes as readable text.
func (f *Follower) Dump(w io.Writer) {
	var b bytes.Buffer
	s := f.State()
	read := "never"
	if at := f.lastStoreAnswer.Load(); at > 0 {
		read = time.Unix(0, at).UTC().Format(time.RFC3339)
	}
	fmt.Fprintf(&b, "version=%d reader=%s storeRead=%s storeAnswers=%t listAnswers=%t\n",
		s.Version, f.Peers.Owner(changesDuty).Name, read, serviceStatus(f.storeStatus.Load()) == serviceReachable, !f.listUnreachable.Load())
	fmt.Fprintf(&b, "pools=%d members=%d instances=%d waves=%d leaving=%q\n",
		len(s.Pools), len(s.Members), len(s.Instances), len(s.Waves), f.leaving.sortedNames())
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		fmt.Fprintf(&b, "pool %s: budget=%d unavailable=%d\n", name, s.Pools[name].Budget, s.Unavailable(name))
		for _, i := range s.UnavailableInstances(name) {
			fmt.Fprintf(&b, "  instance %s: phase=%s failed=%t wave=%q nextPool=%q since=%d\n",
				i.Name, i.Phase, i.Failed, i.Wave, i.NextPool, i.PhaseVersion)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Waves)) {
		if v := s.Waves[name]; v.State != fleet.WaveEnded {
			fmt.Fprintf(&b, "wave %s: state=%s pools=%q remaining=%d reason=%q\n",
				name, v.State, v.Pools, len(s.RemainingInstances(name)), v.Reason)
		}
	}
	for _, v := range s.Results[max(0, len(s.Results)-maxDumpedResults):] {
		fmt.Fprintf(&b, "change %s: index=%d refusal=%q\n", v.ID, v.Index, v.Refusal)
	}
	_, _ = w.Write(b.Bytes())
}
