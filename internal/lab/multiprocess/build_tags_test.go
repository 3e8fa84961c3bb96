//go:build !debug

package multiprocess_test

// tags that the program is built with: those of the tests.
const tags = ""
