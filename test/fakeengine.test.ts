import test from 'ava';
import type { Incarnation, ModelId, RequestId } from '../src/base/index.js';
import type { AnswerStream, Order } from '../src/port/index.js';
import { HttpEngine } from '../src/shell/engine/index.js';
import { expectedAnswer, FakeEngine, FakeWeightStore, fixedFaults } from '../standin/index.js';

const GIB = 1_073_741_824;
const TOKENS = 20;

function chat(requestId: string, content: string, extra: object = {}) {
  const ask = { model: 'm', stream: true, messages: [{ role: 'user', content }], ...extra };
  return {
    requestId: requestId as RequestId,
    attempt: 1,
    path: '/v1/chat/completions',
    headers: [],
    body: Buffer.from(JSON.stringify(ask)),
    streaming: true,
    model: 'm' as ModelId,
    priority: 0,
  };
}

function order(orderId: string, fields: Partial<Order>): Order {
  const model = 'm' as ModelId;
  return {
    orderId,
    fencingToken: 1 as Incarnation,
    action: 'load-model',
    model,
    version: '1',
    ...fields,
  };
}

interface Read {
  readonly text: string;
  readonly lastId: string;
  readonly failure?: string;
}

async function read({ pieces }: AnswerStream): Promise<Read> {
  let text = '';
  let lastId = '-1';
  for await (const piece of pieces) {
    if (piece.err) return { text, lastId, failure: piece.val.type };
    lastId = piece.val.resumeToken ?? lastId;
    for (const [, data = ''] of piece.val.payload.toString().matchAll(/^data: (\{.*)$/gm)) {
      text += (JSON.parse(data) as { choices: { delta: { content: string } }[] }).choices[0]!.delta
        .content;
    }
  }
  return { text, lastId };
}

async function withEngine(
  fake: FakeEngine,
  use: (engine: HttpEngine) => Promise<void>,
): Promise<void> {
  const engine = new HttpEngine(await fake.listen(), 16);
  await use(engine);
  await engine.close();
  fake.close();
}

const neverAborted = new AbortController().signal;

test('a cut answer is resumed at the same engine and is complete', async (t) => {
  const faults = fixedFaults([{ type: 'cut', afterTokens: 4 }]);
  const fake = new FakeEngine({ tokenMs: 1, faults });
  await withEngine(fake, async (engine) => {
    const cut = await read((await engine.generate(chat('r1', 'hello'), neverAborted)).unwrap());
    t.is(cut.failure, 'upstream-cut');
    const again = await engine.resume(chat('r1', 'hello'), cut.lastId, neverAborted);
    const rest = await read(again.unwrap());
    t.is(cut.text + rest.text, expectedAnswer('hello', TOKENS));
    t.is(fake.runs('r1'), 1);
  });
});

test('an answer that is continued from its text at another engine has the same bytes', async (t) => {
  const partial = expectedAnswer('hello', 7);
  const messages = [
    { role: 'user', content: 'hello' },
    { role: 'assistant', content: partial },
  ];
  await withEngine(new FakeEngine({ tokenMs: 1 }), async (engine) => {
    const continued = chat('r1', '', { messages, continue_final_message: true });
    const rest = await read((await engine.generate(continued, neverAborted)).unwrap());
    t.is(partial + rest.text, expectedAnswer('hello', TOKENS));
  });
});

test('an answer is resumed at another engine that imported its KV cache', async (t) => {
  const from = new FakeEngine({ faults: fixedFaults([{ type: 'cut', afterTokens: 4 }]) });
  const to = new FakeEngine();
  await withEngine(from, (left) =>
    withEngine(to, async (target) => {
      const cut = await read((await left.generate(chat('r1', 'hello'), neverAborted)).unwrap());
      const cache = (await left.exportCache('r1' as RequestId, Infinity)).unwrap();
      t.true((await target.importCache('r1' as RequestId, cache)).ok);
      const again = await target.resume(chat('r1', 'hello'), cut.lastId, neverAborted);
      t.is(cut.text + (await read(again.unwrap())).text, expectedAnswer('hello', TOKENS));
      t.is(to.runs('r1'), 0);
    }),
  );
});

test('a model is refused until an order has loaded it', async (t) => {
  const weightStore = new FakeWeightStore({ loadsPerSecond: 1000, speed: 100 });
  const fake = new FakeEngine({ memoryBytes: 10 * GIB, weightStore, speed: 20 });
  await withEngine(fake, async (engine) => {
    const unserved = await engine.generate(chat('r1', 'a'), neverAborted);
    t.like(unserved.val, { type: 'upstream-refused', executed: 'no' });
    t.true((await engine.order(order('o1', { sizeBytes: GIB }))).ok);
    t.true((await engine.order(order('o1', { sizeBytes: GIB }))).ok);
    let report = (await engine.report()).unwrap();
    while (!report.settledOrderIds.includes('o1')) report = (await engine.report()).unwrap();
    t.deepEqual(report.residents, [
      { model: 'm' as ModelId, version: '1', sizeBytes: GIB, phase: 'ready', adapters: [] },
    ]);
    const answer = await read((await engine.generate(chat('r2', 'a'), neverAborted)).unwrap());
    t.is(answer.text, expectedAnswer('a', TOKENS));
    t.is(fake.counts.loads, 1);
  });
  weightStore.close();
});

test('an old fencing token is refused if the engine checks it and accepted otherwise', async (t) => {
  for (const checksFencing of [true, false]) {
    const fake = new FakeEngine({ memoryBytes: GIB, checksFencing });
    await withEngine(fake, async (engine) => {
      await engine.order(order('o1', { sizeBytes: 1, fencingToken: 5 as Incarnation }));
      const late = order('o2', { model: 'other' as ModelId, sizeBytes: 1 });
      const answer = await engine.order(late);
      t.is(answer.err && answer.val.type, checksFencing && 'upstream-fenced');
      t.is(fake.counts.loads, checksFencing ? 1 : 2);
    });
  }
});

test('overcommitted memory crashes the engine and is counted', async (t) => {
  const residents = [{ model: 'm', sizeBytes: 3 * GIB }];
  const fake = new FakeEngine({ memoryBytes: 4 * GIB, residents });
  await withEngine(fake, async (engine) => {
    const before = (await engine.report()).unwrap().engineId;
    await engine.order(order('o1', { model: 'other' as ModelId, sizeBytes: 2 * GIB }));
    t.is(fake.overcommits, 1);
    const report = (await engine.report()).unwrap();
    t.not(report.engineId, before);
    t.deepEqual(report.residents, []);
  });
});

test('a disconnected caller frees its slot, and a cancelled answer cannot be resumed', async (t) => {
  const fake = new FakeEngine({ tokenMs: 1, tokens: 100_000 });
  await withEngine(fake, async (engine) => {
    const gone = new AbortController();
    const stream = (await engine.generate(chat('r1', 'a'), gone.signal)).unwrap();
    t.is((await engine.report()).unwrap().running, 1);
    const reading = read(stream);
    gone.abort();
    await reading;
    let report = (await engine.report()).unwrap();
    while (report.running > 0) report = (await engine.report()).unwrap();
    await engine.cancel('r1' as RequestId);
    const resumed = await engine.resume(chat('r1', 'a'), '0', neverAborted);
    t.is(resumed.err && resumed.val.type, 'upstream-refused');
  });
});

test('an answer that carries the id of another request is refused', async (t) => {
  const fake = new FakeEngine({ tokenMs: 1, faults: fixedFaults([{ type: 'crossing' }]) });
  await withEngine(fake, async (engine) => {
    const crossed = await engine.generate(chat('r1', 'a'), neverAborted);
    t.is(crossed.err && crossed.val.type, 'upstream-wrong-answer');
  });
});
