// Package iscsitarget implements an iSCSI target (RFC 7143) for clients that speak iSCSI. Section numbers refer to that
// RFC; README.md lists the parts of it that are supported. READs and WRITEs go through the same event loop as the
// platform's HTTP requests.
//
// A Target accepts connections. Each connection has a session of its own, which is in one of these states:
//
//	login         session.login negotiates; the target's table has the session, but it has no TSIH yet
//	full feature  session.serve reads requests; Target.register has set the TSIH
//	ended         session.run releases everything; the table no longer has the session
//
// A session has one goroutine that reads (session.run), one that pings a silent client (session.pingWhenSilent) and one
// for each READ or WRITE (session.execute). A READ or WRITE is a task from session.addTask until session.takeTask. Only
// the goroutine that takes a task sends its response, so a task has at most one. All goroutines of a session end before
// session.run returns.
//
// Locks are taken in these orders: session.writeMu, session.mu; Target.mu alone.
package iscsitarget
