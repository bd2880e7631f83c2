import { request } from 'node:http';
import { entryCommand } from './entrycommand.js';
import { Site } from './site.js';

/**
 * Sends requests to a real entry before and during its planned stop: for a model whose load never ends, to a server
 * that does not answer, and for a stream that stalls. Prints how they ended, as a JSON object of counts.
 */
const SEND_FOR_MS = 3600;
const SEND_EVERY_MS = 100;
const NEVER_MS = 600_000;

const HEADERS = { Host: 'caller.example', 'Tarragonstile-Deadline-Ms': '20000' };

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await pause(5);
}

function ask(port: number, path: string, model?: string): Promise<string> {
  const id = Math.random().toString(16).slice(2);
  const headers: Record<string, string> = { ...HEADERS, 'Tarragonstile-Request-Id': id };
  if (model !== undefined) headers['Tarragonstile-Model'] = model;
  const options = { host: '127.0.0.1', port, path, headers, method: 'POST', agent: false as const };
  return new Promise((resolve) => {
    const sent = request(options, (answer) => {
      answer.resume();
      answer.on('end', () => resolve(`${answer.statusCode}`));
      answer.on('error', () => resolve(`${answer.statusCode} broken off`));
    });
    sent.on('error', (error: NodeJS.ErrnoException) => {
      resolve(error.code === 'ECONNREFUSED' ? 'not taken' : 'no answer');
    });
    sent.end('x');
  });
}

const site = new Site();
await site.start(1, entryCommand);
const [entry] = site.entries;
const hasLogged = (text: string) => entry!.lines.some((line) => line.includes(text));
await waitUntil(() => hasLogged('state read') && hasLogged('order turn taken'));
for (const { server } of site.servers) {
  server.orderFaults.push(
    ...Array.from({ length: 50 }, () => ({ type: 'late' as const, ms: NEVER_MS })),
  );
  if (server.service === 'plain') server.behaviors.push('silent');
  else server.behaviors.push('paused');
}
const { port } = entry!;
const endings: Record<string, Promise<string>[]> = { model: [], silent: [], stream: [] };
endings.silent!.push(ask(port, '/charge/1'));
endings.stream!.push(ask(port, '/draft/1', 'm1'));
await waitUntil(
  () => site.servers.filter(({ server }) => server.requestLog.length > 0).length === 2,
);
entry!.end('SIGTERM');
await waitUntil(() => hasLogged('stopping'));
for (let atMs = 0; atMs < SEND_FOR_MS; atMs += SEND_EVERY_MS) {
  endings.model!.push(ask(port, '/draft/1', 'm3'));
  await pause(SEND_EVERY_MS);
}
const counts: Record<string, Record<string, number>> = {};
for (const [kind, requests] of Object.entries(endings)) {
  const ends: Record<string, number> = {};
  for (const end of await Promise.all(requests)) ends[end] = (ends[end] ?? 0) + 1;
  counts[kind] = ends;
}
console.log(JSON.stringify(counts));
await site.close();
process.exit(0);
