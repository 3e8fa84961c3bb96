//go:build debug

package multiprocess_test

const tags = "debug"
