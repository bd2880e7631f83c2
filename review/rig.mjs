// eslint.config.js sets the rules of the project's own style for .ts files only.
/* eslint no-await-in-loop: off, no-restricted-syntax: off, no-continue: off,
   no-console: off, no-void: off, import-x/extensions: off,
   n/no-unsupported-features/node-builtins: off,
  @stylistic/object-curly-newline: off, @stylistic/implicit-arrow-linebreak: off,
  @stylistic/function-paren-newline: off, max-classes-per-file: off,
   n/no-process-exit: off */
// A small deployment on loopback: entries as processes, with a store and servers as stand-ins
// in this process.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer, request as httpRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PlatformStore } from '../dist/standin/platform/platformstore.js';

const ROOT = join(import.meta.dirname, '..');
const HEARTBEAT_MS = 1200;
const PORTS = {
  front: 8149,
  ready: 8141,
  control: 8144,
  peers: [7380, 7395],
  metrics: 9464,
};
const READY_WITHIN_MS = 15_000;

/** Bounds of a small deployment, as its sheet names them. */
const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_timeout_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  max_skew_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 56,
  recovery_s: 12,
  pass_ms: 120,
  retry_after_s: 0,
  require_fencing: false,
  lease_ms: 3000,
  thaw_slack_ms: 300,
  ceiling_window_s: 5,
  ceiling_overshoot: 1.1,
};

export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
};

export const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

function valueAt(fields, path) {
  return path.split('.').reduce((value, name) => value?.[name], fields);
}

/** Renders the part of the template format that deploy/entry.jsonc uses. */
export function render(template, fields) {
  const section = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
  const kept = template.replace(section, (_, sign, path, inner) => {
    const value = valueAt(fields, path);
    const isThere = value !== undefined && value !== false;
    return isThere === (sign === '#') ? inner : '';
  });
  return kept.replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) =>
    JSON.stringify(valueAt(fields, path)),
  );
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.on('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns a loopback address on which every port of an entry is free. */
async function freeHost() {
  for (;;) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const host = `127.${part()}.${part()}.${part()}`;
    const ports = [PORTS.front, PORTS.ready, PORTS.control, PORTS.peers[0], PORTS.metrics];
    const free = await Promise.all(ports.map((port) => isFree(host, port)));
    if (free.every(Boolean)) return host;
  }
}

/** An entry as a process, run with the command of the deploy file. */
export class Entry {
  constructor(name, zone, host, directory, storeAddress, bounds) {
    Object.assign(this, {
      name,
      zone,
      host,
      directory,
      storeAddress,
      bounds,
    });
    this.lines = [];
    this.isStopping = false;
    this.unexpectedExit = undefined;
  }

  async start() {
    const deploy = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const template = await readFile(join(ROOT, 'deploy/entry.jsonc'), 'utf8');
    const file = join(this.directory, `${this.name}.jsonc`);
    await writeFile(file, render(template, this.fields()));
    this.isStopping = false;
    this.child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, TARRAGONSTILE_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const take = (chunk) => this.lines.push(...chunk.toString().split('\n').filter(Boolean));
    this.child.stdout.on('data', take);
    this.child.stderr.on('data', take);
    this.child.on('exit', (code, signal) => {
      if (!this.isStopping) this.unexpectedExit = `${code ?? signal}`;
    });
  }

  fields() {
    const address = (port) => `${this.host}:${port}`;
    return {
      node: this.name,
      role: 'entry',
      ip: this.host,
      zone: this.zone,
      internal_port_range: PORTS.peers,
      heartbeat_ms: HEARTBEAT_MS,
      limits: {
        cpu_share: 0.513,
        cores: 1,
        memory_mb: 350,
        max_fds: 4100,
      },
      listen: {
        front: address(PORTS.front),
        ready: address(PORTS.ready),
        control: address(PORTS.control),
      },
      bounds: { ...BOUNDS, ...this.bounds },
      platform: { address: this.storeAddress, ttl_min_ms: 1000 },
    };
  }

  isReady() {
    return new Promise((resolve) => {
      const asked = httpRequest(
        {
          host: this.host,
          port: PORTS.ready,
          path: '/readiness',
          timeout: 500,
          agent: false,
        },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      asked.on('timeout', () => asked.destroy());
      asked.on('error', () => resolve(false));
      asked.end();
    });
  }

  signal(name) {
    if (name === 'SIGTERM' || name === 'SIGKILL') this.isStopping = true;
    this.child.kill(name);
  }

  async close() {
    if (!this.child || this.child.exitCode !== null || this.child.signalCode !== null) return;
    this.isStopping = true;
    this.child.kill('SIGCONT');
    this.child.kill('SIGKILL');
    await once(this.child, 'exit');
  }
}

function sendJson(response, status, value) {
  const body = JSON.stringify(value);
  const headers = { 'Content-Type': 'application/json', 'Content-Length': body.length };
  response.writeHead(status, headers).end(body);
}

/** A server that runs requests. `serve` answers one; it is called when the run begins. */
export class Server {
  constructor(rig, { id, service, zone, slots = 6, models = [], serve, version = 'v1' }) {
    Object.assign(this, {
      rig,
      id,
      service,
      zone,
      slots,
      serve,
      version,
    });
    this.models = new Map(models.map((name) => [name, []]));
    this.seq = 0;
    this.orderCount = 0;
    this.born = Date.now();
    this.state = 'ready';
    this.running = 0;
    this.http = createServer((request, response) => void this.handle(request, response));
    this.http.keepAliveTimeout = 30_000;
  }

  async listen() {
    this.http.listen(0, '127.0.0.1');
    await once(this.http, 'listening');
    this.address = `127.0.0.1:${this.http.address().port}`;
    this.write();
    this.timer = setInterval(() => this.write(), HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.timer);
    this.http.closeAllConnections();
    this.http.close();
  }

  held() {
    return [...this.models].map(([name, adapters]) => ({ name, version: 1, adapters }));
  }

  /** Writes the server's record to the store. */
  write() {
    this.seq += 1;
    const { service, address, zone, version, slots, state, seq, born } = this;
    const models = this.models.size > 0 ? { stage: 'unified', models: this.held() } : {};
    const record = {
      service,
      address,
      zone,
      version,
      slots,
      state,
      seq,
      born,
      ...models,
    };
    this.rig.store.put(`servers/${this.id}`, { ...record, cold_remaining_ms: 0 });
  }

  async handle(request, response) {
    response.sendDate = false;
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const expected = request.headers['tarragonstile-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Tarragonstile-Instance-Id': this.id }).end();
      return;
    }
    if (request.url === '/report' || request.url === '/order') {
      this.control(request.url, Buffer.concat(chunks), response);
      return;
    }
    const id = request.headers['tarragonstile-request-id'];
    const model = request.headers['tarragonstile-model'];
    if (model !== undefined && !this.models.has(model)) {
      response.writeHead(421, { 'Tarragonstile-Not-Executed': '1' }).end();
      return;
    }
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    this.rig.note('run', { id, server: this.id, path: request.url });
    this.serve({
      request,
      response,
      id,
      server: this,
    });
  }

  control(path, body, response) {
    if (path === '/report') {
      const { born, orderCount: seq } = this;
      const state = {
        stage: 'unified',
        models: this.held(),
        busy: false,
        seq,
        born,
      };
      const load = {
        queued: 0,
        running: this.running,
        kv_used: 0,
        kv_total: 85_485,
        handles: 0,
      };
      sendJson(response, 200, { ...state, ...load });
      return;
    }
    const order = JSON.parse(body.toString());
    this.rig.note('order', { server: this.id, ...order });
    if (order.expected !== undefined && order.expected !== this.orderCount) {
      sendJson(response, 409, {});
      return;
    }
    this.orderCount += 1;
    const adapters = this.models.get(order.model);
    if (order.adapter !== undefined) adapters?.push(order.adapter);
    else if (order.op === 'load') this.models.set(order.model, []);
    else this.models.delete(order.model);
    sendJson(response, 202, {});
    this.write();
  }

  /** Headers of an answer to a request that was run. */
  headers(id) {
    return {
      'Tarragonstile-Request-Id': id,
      'Tarragonstile-Response-Signature': `${this.id}.${id}`,
      'Tarragonstile-Server-Load': `${this.running},0,${this.slots}`,
    };
  }
}

/** A deployment with its record of what was sent, run and answered. */
export class Rig {
  constructor(folder) {
    this.folder = folder;
    this.store = new PlatformStore();
    this.entries = [];
    this.servers = [];
    this.records = [];
    this.startedAtMs = performance.now();
  }

  note(what, fields) {
    const atMs = Math.round(performance.now() - this.startedAtMs);
    this.records.push({ atMs, what, ...fields });
  }

  /** Starts the store, the servers and the entries, and waits until the entries are ready. */
  async start({ config, servers, entries, storeAddress, bounds }) {
    this.directory = await mkdtemp(join(tmpdir(), 'tarragonstile-review-'));
    const own = await this.store.listen();
    this.storeOwnAddress = own;
    const address = storeAddress ? await storeAddress(own) : () => own;
    for (const options of servers) await this.addServer(options);
    this.store.put('op/config', config);
    for (const [at, zone] of entries.entries()) {
      const host = await freeHost();
      const name = `front-${zone}-${at + 1}`;
      this.entries.push(new Entry(name, zone, host, this.directory, address(at), bounds));
    }
    await Promise.all(this.entries.map((entry) => entry.start()));
    const untilMs = performance.now() + READY_WITHIN_MS;
    for (const entry of this.entries) {
      while (!(await entry.isReady())) {
        if (performance.now() > untilMs) throw new Error(`${entry.name} is not ready.`);
        await pause(100);
      }
    }
    this.note('ready', { entries: this.entries.map(({ name }) => name) });
  }

  async addServer(options) {
    const server = new Server(this, options);
    this.servers.push(server);
    await server.listen();
    return server;
  }

  /** Sends one client attempt and records its outcome. */
  send(entry, { agent, method = 'POST', host, path, headers, body = '', isNoted = true }) {
    const id = headers['Tarragonstile-Request-Id'];
    if (isNoted) this.note('sent', { id, entry: entry.name, path });
    return new Promise((resolve) => {
      const chunks = [];
      let isOver = false;
      const end = (outcome) => {
        if (isOver) return;
        isOver = true;
        const text = Buffer.concat(chunks).toString();
        if (isNoted) this.note('answered', { id, ...outcome, bytes: text.length });
        resolve({ ...outcome, text });
      };
      const sent = httpRequest(
        {
          host: entry.host,
          port: PORTS.front,
          agent,
          method,
          path,
          headers: { Host: host, 'Content-Length': Buffer.byteLength(body), ...headers },
        },
        (response) => {
          const { statusCode: status, headers: got } = response;
          const retryAfter = got['retry-after'];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('end', () => end({ status, isWhole: response.complete, retryAfter }));
          response.on('error', () => end({ status, isWhole: false }));
          response.on('close', () => end({ status, isWhole: false }));
        },
      );
      sent.on('error', (error) => end({ status: 0, isWhole: false, error: error.code }));
      sent.end(body);
    });
  }

  async close() {
    await Promise.all(this.entries.map((entry) => entry.close()));
    for (const server of this.servers) server.close();
    this.store.close();
    const lines = this.records.map((record) => JSON.stringify(record));
    await writeFile(join(this.folder, 'record.txt'), `${lines.join('\n')}\n`);
    if (process.env.LOGS) {
      const logs = this.entries.flatMap(({ name, lines: own }) => own.map((l) => `${name} ${l}`));
      await writeFile(join(tmpdir(), 'review-entries.log'), `${logs.join('\n')}\n`);
    }
    if (this.directory) await rm(this.directory, { recursive: true, force: true });
  }
}

/** Exit status of a broken rule; Node.js ends a script that fails to load with status 1. */
const BROKEN = 10;

/** Runs a case; exits with 0 if the rule held, `BROKEN` if not, 2 if it could not run. */
export async function runCase(folder, play) {
  const rig = new Rig(folder);
  const isTroubled = process.env.TROUBLE !== '0';
  let status = 2;
  try {
    const broken = await play(rig, isTroubled);
    for (const entry of rig.entries) {
      if (entry.unexpectedExit !== undefined) {
        broken.push(`${entry.name} ended by itself: ${entry.unexpectedExit}`);
      }
    }
    rig.note('verdict', { isTroubled, broken });
    for (const line of broken.slice(0, 10)) console.log(line);
    console.log(broken.length === 0 ? 'held' : `broken: ${broken.length}`);
    status = broken.length === 0 ? 0 : BROKEN;
  } catch (error) {
    console.log(`could not run: ${error.stack}`);
    rig.note('could-not-run', { detail: String(error) });
  }
  await rig.close();
  process.exit(status);
}
