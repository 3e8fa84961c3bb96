//go:build !debug

package multiprocess_test

// tags are the build tags of the proxy's binary: the same as those of the tests.
const tags = ""
