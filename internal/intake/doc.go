// Package intake owns what a client's connection may cost before its requests reach the scheduler. All frontends share
// it.
//
//   - Budget bounds the memory of all connections together: input that waits, heads, bodies, and parsed requests until
//     they are answered. Each connection has an Account, of which a small part is free.
//   - Pacer bounds the processor time of one connection: reads, parsing, and answers for which no node has worked.
//
// Neither does any I/O.
package intake
