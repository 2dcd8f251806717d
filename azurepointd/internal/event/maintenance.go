package event

import "github.com/apex/log"

// Events of drains, moves and failures of instances, 6000 to 6999.
var (
	DrainStarted             = Event{Number: 6001, Level: log.InfoLevel, Text: "endpoint instructed to refuse new tasks"}
	RebootRequested          = Event{Number: 6002, Level: log.InfoLevel, Text: "endpoint instructed to reboot"}
	DrainFinished            = Event{Number: 6003, Level: log.InfoLevel, Text: "instance serving again after its reboot"}
	DrainCancelled           = Event{Number: 6004, Level: log.InfoLevel, Text: "drain cancelled before its reboot"}
	UngrantedDrainCancelled  = Event{Number: 6005, Level: log.WarnLevel, Text: "endpoint is draining without a grant; cancelling its drain"}
	DrainsGranted            = Event{Number: 6006, Level: log.InfoLevel, Text: "drains granted"}
	WaveStopped              = Event{Number: 6007, Level: log.WarnLevel, Text: "wave halted or ended"}
	MoveStarted              = Event{Number: 6008, Level: log.InfoLevel, Text: "move started"}
	MoveFinished             = Event{Number: 6009, Level: log.InfoLevel, Text: "instance released to its next pool"}
	InstanceFailed           = Event{Number: 6010, Level: log.WarnLevel, Text: "instance marked as failed"}
	InstanceRecovered        = Event{Number: 6011, Level: log.InfoLevel, Text: "failed instance serving again"}
	MostEndpointsUnreachable = Event{Number: 6012, Level: log.ErrorLevel, Text: "most endpoints unreachable; this entry may be partitioned"}
	EndpointCallFailed       = Event{Number: 6013, Level: log.InfoLevel, Text: "endpoint call failed or was refused"}
	ProposalRefused          = Event{Number: 6014, Level: log.InfoLevel, Text: "proposal refused"}
	ProposalUnknown          = Event{Number: 6015, Level: log.WarnLevel, Text: "result of a proposal unknown"}
	RebootRecorded           = Event{Number: 6017, Level: log.InfoLevel, Text: "reboot recorded; the drain can no longer be cancelled"}
	EntryStalled             = Event{Number: 6016, Level: log.WarnLevel, Text: "entry was stalled for longer than its limit; observing before it acts again"}
)
