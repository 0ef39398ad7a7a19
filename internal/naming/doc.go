// Package naming contains only tests. They check that the names declared in this module are standard
// technical terms, and that imports are grouped. docs/glossary.md lists plain words that names must
// not contain, and exceptions to this rule. remaining.txt lists names that still have to be renamed.
package naming
