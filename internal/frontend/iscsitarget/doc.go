// Package iscsitarget implements an iSCSI target (RFC 7143) for clients that speak iSCSI. Section numbers refer to that
// RFC; README.md lists the parts of it that are supported. READs and WRITEs go through the same event loop as the
// platform's HTTP requests.
//
// A Target accepts connections. Each connection has a session of its own, which is in one of these states:
//
//	login         session.login negotiates; the session is in the target's table, but has no TSIH yet
//	full feature  session.serve reads requests; Target.register has set the TSIH
//	answering     session.answerTasks drops input until the outstanding tasks are answered; only after an input error
//	ended         session.run releases everything; the table no longer has the session
//
// A session has one goroutine that reads (session.run), one that pings a silent client (session.pingWhenSilent) and one
// for each READ or WRITE (session.execute). These end before session.run returns. While the target stops, another one
// asks the client to log out (session.requestLogout); it ends soon after the session.
//
// A READ or WRITE is a task from session.addTask until session.takeTask. Only the goroutine that takes a task sends its
// response, so a task has at most one response.
//
// A goroutine that needs both session.writeMu and session.mu takes session.writeMu first. A goroutine that holds
// Target.mu takes neither of them.
package iscsitarget
