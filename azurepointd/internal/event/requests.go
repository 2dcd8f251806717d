package event

import "github.com/apex/log"

// Events of request handling in the packages home and caller, 3000 to 3999.
var (
	RequestConcluded      = Event{Number: 3001, Level: log.DebugLevel, Text: "request concluded"}
	OutcomeConflict       = Event{Number: 3002, Level: log.ErrorLevel, Text: "conflicting final outcomes for one key"}
	KeySettled            = Event{Number: 3003, Level: log.DebugLevel, Text: "key settled by the backup because its primary is unreachable"}
	ClaimRefused          = Event{Number: 3004, Level: log.DebugLevel, Text: "claim refused by the backup"}
	ClaimUnanswered       = Event{Number: 3005, Level: log.WarnLevel, Text: "backup did not answer the claim"}
	ReleaseFailed         = Event{Number: 3006, Level: log.DebugLevel, Text: "grant not returned; it ends at its deadline"}
	ConcludeFailed        = Event{Number: 3007, Level: log.DebugLevel, Text: "outcome not reported to the backup"}
	RegisterFull          = Event{Number: 3008, Level: log.WarnLevel, Text: "request refused because the register is full"}
	StopStarted           = Event{Number: 3009, Level: log.InfoLevel, Text: "planned stop started; new requests are refused"}
	QueuedRequestsRefused = Event{Number: 3010, Level: log.InfoLevel, Text: "planned stop: queued requests are answered with notRun"}
	StopEnded             = Event{Number: 3011, Level: log.InfoLevel, Text: "planned stop: no open requests left"}
	SingleCopyKeys        = Event{Number: 3012, Level: log.WarnLevel, Text: "keys issued without a backup because no other entry is live"}
	NoKeysIssued          = Event{Number: 3013, Level: log.WarnLevel, Text: "no keys issued because no data centre serves the pool"}
	PrimaryUnreachable    = Event{Number: 3015, Level: log.DebugLevel, Text: "primary unreachable; calling the backup"}
)
