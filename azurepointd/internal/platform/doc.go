// Package platform follows the change log and the platform's list of instances:
// one entry of each data centre reads them and the others ask that entry.
package platform
