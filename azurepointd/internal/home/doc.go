// Package home runs requests whose key names this entry as their home, and
// keeps the second copy of claims for keys that name it as their backup.
//
// A request that may not be repeated runs at most once, because its task is
// sent only after the backup has accepted the claim, and because the backup,
// when it decides in the home's place, first refuses further claims and then
// has every claimed task fenced at its endpoint. A request is answered notRun
// only if none of its tasks was sent, or if the endpoint of each task that was
// sent is certain that it never starts.
package home
