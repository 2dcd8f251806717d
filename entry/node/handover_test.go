package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/peer"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Guards against a small entry that keeps the pools of a large fleet because it was the first
// to claim them: its link and processor were full, and it claimed them again after each restart
// (thessalon-nav-grown, flood-under-falling-limit without the flood, seeds 101 and 103).
func TestSmallOwnerHandsOverToStrongerEntry(t *testing.T) {
	f := newFleet(t)
	small := f.startWithCores("small", 0.2)
	f.submit(small, "1111111111111111", "300", job.Step{Count: 3, CPU: 1000})
	large := f.startWithCores("large", 0.8)
	for i := 0; large.manager() == nil || !large.ownership.serving(); i++ {
		if i == 500 {
			owner, _ := small.ownership.current()
			t.Fatalf("the owner is still %s", owner.Name)
		}
		if i%10 == 0 {
			f.submit(small, fmt.Sprintf("%016x", 0x100+i), "10", job.Step{Count: 1, CPU: 100})
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.await(small, "1111111111111111", job.Completed, 10*time.Second)
	f.await(large, fmt.Sprintf("%016x", 0x100), job.Completed, 10*time.Second)
	if small.manager() != nil {
		t.Error("the small entry still manages the pools")
	}
	f.check()
}

// Guards against pools that are given up again and again although the stronger entries cannot
// own them: they are listed for half a minute after they ended, or have lost the store.
func TestOwnerKeepsPoolsIfStrongerEntriesCannotServe(t *testing.T) {
	f := newFleet(t)
	small := f.startWithCores("small", 0.2)
	f.submit(small, "1111111111111111", "10", job.Step{Count: 1, CPU: 1000})
	term, _ := small.ownership.current()
	// An entry without the term has not read it from the store.
	uninformed := &Node{Name: "uninformed", Store: f.store}
	uninformed.Init()
	server := httptest.NewServer(peer.Handler(OwnerServer{Node: uninformed}))
	defer server.Close()
	ended := httptest.NewServer(http.NotFoundHandler())
	ended.Close()
	for name, address := range map[string]string{"uninformed": server.Listener.Addr().String(), "ended": ended.Listener.Addr().String()} {
		value, err := json.Marshal(entryRecord{Address: address, Cores: 0.8})
		if err != nil {
			t.Fatal(err)
		}
		if _, err = f.store.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: manager.EntryPrefix + name, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	for len(small.entries.strongest("small", 0.8, 2)) < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(3 * handoverInterval)
	if now, _ := small.ownership.current(); now.Name != "small" || now.Term != term.Term {
		t.Errorf("the owner is %s in term %d, want small in term %d", now.Name, now.Term, term.Term)
	}
	f.check()
}
