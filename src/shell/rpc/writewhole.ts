import type { Writable } from 'node:stream';

/** Writes and waits until the stream takes more, or has closed. */
export function writeWhole<Message>(stream: Writable, message: Message): Promise<void> {
  if (stream.destroyed || stream.writableEnded) return Promise.resolve();
  if (stream.write(message)) return Promise.resolve();
  return new Promise((resolve) => {
    const done = () => {
      stream.off('drain', done);
      stream.off('close', done);
      resolve();
    };
    stream.once('drain', done);
    stream.once('close', done);
  });
}
