package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/azurepoint/azurepoint/platformd/internal/catalog"
)

// registration is a service in the JSON format of the published agent API. The
// server acts as the agent of every node: the ID is also the name of the node, and
// the query parameter dc is its data centre.
type registration struct {
	ID      string
	Name    string
	Address string
	Port    int
}

// entryJSON is a listed service in the JSON format of the published health API.
type entryJSON struct {
	Node    nodeJSON
	Service serviceJSON
	Checks  []checkJSON
}

type nodeJSON struct {
	Node       string
	Address    string
	Datacenter string
}

type serviceJSON struct {
	ID      string
	Service string
	Address string
	Port    int
}

type checkJSON struct {
	Node        string
	CheckID     string
	Status      string
	ServiceID   string
	ServiceName string
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var f registration
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Name == "" {
		http.Error(w, "missing service name", http.StatusBadRequest)
		return
	}
	if f.ID == "" {
		f.ID = f.Name
	}
	s.catalog.Register(catalog.Instance{
		ID:         f.ID,
		Name:       f.Name,
		DataCentre: r.URL.Query().Get("dc"),
		Address:    f.Address,
		Port:       f.Port,
	})
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	if !s.catalog.Deregister(r.PathValue("id")) {
		http.Error(w, "unknown service ID", http.StatusNotFound)
	}
}

func (s *Server) setMaintenance(w http.ResponseWriter, r *http.Request) {
	enable, err := strconv.ParseBool(r.URL.Query().Get("enable"))
	if err != nil {
		http.Error(w, "missing value for enable", http.StatusBadRequest)
		return
	}
	if !s.catalog.SetLeaving(r.PathValue("id"), enable) {
		http.Error(w, "unknown service ID", http.StatusNotFound)
	}
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	dataCentre := r.URL.Query().Get("dc")
	s.waitForChange(r, func(ctx context.Context, after int64, deadline time.Time) {
		s.catalog.Wait(ctx, dataCentre, after, deadline)
	})
	instances, index := s.catalog.List(r.PathValue("service"), dataCentre)
	entries := make([]entryJSON, 0, len(instances))
	for _, i := range instances {
		entries = append(entries, newEntryJSON(i))
	}
	writeIndex(w, index)
	writeJSON(w, entries)
}

func newEntryJSON(i catalog.Instance) (entry entryJSON) {
	entry.Node = nodeJSON{Node: i.ID, Address: i.Address, Datacenter: i.DataCentre}
	entry.Service = serviceJSON{ID: i.ID, Service: i.Name, Address: i.Address, Port: i.Port}
	entry.Checks = []checkJSON{{Node: i.ID, CheckID: "serfHealth", Status: "passing"}}
	if i.Leaving {
		entry.Checks = append(entry.Checks, checkJSON{
			Node:        i.ID,
			CheckID:     "_service_maintenance:" + i.ID,
			Status:      "critical",
			ServiceID:   i.ID,
			ServiceName: i.Name,
		})
	}
	return entry
}
