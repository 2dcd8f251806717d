package event

import "github.com/apex/log"

// Events of drains, moves and failures of instances, 6000 to 6999.
var (
	DrainBegun      = Event{6001, log.InfoLevel, "endpoint told to refuse new tasks"}
	RebootCalled    = Event{6002, log.InfoLevel, "endpoint told to reboot"}
	DrainFinished   = Event{6003, log.InfoLevel, "instance serves again after its reboot"}
	DrainGivenBack  = Event{6004, log.InfoLevel, "drain given back before its reboot"}
	DrainUndone     = Event{6005, log.WarnLevel, "endpoint drains without a grant; told to serve"}
	DrainsGranted   = Event{6006, log.InfoLevel, "drains granted"}
	WaveStopped     = Event{6007, log.WarnLevel, "wave halted or ended"}
	MoveStarted     = Event{6008, log.InfoLevel, "move started"}
	MoveFinished    = Event{6009, log.InfoLevel, "instance released to its next pool"}
	InstanceFailed  = Event{6010, log.WarnLevel, "instance marked as failed"}
	InstanceBack    = Event{6011, log.InfoLevel, "failed instance serves again"}
	MostUnreachable = Event{6012, log.ErrorLevel, "most endpoints do not answer; this entry may be cut off"}
	EndpointRefused = Event{6013, log.InfoLevel, "endpoint call failed or was refused"}
	ProposalRefused = Event{6014, log.InfoLevel, "proposal refused"}
	ProposalUnknown = Event{6015, log.WarnLevel, "proposal without an answer"}
	RebootRecorded  = Event{6017, log.InfoLevel, "reboot recorded; the drain can no longer be given back"}
	EntryStalled    = Event{6016, log.WarnLevel, "entry did not run for longer than its limit; waits before it acts"}
)
