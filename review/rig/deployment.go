package main

// deskConfig is a configuration with one queue and its workers' service.
func deskConfig(maxAttempts int) map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "desk", "host": host, "prefix": "/desk/", "service": "desk", "priority": 0, "maxAttempts": maxAttempts, "stretch": 1.6, "targetLatencyMs": 600,
		}},
		"services": []map[string]any{{"name": "desk", "enforcesCapacity": false}},
		"limits":   map[string]any{},
	}
}

// begin starts a small deployment.
func (s *setup) begin(nodes, workers int) (f *fleet, err error) {
	if f, err = newFleet(s.dir, workers, 32000, deskConfig(3)); err != nil {
		return nil, err
	}
	s.fleet = f
	for range nodes {
		if _, err = f.addNode(s.program, nil); err != nil {
			return nil, err
		}
	}
	return f, f.awaitReady()
}
