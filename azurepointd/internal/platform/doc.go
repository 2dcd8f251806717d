// Package platform follows the change log and the platform's list of instances.
//
// One entry of each data centre, the owner of the duty changes, watches the log
// in the key-value service. The others ask it for news, so that the calls on the
// service grow with data centres and not with entries. An entry that gets no
// news from the owner reads the log itself, and one that hears of a later
// version from any peer takes it from there.
package platform
