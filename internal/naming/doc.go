// Package naming has no code: its test checks that the names declared in this module are terms of
// the field. docs/glossary.md lists the plain words that are not to be used and the exceptions;
// remaining.txt lists the names that are still to be renamed.
package naming
