// Package request executes requests whose key names this entry as the primary, and
// stores a second copy of claims for keys that name it as the backup.
//
// A request that may not be repeated runs at most once: its task is sent only
// after the backup has accepted the claim, and a backup that decides a key in
// place of an unreachable primary first refuses further claims and then has
// every claimed task fenced at its endpoint. A request is answered notRun only
// if none of its tasks was sent, or if the endpoint of each task that was sent
// confirms that the task never starts.
package request
