// eslint.config.js sets the rules of the project's own style, and leaves the layout to Prettier, for .ts files only.
/* eslint no-await-in-loop: off, no-restricted-syntax: off, no-continue: off, no-void: off,
   no-use-before-define: off, max-classes-per-file: off, import-x/extensions: off,
   import-x/no-useless-path-segments: off, n/no-process-exit: off,
   n/no-unsupported-features/node-builtins: off, curly: off,
   @stylistic/max-len: off, @stylistic/object-curly-newline: off,
   @stylistic/operator-linebreak: off, @stylistic/implicit-arrow-linebreak: off,
   @stylistic/function-paren-newline: off, @stylistic/nonblock-statement-body-position: off */
// A part of prompts crashes each server that begins an answer on it. It is the twentieth part of each prompt.
import { call, pause, requestHeaders, runCase } from '../rig-2.mjs';

const CONTACT_MS = 3000;
/** TERMS.md, BUDGET: "more than three requests with a part that crashes servers". */
const ALLOWED = 3;
const CRASHES = 5;
/** Number of parts before the one that crashes servers, such as the turns of a long session. */
const PARTS_BEFORE = Number(process.env.PARTS_BEFORE ?? 19);
const ENGINES = 6;
const BACK_AFTER_MS = 3000;
/** Three heartbeat intervals of 1,200 ms. */
const LISTED_MS = 3600;
const PLAY_MS = 45_000;
const DEADLY_PART = 'dead0001';
const CRASH = { afterMs: 20, sends: 'nothing' };

const BEFORE = Array.from({ length: PARTS_BEFORE }, (_, at) => `aa${String(at).padStart(4, '0')}`);
let sentCount = 0;

/** A prompt that shares all parts with the others but its last one, and, if it is sound, the deadly one. */
function prompt(isDeadly) {
  sentCount += 1;
  const number = String(sentCount).padStart(6, '0');
  const parts = [...BEFORE, isDeadly ? DEADLY_PART : 'bb000001', `cc${number}`];
  return parts.map((part) => `${part}:40`).join(',');
}

async function draft({ port }, isDeadly) {
  const headers = requestHeaders(3000, {
    'Tarragonstile-Model': 'm1',
    'Tarragonstile-Token-Usage': '800,40',
    'Tarragonstile-Prompt-Prefix': prompt(isDeadly),
  });
  const body = `${isDeadly ? 'deadly' : 'sound'} ${sentCount}`;
  const answer = await call({
    port,
    path: '/draft/x',
    method: 'POST',
    headers,
    body,
  });
  return String(answer.error ?? answer.status);
}

await runCase(import.meta.dirname, async ({ record, start, isTroubled }) => {
  const routes = [
    {
      name: 'draft',
      kind: 'streaming',
      service: 'engine',
      targetLatencyMs: 250,
      timeoutMs: 12_000,
    },
  ];
  const site = await start({
    entryCount: 2,
    plainCount: 0,
    engineCount: 0,
    routes,
  });
  const { store, entries } = site;
  const crashedAtMs = [];
  const startedAtMs = performance.now();
  let isOver = false;
  const addEngine = async () => {
    const server = await site.addServer('engine', ['m1']);
    server.slots = 32;
    server.eventGapMs = 30;
    server.onChange();
    if (isTroubled) server.crashByPart = new Map([[DEADLY_PART, CRASH]]);
    server.onCrash = () => {
      crashedAtMs.push(performance.now());
      record.note(`${server.id} crashed (crash ${crashedAtMs.length})`);
      setTimeout(() => store.remove(`servers/${server.id}`), LISTED_MS);
      setTimeout(() => {
        if (!isOver) void addEngine();
      }, BACK_AFTER_MS);
    };
  };
  for (let at = 0; at < ENGINES; at += 1) await addEngine();
  await pause(6000);
  const ends = { deadly: {}, sound: {} };
  const calls = [];
  const send = (kind) => {
    const sending = draft(entries[sentCount % 2], kind === 'deadly').then((end) => {
      ends[kind][end] = (ends[kind][end] ?? 0) + 1;
    });
    calls.push(sending);
  };
  const playFromMs = performance.now();
  for (let tick = 0; performance.now() - playFromMs < PLAY_MS; tick += 1) {
    send('sound');
    // Two a second, after some seconds in which sound requests show that the other parts are sound.
    if (tick % 5 === 0 && performance.now() - playFromMs > 4000) send('deadly');
    await pause(100);
  }
  await Promise.all(calls);
  isOver = true;
  record.note(`ends: ${JSON.stringify(ends)}`);
  for (const entry of entries) record.note(`${entry.name} runs: ${entry.exit === undefined}`);
  const fifthAtMs = crashedAtMs[CRASHES - 1];
  record.note(`crashes of servers: ${crashedAtMs.length}`);
  const reached = site.servers
    .flatMap(({ id, requestLog }) => requestLog.map((request) => ({ ...request, server: id })))
    .filter(({ sharedParts }) => sharedParts.includes(DEADLY_PART))
    .sort((one, other) => one.atMs - other.atMs);
  const late = reached.filter(({ atMs }) => atMs > (fifthAtMs ?? Infinity) + CONTACT_MS);
  for (const { id, server, atMs } of late) {
    record.note(
      `  ${id} ran at ${server}, ${Math.round(atMs - fifthAtMs)} ms after the fifth crash`,
    );
  }
  record.note(
    `requests with the part that reached servers: ${reached.length}, of these later than ${CONTACT_MS} ms after the fifth crash: ${late.length} (allowed ${ALLOWED}); ${Math.round(performance.now() - startedAtMs)} ms`,
  );
  return late.length > ALLOWED;
});
