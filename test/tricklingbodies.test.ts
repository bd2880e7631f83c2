import test from 'ava';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { systemClock } from '../src/base/index.js';
import { callOnce, type Channel } from '../src/shell/http1/index.js';

type Receiver = Parameters<Channel['send']>[1];

const CALL = { method: 'GET', path: '/', headers: [] };
const NEVER_MS = 600_000;
/** Reads of one byte each, as of a peer that sends each byte in a packet of its own. */
const READS = 300_000;
const MAX_BYTES_PER_READ = 16;

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

function heldBytes(): number {
  collect();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

// Guards against memory that follows the number of reads: the bound on an answer is in bytes, and each read was kept as a
// Buffer of its own.
test('an answer that arrives byte by byte takes memory by its length', async (t) => {
  let receiver: Receiver | undefined;
  const channel = {
    send(_: unknown, given: Receiver) {
      receiver = given;
      return { isSent: true, received: { bytes: 0, pieces: 0 }, cancel() {}, resume() {} };
    },
  } as unknown as Channel;
  const answer = callOnce(channel, CALL, systemClock, NEVER_MS);
  const before = heldBytes();
  receiver?.head(200, [], 'length');
  for (let read = 0; read < READS; read += 1) receiver?.data(Buffer.from('x'));
  const grown = heldBytes() - before;
  receiver?.end();
  t.is((await answer).unwrap().body.length, READS);
  t.true(grown <= READS * MAX_BYTES_PER_READ, `${grown} bytes`);
});
