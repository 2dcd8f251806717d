// Package platform follows the change log and the platform's list of instances.
//
// In each data centre one entry, the owner of the duty changes, watches the log
// in the key-value service. The other entries request new records from it, so
// that the calls to the service grow with the number of data centres and not of
// entries. An entry that gets no reply from the owner reads the log itself, and
// one that observes a later version at any peer fetches it from there.
package platform
