// Package check finds the faults of a configuration of queues, pools and organisations before
// it takes effect, and describes in operators' words what it changes. It does no I/O.
//
// A configuration file is a JSON object in camel case:
//
//	{"version": 7,
//	 "queues": [{"name": "rotas", "host": "api.example", "prefix": "/rotas/", "pool": "batch",
//	   "priority": 1, "maxAttempts": 3, "stretch": 2, "targetMillis": 600,
//	   "allowAnonymous": false, "task": {"cpu": 1500, "memoryMb": 512, "gang": 8}}],
//	 "pools": [{"name": "batch", "capacity": {"cpu": 976000}}, {"name": "off", "spare": true}],
//	 "organisations": [{"name": "north", "keys": ["k-1"], "weight": 4,
//	   "limit": {"cpu": 60000, "memoryMb": 0, "gpu": 0}}]}
//
// CPU is in thousandths of a core; 0 in a limit means none. The usual task of a queue and the
// capacity of a pool are only used for checks and may be left out.
package check
