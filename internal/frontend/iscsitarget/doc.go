// Package iscsitarget serves clients that speak iSCSI: it is a target after RFC 7143, to which section numbers refer.
// Its READs and WRITEs go through the same event loop as the platform's HTTP requests. README.md lists the subset.
//
// A Target accepts connections. Each connection is a session of its own, in one of these states:
//
//	login         session.login negotiates; the target's table has the session, but it has no TSIH yet
//	full feature  session.serve reads requests; the TSIH is set by Target.register
//	ended         session.run releases everything; the table no longer has the session
//
// A session has one goroutine that reads (session.run), one that pings an idle initiator (session.watch) and one for
// each READ or WRITE (session.execute). A READ or WRITE is a task from session.addTask until session.takeTask:
// whoever takes a task sends its one response. All goroutines of a session end before session.run returns.
//
// Locks are taken in these orders: session.writeMu, session.mu; Target.mu alone.
package iscsitarget
