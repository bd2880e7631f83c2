import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import type { Bench } from './bench.js';
import { processUsage } from './path/processusage.js';
import { entryCommand } from './soak/entrycommand.js';
import { Site } from './soak/site.js';

/** A load of streams. */
interface Load {
  /** Streams at a time, each followed by the next one on its connection. */
  readonly streams: number;
  readonly eventsPerStream: number;
  /** Pause before each event; without one the engine sends all events at once, and one read brings many. */
  readonly eventGapMs: number;
}

const PACED: Load = { streams: 120, eventsPerStream: 100, eventGapMs: 12 };
const AT_ONCE: Load = { streams: 12, eventsPerStream: 500, eventGapMs: 0 };
const ENGINE_SLOTS = 100;
/** Of these an entry may use a part, as there may be others. */
const MAX_CONNECTIONS = 4000;
const WARM_MS = 3000;
const DEFAULT_SECONDS = 8;
const MS_PER_S = 1000;
const US_PER_MS = 1000;
const READY_POLL_MS = 50;
const EVENT = Buffer.from('data: piece');
const LAST_CHUNK = Buffer.from('\r\n0\r\n\r\n');
const REQUEST =
  'POST /draft/1 HTTP/1.1\r\nHost: caller.example\r\nTarragonstile-Request-Id: @id\r\n' +
  'Tarragonstile-Model: m1\r\nContent-Length: 0\r\n\r\n';

/** Asks for one stream after the other on one connection and counts events in the raw bytes. */
function read(port: number, caller: number, counts: { events: number; broken: number }) {
  const socket = connect(port, '127.0.0.1');
  const tally = counts;
  let streams = 0;
  let end = Buffer.alloc(0);
  const ask = () => {
    streams += 1;
    socket.write(REQUEST.replace('@id', `b${caller}-${streams}`));
  };
  socket.on('data', (chunk) => {
    for (let at = chunk.indexOf(EVENT); at >= 0; at = chunk.indexOf(EVENT, at + 1)) {
      tally.events += 1;
    }
    if (!end.length && !chunk.includes(' 200 OK')) tally.broken += 1;
    end = Buffer.concat([end, chunk]).subarray(-LAST_CHUNK.length);
    if (!end.equals(LAST_CHUNK)) return;
    end = Buffer.alloc(0);
    ask();
  });
  socket.on('error', () => {
    tally.broken += 1;
  });
  ask();
  return socket;
}

async function measure({ streams, eventsPerStream, eventGapMs }: Load, measuredMs: number) {
  const limits = { engineSlots: ENGINE_SLOTS, maxConnections: MAX_CONNECTIONS };
  const site = new Site({ eventGapMs, engineCount: 3, ...limits });
  site.added = ({ server }) => Object.assign(server, { eventCount: eventsPerStream });
  await site.start(1, entryCommand);
  const [entry] = site.entries;
  while (!entry!.lines.some((line) => line.includes('state read'))) await wait(READY_POLL_MS);
  const counts = { events: 0, broken: 0 };
  const callers = Array.from({ length: streams }, (_, at) => read(entry!.port, at, counts));
  await wait(WARM_MS);
  const [from, before, fromMs] = [{ ...counts }, processUsage(entry!.pid), performance.now()];
  await wait(measuredMs);
  const [to, after, toMs] = [{ ...counts }, processUsage(entry!.pid), performance.now()];
  for (const socket of callers) socket.destroy();
  await site.close();
  const events = to.events - from.events;
  const cpuMs = after.cpuMs - before.cpuMs;
  return {
    events,
    broken: to.broken,
    eventsPerSecond: Math.round((events * MS_PER_S) / (toMs - fromMs)),
    entryCores: cpuMs / (toMs - fromMs),
    entryUsPerEvent: (cpuMs * US_PER_MS) / events,
  };
}

/** Measures the processor time that an entry of platform/ takes for an event of a stream; an argument sets the seconds. */
export const platformEvents: Bench = async ([seconds]) => {
  const measuredMs = Number(seconds ?? DEFAULT_SECONDS) * MS_PER_S;
  return { paced: await measure(PACED, measuredMs), atOnce: await measure(AT_ONCE, measuredMs) };
};
