import { request } from 'node:http';
import { SlotGate } from '../../standin/platform/index.js';
import { entryCommand } from './entrycommand.js';
import { Site } from './site.js';

/**
 * Sends requests that may not be repeated to a real entry during its planned stop; servers need most of the grace period
 * for an answer, which the entry has seen before the stop. Prints as JSON how the requests ended, and how many of those
 * that a server has run got no 200.
 */
const SEND_EVERY_MS = 100;
/** The stand-in's 250 ms of work take 2.5 s, of a grace period of 4 s. */
const WORK_FACTOR = 10;
const SLOTS = 1000;
const NOT_TAKEN = 'not taken';

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await pause(5);
}

interface Ending {
  readonly id: string;
  readonly end: string;
}

let count = 0;

function ask(port: number): Promise<Ending> {
  count += 1;
  const id = `late-${count}`;
  const headers = {
    Host: 'caller.example',
    'Tarragonstile-Request-Id': id,
    'Tarragonstile-Deadline-Ms': '20000',
  };
  const options = { host: '127.0.0.1', port, path: '/charge/1', headers, method: 'POST' };
  return new Promise((resolve) => {
    const sent = request({ ...options, agent: false }, (answer) => {
      let text = '';
      answer.on('data', (chunk) => {
        text += chunk;
      });
      answer.on('end', () => {
        const { statusCode: status } = answer;
        if (status === 200) resolve({ id, end: '200' });
        else {
          const { type, executed } = JSON.parse(text) as { type: string; executed: string };
          resolve({ id, end: `${status} ${type.split(':').at(-1)} ${executed}` });
        }
      });
      answer.on('error', () => resolve({ id, end: `${answer.statusCode} broken off` }));
    });
    sent.on('error', (error: NodeJS.ErrnoException) => {
      resolve({ id, end: error.code === 'ECONNREFUSED' ? NOT_TAKEN : 'no answer' });
    });
    sent.end('x');
  });
}

const site = new Site({ maxConnections: 1000 });
await site.start(1, entryCommand);
const [entry] = site.entries;
const hasLogged = (text: string) => entry!.lines.some((line) => line.includes(text));
await waitUntil(() => hasLogged('state read'));
for (const { server } of site.servers) server.gate = new SlotGate(SLOTS, WORK_FACTOR);
const { port } = entry!;
await ask(port);
entry!.end('SIGTERM');
await waitUntil(() => hasLogged('stopping'));
const sent: Promise<Ending>[] = [];
const ended: string[] = [];
while (!ended.includes(NOT_TAKEN)) {
  const asked = ask(port);
  sent.push(asked);
  void asked.then(({ end }) => ended.push(end));
  await pause(SEND_EVERY_MS);
}
const run = new Set(site.servers.flatMap(({ server }) => server.requestLog.map(({ id }) => id)));
const ends: Record<string, number> = {};
let lost = 0;
for (const { id, end } of await Promise.all(sent)) {
  ends[end] = (ends[end] ?? 0) + 1;
  if (run.has(id) && end !== '200') lost += 1;
}
console.log(JSON.stringify({ ends, lost }));
await site.close();
process.exit(0);
