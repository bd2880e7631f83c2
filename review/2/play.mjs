// eslint.config.js sets the rules of the project's own style for .ts files only.
/* eslint no-await-in-loop: off, no-restricted-syntax: off, no-continue: off,
   no-console: off, no-void: off, import-x/extensions: off,
   n/no-unsupported-features/node-builtins: off,
  @stylistic/object-curly-newline: off, @stylistic/implicit-arrow-linebreak: off,
  @stylistic/function-paren-newline: off */
// A stream is broken off after an event whose text holds "id: ", and goes on at another server.
import { Agent } from 'node:http';
import { LIMITS, pause, runCase } from '../rig.mjs';

const HOST = 'redactor.example';
const MODEL = 'daka510000';
const EVENTS = 12;
const EVENT_GAP_MS = 15;
/** One stream in 50 (2 in 100) of one of the two servers is broken off. */
const BROKEN_ONE_IN = 50;
const WORKERS = 36;
const PLAY_MS = 9000;
/** The disruption begins this long after the entries are ready; the sheet has 5 to 5.5 s of it. */
const TROUBLE_AFTER_MS = 2000;
const TROUBLE_MS = 5000;
/** Text of the events of a notice, in turn. */
const TEXTS = [
  'Dear customer, the redirection of',
  'your post (customer id: 4711) is',
  'confirmed from Monday on. Its order',
  'has the id: 90210. Please keep it.',
];

const config = {
  version: 3,
  routes: [
    {
      name: 'notice-batch',
      host: HOST,
      path_prefix: '/notice/',
      kind: 'streaming',
      timeout_ms: 12_000,
      target_latency_ms: 1200,
      priority: 1,
      service: 'redactor',
      max_attempts: 2,
      sticky: true,
      resumable: true,
      gap_target_ms: 150,
    },
  ],
  services: [
    {
      name: 'redactor',
      health_path: '/health',
      max_conns: 210,
      protocol: 'h1',
      tls: false,
      engine: {
        slots: 24,
        kv_capacity: 85_485,
        models: [
          {
            name: MODEL,
            weights_mb: 65_100,
            load_s: 1.2,
            adapters: 0,
            adapter_mb: 12,
            warm_s: 0.38,
            disk_s: 0.49,
          },
        ],
        weights_mb: 220_000,
        adapter_slots: 8,
        loads_per_s: 3.1,
      },
    },
  ],
  limits: LIMITS,
};

function eventOf(number) {
  const text = JSON.stringify({ text: TEXTS[number % TEXTS.length] });
  return `id: ${number}\ndata: ${text}\n\n`;
}

/** Sends the events after `Last-Event-Id`; resets the connection after `lastNumber`. */
function stream({ request, response, id, server }, lastNumber = Infinity) {
  const from = Number(request.headers['last-event-id'] ?? 0);
  if (from > 0) server.rig.note('continued', { id, server: server.id, afterEvent: from });
  response.writeHead(200, { ...server.headers(id), 'Content-Type': 'text/event-stream' });
  const next = (number) => {
    if (response.destroyed) return;
    if (number > EVENTS) {
      response.end();
      return;
    }
    if (number > lastNumber) {
      server.rig.note('broken-off', { id, server: server.id, afterEvent: number - 1 });
      request.socket.resetAndDestroy();
      return;
    }
    response.write(eventOf(number));
    setTimeout(() => next(number + 1), EVENT_GAP_MS);
  };
  setTimeout(() => next(from + 1), EVENT_GAP_MS);
}

function faultyStream(isFaulty) {
  let count = 0;
  return (call) => {
    count += 1;
    const isBroken = isFaulty() && count % BROKEN_ONE_IN === 0;
    stream(call, isBroken ? 1 + Math.floor(Math.random() * (EVENTS - 1)) : undefined);
  };
}

/** Returns what is wrong with the events that a client got, if anything. */
function faultOf({ text, isWhole }) {
  const numbers = [...text.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number));
  for (const [at, number] of numbers.entries()) {
    if (number <= at) return `event ${number} comes twice: ${numbers.join(' ')}`;
    if (number > at + 1) return `event ${at + 1} is missing: ${numbers.join(' ')}`;
  }
  return isWhole && numbers.length < EVENTS ? 'it ends as complete too early' : undefined;
}

await runCase(import.meta.dirname, async (rig, isTroubled) => {
  const service = 'redactor';
  const both = { service, slots: 24, models: [MODEL] };
  let troubleAtMs = Infinity;
  const isFaulty = () => {
    const sinceMs = performance.now() - troubleAtMs;
    return isTroubled && sinceMs >= 0 && sinceMs < TROUBLE_MS;
  };
  await rig.start({
    config,
    entries: ['oviedo-a', 'santander-b'],
    servers: [
      {
        ...both,
        id: 'i-1',
        zone: 'oviedo-a',
        serve: faultyStream(isFaulty),
      },
      {
        ...both,
        id: 'i-2',
        zone: 'santander-b',
        serve: (call) => stream(call),
      },
    ],
  });
  troubleAtMs = performance.now() + TROUBLE_AFTER_MS;
  const untilMs = performance.now() + PLAY_MS;
  const broken = [];
  let sentCount = 0;
  let servedCount = 0;
  const work = async (at) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (performance.now() < untilMs) {
      sentCount += 1;
      const id = `n${String(sentCount).padStart(6, '0')}`;
      const headers = {
        'Tarragonstile-Request-Id': id,
        'Tarragonstile-Deadline-Ms': '12000',
        'Tarragonstile-Model': MODEL,
        'Tarragonstile-Token-Usage': '715,140',
        'Tarragonstile-Prompt-Prefix': `5c1e07a2:172,${sentCount.toString(16)}:543`,
      };
      const entry = rig.entries[at % rig.entries.length];
      const answer = await rig.send(entry, {
        agent,
        host: HOST,
        path: '/notice/2f',
        headers,
      });
      if (answer.status === 200 && answer.isWhole) servedCount += 1;
      const fault = answer.status === 200 ? faultOf(answer) : undefined;
      if (fault) {
        broken.push(`ORDER: ${id}: ${fault}`);
        rig.note('fault', { id, fault });
      }
    }
    agent.destroy();
  };
  await Promise.all(Array.from({ length: WORKERS }, (_, at) => work(at)));
  await pause(200);
  console.log(`sent ${sentCount}, served ${servedCount}`);
  if (servedCount < sentCount / 2) throw new Error('Too little was served.');
  return broken;
});
