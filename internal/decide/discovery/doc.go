// Package discovery decides when the client of the discovery service opens connections ("calls"), which of several open calls is
// used, and by when all events that the service has published must have been received. It opens no socket and reads no clock:
// Watcher takes events and returns actions, which internal/source/discoveryclient carries out. Its decisions are tested in this
// package, in virtual time and with faults in every order.
//
// A client that waits on one connection cannot tell a service that has stopped answering from one that is overloaded: any timeout
// is wrong for one of the two. A call that receives no complete frame in time therefore stays open, and another one is opened
// beside it, as RFC 8305 does for addresses. The first call to receive a complete frame is used, and the others are closed. The
// state for one address (delays, backoff, failures) is discarded when the configuration names another one.
package discovery
