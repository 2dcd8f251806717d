// Package admission decides at the door which jobs are accepted while there is too little
// room: it estimates when a job would end behind the accepted work that goes first, and
// refuses what cannot be served in time, with the time at which room is expected. It does
// no I/O.
package admission
