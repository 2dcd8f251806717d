package event

import "github.com/apex/log"

// Events of the path of requests, home and caller, 3000 to 3999.
var (
	RequestConcluded = Event{3001, log.DebugLevel, "request concluded"}
	OutcomeConflict  = Event{3002, log.ErrorLevel, "two final outcomes for one key"}
	KeySettled       = Event{3003, log.DebugLevel, "key decided at the backup because its home is unreachable"}
	ClaimRefused     = Event{3004, log.DebugLevel, "claim refused by the backup"}
	ClaimUnanswered  = Event{3005, log.WarnLevel, "claim not answered by the backup"}
	ReleaseLost      = Event{3006, log.DebugLevel, "grant not returned; it ends at its deadline"}
	ConcludeLost     = Event{3007, log.DebugLevel, "outcome not told to the backup"}
	RegisterFull     = Event{3008, log.WarnLevel, "request refused because the register is full"}
	StopBegun        = Event{3009, log.InfoLevel, "planned stop begun; new requests are refused"}
	QueueLeft        = Event{3010, log.InfoLevel, "planned stop: waiting requests are answered notRun"}
	StopEnded        = Event{3011, log.InfoLevel, "planned stop: no request is left"}
	SingleCopyKeys   = Event{3012, log.WarnLevel, "keys issued without a backup, because no other entry is live"}
	KeysWithoutPlace = Event{3013, log.WarnLevel, "no keys issued, because no data centre serves the pool"}
	HomeUnreachable  = Event{3015, log.DebugLevel, "home not reached; its backup is asked"}
)
