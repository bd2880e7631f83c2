import test from 'ava';
import type { Socket } from 'node:net';
import { upstreamPool } from '../src/shell/engine/upstreampool.js';
import { RawServer } from './support/rawserver.js';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 400000\r\n\r\n';
/** More than a reader buffers. */
const PART = Buffer.alloc(70_000, 'x');
const REQUEST = { method: 'GET', path: '/' } as const;
/** Calls that take longer than what was written before needs to arrive. */
const CALLS = 10;

const CLOSES: Readonly<Record<string, (socket: Socket) => void>> = {
  'is reset': (socket) => socket.resetAndDestroy(),
  ends: (socket) => socket.end(),
};

// Guards against an assertion of the parser's client that ends the process: an engine is gone while the reader of its
// answer, for a slow caller, has the parser paused.
for (const [name, close] of Object.entries(CLOSES)) {
  test(`an engine's answer that is not read fails when its connection ${name}`, async (t) => {
    let peer: Socket | undefined;
    const cutting = await RawServer.listen((socket) => {
      peer = socket;
      socket.write(HEAD);
      socket.write(PART);
    });
    const sound = await RawServer.listen((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
    });
    const pool = upstreamPool(`http://${cutting.address}`, 1);
    const others = upstreamPool(`http://${sound.address}`, 1);
    t.teardown(async () => {
      await pool.destroy();
      await others.destroy();
      cutting.close();
      sound.close();
    });
    const passTime = async () => {
      for (let call = 0; call < CALLS; call += 1) await (await others.request(REQUEST)).body.dump();
    };
    const { body } = await pool.request(REQUEST);
    body.on('error', () => undefined);
    await passTime();
    close(peer!);
    await passTime();
    await t.throwsAsync(async () => {
      for await (const part of body) t.truthy(part);
    });
  });
}
