import test from 'ava';
import { connect } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { systemClock } from '../src/base/index.js';
import { plannedStop, type Caller } from '../src/direct/index.js';
import { HttpCallerServer } from '../platform/httpcallerserver.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
const GRACE_MS = 8000;
/** In turn within the phases `finishing`, `refusing`, `ending` and `over`. */
const STEPS_MS = [3100, 6100, 7525, 7900];
/** Turns of the event loop in which the server has read what was written. */
const DELIVERY_TURNS = 100;
const HEAD = 'POST /a/1 HTTP/1.1\r\nHost: h\r\nTarragonstile-Request-Id: 1\r\n';

// Guards against an exit that closes connections whose callers still send a body, and have got no answer.
for (const rest of ['never', 'slowly'] as const) {
  test(`a stop refuses a request whose head came before and whose body comes ${rest}`, async (t) => {
    const accepted: Caller[] = [];
    const phases: string[] = [];
    const entry = {
      limits: undefined,
      accept: (caller: Caller) => accepted.push(caller),
      inFlight: 0,
      retire() {},
      release: () => Promise.resolve(),
      stopWaiting() {},
      endAll() {},
    };
    let skippedMs = 0;
    // Time passes in steps, so that a slow machine does not reach the end of the grace period.
    const clock = { ...systemClock, nowMs: () => skippedMs };
    const server = new HttpCallerServer(entry as never, clock, LOG, METRICS);
    const socket = connect(await server.listen('127.0.0.1', 0), '127.0.0.1');
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    socket.on('error', () => undefined);
    const closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    socket.write(`${HEAD}Content-Length: 100\r\n\r\nx`);
    while ((await server.connections()) === 0) await nextTurn();
    for (let turn = 0; turn < DELIVERY_TURNS; turn += 1) await nextTurn();
    const entered = (phase: string) => phases.push(phase);
    const options = { entry: entry as never, server, graceMs: GRACE_MS, clock, log: LOG, entered };
    let isOver = false;
    const exited = plannedStop(options).then(() => {
      isOver = true;
      // An exit closes all connections.
      server.close();
    });
    for (const atMs of STEPS_MS) {
      const count = phases.length;
      skippedMs = atMs;
      while (phases.length === count && !isOver) await nextTurn();
      if (rest === 'slowly' && socket.writable) socket.write('x');
    }
    await exited;
    await closed;
    t.is(text.match(/HTTP\/1\.1 503 /g)?.length, 1, text);
    t.regex(text, /"executed":"no"/);
    t.deepEqual(accepted, []);
  });
}
