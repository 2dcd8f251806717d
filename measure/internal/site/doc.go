// Package site describes the two fleets that the policies are simulated on.
package site
