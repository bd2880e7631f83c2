// eslint.config.js sets the rules of the project's own style for .ts files only.
/* eslint no-await-in-loop: off, no-restricted-syntax: off, no-continue: off,
   no-console: off, no-void: off, import-x/extensions: off,
   n/no-unsupported-features/node-builtins: off,
  @stylistic/object-curly-newline: off, @stylistic/implicit-arrow-linebreak: off,
  @stylistic/function-paren-newline: off */
// Another writer puts a record with missing fields and an impossible port among the servers'
// records.
import { Agent } from 'node:http';
import { LIMITS, pause, runCase } from '../rig.mjs';

const HOST = 'padron.example';
const WORK_MS = 20;
const WORKERS = 12;
const PLAY_MS = 20_000;
const WRITE_AFTER_MS = 3000;
/** The platform starts a process again a little after it has ended. */
const RESTART_MS = 1000;
/** The rule counts machines on which processes end by themselves so often, from two machines on. */
const MAX_ENDS = 3;
const MIN_MACHINES = 2;
const BODY = 'found';

const config = {
  version: 3,
  routes: [
    {
      name: 'lookup',
      host: HOST,
      path_prefix: '/lookup/',
      kind: 'idempotent',
      timeout_ms: 1200,
      target_latency_ms: 193,
      priority: 2,
      service: 'padron',
      max_attempts: 2,
    },
  ],
  services: [
    {
      name: 'padron',
      health_path: '/health',
      max_conns: 110,
      protocol: 'h1',
      tls: false,
    },
  ],
  limits: LIMITS,
};

function answer({ response, id, server }) {
  setTimeout(() => {
    if (response.destroyed) return;
    response.writeHead(200, { ...server.headers(id), 'Content-Length': BODY.length });
    response.end(BODY);
  }, WORK_MS);
}

/** Starts each entry again that has ended, and counts its ends. */
function restartEntries(rig, ends) {
  return setInterval(() => {
    for (const entry of rig.entries) {
      if (entry.unexpectedExit === undefined) continue;
      const last = entry.lines.find((line) => line.includes('uncaught')) ?? '';
      const detail = /"detail":"([^"]*)"/.exec(last)?.[1];
      rig.note('ended-by-itself', { entry: entry.name, exit: entry.unexpectedExit, detail });
      ends.set(entry, (ends.get(entry) ?? 0) + 1);
      entry.unexpectedExit = undefined;
      entry.lines.length = 0;
      setTimeout(() => void entry.start(), RESTART_MS);
    }
  }, 100);
}

await runCase(import.meta.dirname, async (rig, isTroubled) => {
  await rig.start({
    config,
    entries: ['oviedo-a', 'oviedo-a', 'santander-b'],
    servers: [
      {
        id: 'i-1',
        service: 'padron',
        zone: 'oviedo-a',
        serve: answer,
      },
      {
        id: 'i-2',
        service: 'padron',
        zone: 'santander-b',
        serve: answer,
      },
    ],
  });
  const ends = new Map();
  const restarts = restartEntries(rig, ends);
  const untilMs = performance.now() + PLAY_MS;
  const counts = { sent: 0, served: 0 };
  const work = async (at) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (performance.now() < untilMs) {
      counts.sent += 1;
      const headers = {
        'Tarragonstile-Request-Id': `q${String(counts.sent).padStart(6, '0')}`,
        'Tarragonstile-Deadline-Ms': '2500',
      };
      const entry = rig.entries[at % rig.entries.length];
      const path = '/lookup/2f';
      const { status } = await rig.send(entry, {
        agent,
        method: 'GET',
        host: HOST,
        path,
        headers,
      });
      if (status === 200) counts.served += 1;
      await pause(status === 0 ? 200 : 20);
    }
    agent.destroy();
  };
  const workers = Array.from({ length: WORKERS }, (_, at) => work(at));
  await pause(WRITE_AFTER_MS);
  if (isTroubled) {
    const record = {
      service: 'padron',
      address: '127.0.0.1:81450',
      zone: 'oviedo-a',
      slots: 6,
      state: 'ready',
    };
    rig.note('other-writer', { key: 'servers/i-3', record });
    rig.store.put('servers/i-3', record);
  }
  await Promise.all(workers);
  clearInterval(restarts);
  await pause(RESTART_MS + 200);
  console.log(`sent ${counts.sent}, served ${counts.served}`);
  const endings = [...ends].filter(([, count]) => count >= MAX_ENDS);
  if (endings.length < MIN_MACHINES) return [];
  return endings.map(([{ name }, count]) => `Fault: ${name} ended by itself ${count} times`);
});
