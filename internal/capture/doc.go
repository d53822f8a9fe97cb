// Package capture records the inputs and the actions of a scheduler.Scheduler, and replays them. A Scheduler has no
// clock and does no I/O, so the same events must lead to the same actions, byte for byte. A replay that differs
// shows that this build decides differently from the one that recorded the capture.
//
// # Recording
//
// A Recorder stands between the event loop and the Scheduler. It writes each event and each action as a Record, in
// memory.
//
//   - A part is a run of records that begins with a snapshot of the Scheduler's state, so that it can be replayed
//     without what came before it. The Recorder keeps the newest parts in memory, up to Options.MaxBytes.
//   - A chunk is the piece of a part that was added since the last chunk. Once a second the Recorder offers a Chunk
//     to its Sink, which writes it to disk (package segment).
//   - A gap is a record in place of records that were lost, because the state did not fit into memory or the Sink could
//     not keep up. A replay stops at a gap and resumes at the next snapshot.
//
// # File format
//
// A capture file is a magic text, followed by frames. A frame begins with a word and a CRC-32C of its body, each of
// four bytes in big-endian order, and the body follows them. The word holds the length of the body and two flags. The
// first frame is the Head. Every other one is either a Record in CBOR (RFC 8949) or a block: frames of records,
// compressed with Zstandard (RFC 8878).
package capture
