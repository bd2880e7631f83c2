// eslint.config.js sets the rules of the project's own style, and leaves the layout to Prettier, for .ts files only.
/* eslint no-await-in-loop: off, no-restricted-syntax: off, no-continue: off, no-void: off,
   no-use-before-define: off, max-classes-per-file: off, import-x/extensions: off,
   import-x/no-useless-path-segments: off, n/no-process-exit: off,
   n/no-unsupported-features/node-builtins: off, curly: off,
   @stylistic/max-len: off, @stylistic/object-curly-newline: off,
   @stylistic/operator-linebreak: off, @stylistic/implicit-arrow-linebreak: off,
   @stylistic/function-paren-newline: off, @stylistic/nonblock-statement-body-position: off */
// Common parts of the scripts of this review: one small deployment on loopback with the project's own entry, started by the
// command of the deploy file, and the project's stand-ins for the store and the servers.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { connect, createServer } from 'node:net';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { configurationOf, PlatformServer, PlatformStore } from '../dist/standin/platform/index.js';

export const HOST = 'caller.example';
const MAX_CASE_MS = 110_000;
const ROOT = join(import.meta.dirname, '..');
/** Limits as `fleetbench wire` shows them for the site. */
export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
};

export function pause(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function freePort() {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address();
  server.close();
  await once(server, 'close');
  return port;
}

async function deployCommand() {
  const text = await readFile(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(text);
  return command.split(' ');
}

/** An entry process of the deploy file. */
class Entry {
  constructor(name, settings, directory) {
    Object.assign(this, {
      name,
      settings,
      directory,
      exit: undefined,
      lines: [],
    });
    this.port = Number(settings.callersAddress.split(':')[1]);
    this.readyPort = Number(settings.readinessAddress.split(':')[1]);
  }

  async start() {
    const file = join(this.directory, `${this.name}.jsonc`);
    await writeFile(file, JSON.stringify(this.settings));
    const [program, ...args] = await deployCommand();
    const { PATH, HOME, LANG } = process.env;
    const env = {
      PATH,
      HOME,
      LANG,
      TARRAGONSTILE_NODE_FILE: file,
    };
    const child = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    this.child = child;
    this.exit = undefined;
    for (const stream of [child.stdout, child.stderr]) {
      let rest = '';
      stream.on('data', (chunk) => {
        const parts = (rest + chunk).split('\n');
        rest = parts.pop();
        this.lines.push(...parts);
      });
    }
    child.on('exit', (code, signal) => {
      if (this.child === child) this.exit = { code, signal };
    });
  }

  /** Resident memory in MB, now and at its peak. */
  async memory() {
    try {
      const status = await readFile(`/proc/${this.child.pid}/status`, 'utf8');
      const mb = (name) =>
        Math.round(Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)[1]) / 1024);
      return { nowMb: mb('VmRSS'), peakMb: mb('VmHWM') };
    } catch {
      return undefined;
    }
  }

  async isReady() {
    const answer = await call({ port: this.readyPort, path: '/readiness', timeoutMs: 1000 });
    return answer.status === 200;
  }

  async waitReady() {
    for (let count = 0; count < 200; count += 1) {
      if (await this.isReady()) return;
      await pause(100);
    }
    throw new Error(`${this.name} is not ready: ${this.lines.slice(-5).join(' | ')}`);
  }

  async close() {
    const { child } = this;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    child.kill('SIGCONT');
    child.kill('SIGKILL');
    await once(child, 'exit');
  }
}

/** Makes one call on a connection of its own. Never rejects. */
export function call({ port, path, method = 'GET', headers = {}, body, timeoutMs = 5000 }) {
  const startedAtMs = performance.now();
  return new Promise((resolve) => {
    const end = (outcome) =>
      resolve({ ...outcome, tookMs: Math.round(performance.now() - startedAtMs) });
    const request = httpRequest({
      host: '127.0.0.1',
      port,
      path,
      method,
      headers,
      agent: false,
    });
    const timer = setTimeout(() => {
      request.destroy();
      end({ error: 'timeout' });
    }, timeoutMs);
    request.on('error', (error) => {
      clearTimeout(timer);
      end({ error: error.code ?? error.message });
    });
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', (error) => end({ status: response.statusCode, error: error.code }));
      response.on('end', () => {
        clearTimeout(timer);
        end({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        });
      });
    });
    request.end(body);
  });
}

let callCount = 0;

/** Headers of an ordinary request. */
export function requestHeaders(deadlineMs = 2000, more = {}) {
  callCount += 1;
  return {
    Host: HOST,
    'Tarragonstile-Request-Id': `r${process.pid.toString(16)}-${callCount}`,
    'Tarragonstile-Deadline-Ms': String(deadlineMs),
    ...more,
  };
}

const ROUTES = [
  {
    name: 'lookup',
    kind: 'idempotent',
    service: 'plain',
    maxAttempts: 2,
  },
  { name: 'charge', kind: 'non_idempotent', service: 'plain' },
  { name: 'draft', kind: 'streaming', service: 'engine' },
  {
    name: 'batch',
    kind: 'streaming',
    service: 'engine',
    maxAttempts: 2,
    resumable: true,
  },
];

/** Starts a store, servers and entries with the settings of a small deployment. */
export async function startSite({
  entryCount = 1,
  plainCount = 3,
  otherCount = 0,
  engineCount = 2,
  settings = {},
  routes = ROUTES,
  names = [],
  storeFor,
} = {}) {
  const directory = await mkdtemp(join(tmpdir(), 'tarragonstile-review-'));
  const store = new PlatformStore();
  const storeAddress = await store.listen();
  const servers = [];
  const add = async (service, models) => {
    const server = new PlatformServer(
      `s${servers.length + 1}`,
      service,
      `z${(servers.length % 2) + 1}`,
    );
    for (const model of models) server.models.set(model, new Set());
    await server.listen();
    server.onChange = () => store.put(`servers/${server.id}`, server.entry());
    servers.push(server);
    store.put(`servers/${server.id}`, server.entry());
    return server;
  };
  for (let at = 0; at < plainCount; at += 1) await add('plain', []);
  for (let at = 0; at < otherCount; at += 1) await add('other', []);
  for (let at = 0; at < engineCount; at += 1) await add('engine', [`m${(at % 2) + 1}`]);
  let version = 0;
  const configure = (nextRoutes = routes, limits = LIMITS) => {
    version += 1;
    store.put('op/config', { ...configurationOf(version, HOST, nextRoutes), limits });
    return version;
  };
  configure();
  const entries = [];
  for (let at = 0; at < entryCount; at += 1) {
    const name = names[at] ?? `entry-${at}`;
    const ports = [];
    for (let count = 0; count < 4; count += 1) ports.push(await freePort());
    const [callers, readiness, peer, metricsPort] = ports;
    entries.push(
      new Entry(
        name,
        {
          host: name,
          ip: '127.0.0.1',
          availabilityZone: `z${(at % 2) + 1}`,
          cpuShare: 0.513,
          cores: 1,
          memoryMb: 350,
          maxDescriptors: 4200,
          callersAddress: `127.0.0.1:${callers}`,
          readinessAddress: `127.0.0.1:${readiness}`,
          peerPorts: [peer, peer],
          metricsPort,
          storeAddress: storeFor ? await storeFor(name, storeAddress) : storeAddress,
          leastLeaseMs: 1000,
          heartbeatMs: 1200,
          graceS: 8,
          retryRatio: 0.2,
          retrySlack: 56,
          retryWindowS: 10,
          orderTurnMs: 3000,
          loadWindowS: 5,
          loadOvershoot: 1.1,
          loadAware: 'auto',
          poisonKeepS: 86_400,
          ...settings,
        },
        directory,
      ),
    );
  }
  const stop = async () => {
    for (const entry of entries) await entry.close();
    for (const server of servers) server.close();
    store.close();
    await rm(directory, { recursive: true, force: true });
  };
  for (const entry of entries) await entry.start();
  for (const entry of entries) await entry.waitReady();
  return {
    store,
    storeAddress,
    servers,
    entries,
    configure,
    addServer: add,
    stop,
  };
}

/** Settings of a machine of the grown sites (`limits` there), by its memory. */
export const GROWN_MACHINES = {
  small: {
    cpuShare: 0.243,
    cores: 1,
    memoryMb: 250,
    maxDescriptors: 4100,
  },
  large: {
    cpuShare: 0.675,
    cores: 2,
    memoryMb: 602,
    maxDescriptors: 8192,
  },
};

/** The raw bytes of an ordinary request without a body. */
export function plainRequest(deadlineMs = 3000) {
  const lines = Object.entries(requestHeaders(deadlineMs)).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `GET /lookup/x HTTP/1.1\r\n${lines.join('')}\r\n`;
}

/**
 * New callers that try one connection after the other: each opens one, sends its request `delayMs` later and waits for the
 * answer.
 */
export class Newcomers {
  constructor(port, { count, delayMs, pauseMs }) {
    Object.assign(this, {
      port,
      count,
      delayMs,
      pauseMs,
      isOver: false,
    });
    /** One entry a connection: its caller, when it was opened, and how it ended and when. */
    this.tries = [];
  }

  async run() {
    const callers = Array.from({ length: this.count }, async (_, caller) => {
      await pause((caller * this.pauseMs) / this.count);
      while (!this.isOver) {
        const atMs = performance.now();
        const end = await this.connect();
        this.tries.push({
          caller,
          atMs,
          end,
          endedAtMs: performance.now(),
        });
        await pause(this.pauseMs);
      }
    });
    await Promise.all(callers);
  }

  connect() {
    return new Promise((resolve) => {
      const socket = connect(this.port, '127.0.0.1');
      let received = '';
      const timer = setTimeout(() => {
        resolve('no answer');
        socket.destroy();
      }, 3000);
      socket.on('error', () => undefined);
      socket.on('connect', () => {
        setTimeout(() => {
          if (socket.writable) socket.write(plainRequest());
        }, this.delayMs);
      });
      socket.on('data', (data) => {
        received += data.toString('latin1');
        const status = /^HTTP\/1\.1 (\d+)/.exec(received)?.[1];
        if (status === undefined) return;
        resolve(status);
        socket.destroy();
      });
      socket.on('close', () => {
        clearTimeout(timer);
        resolve('closed unread');
      });
    });
  }

  /** Number of tries by how they ended. */
  counts() {
    const counts = {};
    for (const { end } of this.tries) counts[end] = (counts[end] ?? 0) + 1;
    return counts;
  }

  /**
   * Returns the longest time in which no connection was taken, and how many callers tried in it. A connection was taken if
   * its request was answered.
   */
  longestGap(fromMs, untilMs) {
    const taken = this.tries
      .filter(({ end }) => /^\d+$/.test(end))
      .map(({ endedAtMs }) => endedAtMs);
    const times = [
      fromMs,
      ...taken.filter((atMs) => atMs > fromMs && atMs < untilMs).sort((a, b) => a - b),
      untilMs,
    ];
    let longest = { gapMs: 0, callers: 0, fromMs };
    for (let at = 1; at < times.length; at += 1) {
      const gapMs = times[at] - times[at - 1];
      if (gapMs <= longest.gapMs) continue;
      const inGap = this.tries.filter(({ atMs }) => atMs > times[at - 1] && atMs < times[at]);
      longest = {
        gapMs,
        callers: new Set(inGap.map(({ caller }) => caller)).size,
        fromMs: times[at - 1],
      };
    }
    return longest;
  }
}

/**
 * Lets new callers try for `forMs`, and returns whether RECOVER is broken: the entry says that it is ready and takes no new
 * connection for `contactMs`, while seven callers or more try.
 */
export async function playNewcomers(record, entry, options, forMs, contactMs) {
  const newcomers = new Newcomers(entry.port, options);
  const fromMs = performance.now();
  const running = newcomers.run();
  const unready = [];
  while (performance.now() - fromMs < forMs) {
    if (!(await entry.isReady())) unready.push(performance.now());
    await pause(500);
  }
  const untilMs = performance.now();
  newcomers.isOver = true;
  await running;
  const gap = newcomers.longestGap(fromMs, untilMs);
  const isReady = !unready.some((atMs) => atMs >= gap.fromMs && atMs <= gap.fromMs + gap.gapMs);
  record.note(`new callers: connections by end ${JSON.stringify(newcomers.counts())}`);
  record.note(
    `longest time in which no new connection was taken: ${Math.round(gap.gapMs)} ms (bound ${contactMs}), callers that tried in it: ${gap.callers} (7 or more count), ready all the while: ${isReady}`,
  );
  return gap.gapMs > contactMs && gap.callers >= 7 && isReady;
}

/**
 * Runs a case: `play` returns true if the rule was broken. Exits with 1 then, with 0 if it held, and with 2 if the case
 * could not run. `TROUBLE=0` plays it without the disruption.
 */
export async function runCase(directory, play) {
  const record = new RecordFile(join(directory, 'record.txt'));
  const sites = [];
  const start = async (options) => {
    const site = await startSite(options);
    sites.push(site);
    return site;
  };
  const isTroubled = process.env.TROUBLE !== '0';
  record.note(isTroubled ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  let code = 2;
  const timer = setTimeout(() => {
    record.note('could not run: it took too long');
    for (const site of sites) for (const { child } of site.entries) child.kill('SIGKILL');
    void record.write().then(() => process.exit(2));
  }, MAX_CASE_MS);
  try {
    code = (await play({ record, start, isTroubled })) ? 1 : 0;
    record.note(code === 1 ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    record.note(`could not run: ${error.stack}`);
  }
  clearTimeout(timer);
  for (const site of sites) await site.stop();
  await record.write();
  process.exit(code);
}

/** Writes the lines of a record to a file, one after the other. */
export class RecordFile {
  constructor(file) {
    this.file = file;
    this.lines = [];
    this.startedAtMs = performance.now();
  }

  note(text) {
    const atS = ((performance.now() - this.startedAtMs) / 1000).toFixed(3);
    this.lines.push(`${atS} ${text}`);
  }

  async write() {
    await writeFile(this.file, `${this.lines.join('\n')}\n`);
  }
}
