import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { pipeline } from 'node:stream/promises';
import test from 'ava';
import { request } from 'undici';
import { FakeEngine, FakeService, fixedFaults } from '../standin/index.js';
import { GatedEngine } from './support/gatedengine.js';
import { startRig } from './support/pathrig.js';
import { readFirstChunk } from './support/reading.js';
import { Transcript } from './support/transcript.js';

type Rig = Awaited<ReturnType<typeof startRig>>;
type EngineOptions = ConstructorParameters<typeof FakeEngine>[0];

const read = async (answer: ReturnType<Rig['chat']>) => readFirstChunk(await answer);

async function withEngines(
  options: readonly EngineOptions[],
  use: (rig: Rig, engines: readonly FakeEngine[]) => Promise<void>,
  more: Partial<Parameters<typeof startRig>[0]> = {},
): Promise<void> {
  const engines = options.map((option) => new FakeEngine({ tokenMs: 1, tokens: 8, ...option }));
  const urls = await Promise.all(engines.map((engine) => engine.listen()));
  const rig = await startRig({ upstreams: urls.map((url) => ({ url })), ...more });
  await use(rig, engines);
  await rig.close();
  for (const engine of engines) engine.close();
}

test('invalid requests are refused with a typed problem and never run', async (t) => {
  const seen = new Transcript();
  await withEngines([{}], async (rig, [engine]) => {
    const chat = '/v1/chat/completions';
    await seen.answer('not JSON', await rig.ask(chat, '{"model":'));
    await seen.answer('no model', await rig.ask(chat, '{"stream":true}'));
    await seen.answer('unknown model', await rig.ask(chat, '{"model":"notice-9"}'));
    const wrongKey = { authorization: 'Bearer nobody' };
    await seen.answer('wrong key', await rig.ask(chat, '{"model":"notice-1"}', wrongKey));
    const oversize = JSON.stringify({ model: 'notice-1', prompt: 'x'.repeat(20_000) });
    await seen.answer('oversize', await rig.ask(chat, oversize));
    const deadline = { 'tarragonstile-deadline-ms': 'soon' };
    await seen.answer('deadline', await rig.ask(chat, '{"model":"notice-1"}', deadline));
    const kind = { 'tarragonstile-kind': 'parade' };
    await seen.answer('unknown kind', await rig.ask(chat, '{"model":"notice-1"}', kind));
    await seen.answer('no such path', await rig.ask('/v1/parades', undefined));
    await seen.answer('models', await rig.ask('/v1/models', undefined));
    await seen.answer('ready', await rig.ask('/readyz', undefined));
    t.is(engine?.ran, 0);
  });
  seen.check(t, 'path-refusals');
});

test('malformed HTTP and oversized headers get a typed error', async (t) => {
  const seen = new Transcript();
  await withEngines([{}], async (rig) => {
    const sendRaw = async (what: string, sent: string) => {
      const socket = connect(rig.port, '127.0.0.1');
      socket.end(sent);
      const answer = (await text(socket)).replace(/"requestId":"[^"]*"/, '"requestId":"REQUEST"');
      seen.note(what, answer.replace(/content-length: \d+/, 'content-length: N'));
    };
    await sendRaw('no HTTP', 'hello\r\n\r\n');
    await sendRaw('large headers', `GET / HTTP/1.1\r\nx: ${'x'.repeat(30_000)}\r\n\r\n`);
  });
  seen.check(t, 'path-unreadable');
});

test('a request with a space in a header name is refused, not passed on', async (t) => {
  await withEngines([{}], async (rig, [engine]) => {
    const socket = connect(rig.port, '127.0.0.1');
    const body = '{"model":"model-a","messages":[]}';
    const head = 'POST /v1/chat/completions HTTP/1.1\r\nHost: caller.example\r\nBad Header: 1\r\n';
    socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
    t.regex(await text(socket), /^HTTP\/1\.1 400 /);
    t.is(engine?.ran, 0);
  });
});

test('a cut stream is resumed at the same engine byte for byte', async (t) => {
  const seen = new Transcript();
  const faults = fixedFaults([{ type: 'none' }, { type: 'cut', afterTokens: 3 }]);
  await withEngines([{ faults }], async (rig, [engine]) => {
    const unbroken = await seen.answer('unbroken', await rig.chat('hello'));
    const resumed = await seen.answer('resumed', await rig.chat('hello'));
    t.is(resumed, unbroken);
    t.is(engine?.ran, 2);
  });
  seen.check(t, 'path-resume');
});

test('a stream whose engine is lost is continued at another engine byte for byte', async (t) => {
  const seen = new Transcript();
  // Faults apply to the calls of all engines in order: after the cut, both attempts to resume fail as well.
  const cut = { type: 'cut', afterTokens: 3 } as const;
  const faults = fixedFaults([{ type: 'none' }, cut, { type: 'loss' }, { type: 'loss' }]);
  await withEngines([{ faults }, { faults }], async (rig, engines) => {
    const unbroken = await seen.answer('unbroken', await rig.chat('hello'));
    const ranBefore = engines.map(({ ran }) => ran);
    const continued = await seen.answer('continued', await rig.chat('hello'));
    t.is(continued, unbroken);
    t.deepEqual(
      engines.map(({ ran }, index) => ran - ranBefore[index]!),
      [1, 1],
    );
  });
  seen.check(t, 'path-continue');
});

test('a stream that no engine can continue ends with a typed error event', async (t) => {
  const seen = new Transcript();
  // Far more tokens than the engine can generate before it is closed, even on a busy machine.
  await withEngines([{ tokens: 1_000_000 }], async (rig, [engine]) => {
    const answer = await rig.chat('hello');
    const reading = await readFirstChunk(answer);
    engine?.close();
    const rest = await reading.readAll();
    const [, event = ''] = /(event: error\n.*\n\n)$/.exec(rest) ?? [];
    seen.note('end', event.replace(/"(requestId|detail)":"[^"]*"/g, '"$1":"..."'));
  });
  seen.check(t, 'path-broken');
});

test('an answer to another request is not passed on, and the request runs at another engine', async (t) => {
  const seen = new Transcript();
  const faults = fixedFaults([{ type: 'crossing' }]);
  const late = fixedFaults([{ type: 'delay', delayMs: 30 }]);
  await withEngines([{ faults }, { faults: late }], async (rig) => {
    const [first, second] = await Promise.all([rig.chat('one'), rig.chat('two')]);
    await seen.answer('one', first);
    await seen.answer('two', second);
    const whole = JSON.stringify({ model: 'notice-1-galicia', prompt: 'three' });
    await seen.answer('not streamed', await rig.ask('/v1/completions', whole));
  });
  seen.check(t, 'path-crossed');
});

test('a caller that leaves frees the engine', async (t) => {
  const engine = new FakeEngine({ tokenMs: 1, tokens: 1_000_000 });
  const url = await engine.listen();
  const rig = await startRig({ upstreams: [{ url }] });
  const answer = await rig.chat('hello');
  const reading = await readFirstChunk(answer);
  reading.disconnect();
  let running = 1;
  while (running > 0) {
    const report = await request(`${url}/admin/report`);
    ({ running } = (await report.body.json()) as { running: number });
  }
  t.is(running, 0);
  await rig.close();
  engine.close();
});

test('a slow caller slows its engine down and no other caller', async (t) => {
  const total = 20_000;
  let written = 0;
  function* events(id: string, count: number): Iterable<string> {
    const data = JSON.stringify({ id, choices: [{ delta: { content: 'x'.repeat(4000) } }] });
    for (let index = 0; index < count; index += 1) {
      written += 1;
      yield `data: ${data}\n\n`;
    }
    yield 'data: [DONE]\n\n';
  }
  const serve = async (asked: IncomingMessage, response: ServerResponse) => {
    if (asked.method === 'GET') {
      response.writeHead(404).end();
      return;
    }
    const count = (await text(asked)).includes('quick') ? 50 : total;
    const id = String(asked.headers['x-request-id']);
    response.setHeader('content-type', 'text/event-stream');
    await pipeline(Readable.from(events(id, count)), response);
  };
  const server = createServer((asked, response) => {
    void serve(asked, response);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const rig = await startRig({ upstreams: [{ url: `http://127.0.0.1:${port}` }] });
  const slow = await rig.chat('slow');
  let before = -1;
  // Other requests are answered completely while the slow caller's stream is stalled.
  while (written !== before) {
    before = written;
    for (let round = 0; round < 20; round += 1) {
      await (await rig.ask('/readyz', undefined)).body.text();
    }
  }
  t.true(written < total / 2, `the engine wrote ${written} events before anyone read`);
  const quick = await (await rig.chat('quick')).body.text();
  t.is(quick.split('\n\n').length, 52);
  t.true(quick.endsWith('data: [DONE]\n\n'));
  t.is((await slow.body.text()).split('\n\n').length, total + 2);
  await rig.close();
  server.close();
});

test('a planned stop of an entry finishes its streams and refuses new requests', async (t) => {
  const seen = new Transcript();
  const engine = new GatedEngine();
  const rig = await startRig({ upstreams: [{ url: await engine.listen() }] });
  const readings = await Promise.all([rig.chat('a'), rig.chat('b')].map(read));
  const stopped = rig.stopEntry();
  await seen.answer('new request', await rig.chat('c'));
  await seen.answer('readiness', await rig.ask('/readyz', undefined));
  engine.release();
  for (const reading of readings) t.true((await reading.readAll()).endsWith('data: [DONE]\n\n'));
  await stopped;
  t.is(engine.runCount, 2);
  await rig.close();
  engine.close();
  seen.check(t, 'path-stop-entry');
});

test('a planned stop of a sidecar finishes its streams, and new requests go to another sidecar', async (t) => {
  const engines = [new GatedEngine(), new GatedEngine()];
  const urls = await Promise.all(engines.map((engine) => engine.listen()));
  const rig = await startRig({ upstreams: urls.map((url) => ({ url })) });
  const readings = await Promise.all(['a', 'b', 'c', 'd'].map((it) => rig.chat(it)).map(read));
  const stopped = rig.stopSidecar(0);
  const [ran, ranElsewhere] = engines.map((engine) => engine.runCount);
  const later = await Promise.all(['e', 'f', 'g'].map((it) => rig.chat(it)).map(read));
  t.deepEqual(
    engines.map((engine) => engine.runCount),
    [ran, ranElsewhere! + 3],
  );
  for (const engine of engines) engine.release();
  for (const reading of [...readings, ...later]) {
    t.true((await reading.readAll()).endsWith('data: [DONE]\n\n'));
  }
  await stopped;
  await rig.close();
  for (const engine of engines) engine.close();
});

test('a stream that is still running at the drain timeout ends with a typed error', async (t) => {
  const seen = new Transcript();
  const endless = { tokens: 1_000_000 };
  await withEngines(
    [endless],
    async (rig) => {
      const stream = await rig.chat('a');
      const reading = await readFirstChunk(stream);
      await rig.stopEntry();
      const [, event = ''] = /(event: error\n.*\n\n)$/.exec(await reading.readAll()) ?? [];
      seen.note('end', event.replace(/"requestId":"[^"]*"/, '"requestId":"REQUEST"'));
    },
    { drainTimeoutMs: 50 },
  );
  seen.check(t, 'path-stop-bound');
});

test('a plain service receives method, path, headers and body, and the caller its answer', async (t) => {
  const seen = new Transcript();
  const faults = fixedFaults([{ type: 'none' }, { type: 'none' }, { type: 'cut', afterTokens: 0 }]);
  const service = new FakeService({ faults });
  const rig = await startRig({ upstreams: [{ url: await service.listen(), type: 'plain' }] });
  const path = '/services/redactor';
  await seen.answer('lookup', await rig.ask(`${path}/addresses/7?zone=a`, undefined));
  const key = { 'x-business-key': 'transfer-1' };
  await seen.answer('confirmation', await rig.ask(`${path}/transfers`, '{}', key));
  const lost = { 'x-business-key': 'transfer-2' };
  const cut = await rig.ask(`${path}/transfers`, '{}', lost);
  t.like(await cut.body.json(), { executed: 'unknown', title: 'upstream cut' });
  t.is(service.runs('transfer-2'), 1);
  await seen.answer('no route', await rig.ask(`${path}/transfers`, '{}', {}, 'PUT'));
  await seen.answer('no service', await rig.ask('/services/parades/x', undefined));
  await rig.close();
  service.close();
  seen.check(t, 'path-plain');
});

test('a lookup is retried at its only upstream after the connection was cut', async (t) => {
  const service = new FakeService({ faults: fixedFaults([{ type: 'cut', afterTokens: 0 }]) });
  const rig = await startRig({ upstreams: [{ url: await service.listen(), type: 'plain' }] });
  const answer = await rig.ask('/services/redactor/addresses/7', undefined);
  t.is(answer.statusCode, 200);
  t.deepEqual(await answer.body.json(), { found: '/addresses/7' });
  t.is(service.ran, 2);
  await rig.close();
  service.close();
});

test('a request above the in-flight limit is refused with a type and a retry-after time', async (t) => {
  const seen = new Transcript();
  const limits = { inFlightPerCustomer: 1 };
  await withEngines(
    [{ tokens: 1_000_000 }],
    async (rig) => {
      const stream = await rig.chat('a');
      const reading = await readFirstChunk(stream);
      await seen.answer('second', await rig.chat('b'));
      reading.disconnect();
    },
    { limits },
  );
  seen.check(t, 'path-limits');
});
