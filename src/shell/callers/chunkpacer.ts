import type { Socket } from 'node:net';

/** What may be read of a body before it waits: 1,024 very small chunks or 256 KiB. Usual bodies have less. */
const COST_PER_TURN = 1024;
/** Bytes that cost as much to read as a chunk does by itself. */
const BYTES_PER_CHUNK = 256;

/**
 * Bounds the time that one iteration of the event loop takes for bodies that are large, or in very small chunks, each of
 * which costs as much as a large one: reads one such connection per iteration, in turn. Connections that wait to be
 * accepted, one per iteration, would count as an overload otherwise.
 */
export class ChunkPacer {
  private readonly waiting = new Set<Socket>();

  private isScheduled = false;

  /** Returns a function to be called with the size of each chunk that is read on a connection. */
  counter(socket: Socket): (sizeBytes: number) => void {
    let cost = 0;
    let isPaced = false;
    return (sizeBytes) => {
      cost += 1 + sizeBytes / BYTES_PER_CHUNK;
      if (cost < COST_PER_TURN) return;
      cost = 0;
      this.wait(socket);
      if (isPaced) return;
      isPaced = true;
      // A body that wants more data resumes its socket.
      socket.on('resume', () => {
        if (this.waiting.has(socket)) socket.pause();
      });
      socket.once('close', () => this.waiting.delete(socket));
    };
  }

  private wait(socket: Socket): void {
    this.waiting.add(socket);
    socket.pause();
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      const [next] = this.waiting;
      if (!next) return;
      this.waiting.delete(next);
      next.resume();
      if (this.waiting.size > 0) this.schedule();
    });
  }
}
