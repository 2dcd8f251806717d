// Package site describes the two fleets that the policies are measured on.
package site
