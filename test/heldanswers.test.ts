import test from 'ava';
import fc from 'fast-check';
import { VirtualClock, type RequestId, type ServiceId } from '../src/base/index.js';
import { ChargedBuffer } from '../src/core/bodybuffer/index.js';
import { EventSplitter } from '../src/core/eventstream/index.js';
import { Reply } from '../src/direct/run/reply.js';
import { RetryBudgets } from '../src/direct/retrybudgets.js';
import { Fleet } from '../src/direct/route/index.js';
import { Run } from '../src/direct/run/index.js';
import type { Refusal } from '../src/direct/index.js';
import type { UpstreamLink } from '../src/port/index.js';
import { fakeServing } from './support/fakeserving.js';

type Head = Parameters<Reply['take']>[0];

const BLOCK_BYTES = 65_536;
const BYTE = Buffer.from('x');
const PLAIN = { isStream: false, isResumable: false, origin: undefined };

function headOf(status: number, type = 'text/plain'): Head {
  const headers = ['content-type', type];
  return { status, headers, isNotRun: false, hasLength: false } as unknown as Head;
}

const STREAM = { isStream: true, isResumable: true, origin: undefined };

/** A reply, what its caller is sent and what is charged for it. */
interface ReplyRig {
  readonly reply: Reply;
  readonly writes: Buffer[];
  readonly ends: number[];
  chargedBytes: number;
  isMemoryShort: boolean;
}

function createReply(): ReplyRig {
  const writes: Buffer[] = [];
  const ends: number[] = [];
  const state = { chargedBytes: 0, isMemoryShort: false };
  const caller = {
    request: {},
    begin: () => undefined,
    write: (chunk: Buffer) => writes.push(chunk) > 0,
    end: () => ends.push(writes.length),
    charge: (bytes: number) => {
      state.chargedBytes += bytes;
    },
    get isMemoryShort(): boolean {
      return state.isMemoryShort;
    },
  };
  const reply = new Reply(caller as never, () => undefined);
  return Object.assign(state, { reply, writes, ends });
}

// Most answers and incomplete events are one piece: a block for each cost twice the time of reading a stream.
test('the only piece of a body is kept as it is if it takes little memory, and is charged', (t) => {
  let chargedBytes = 0;
  const buffer = new ChargedBuffer(100_000, (bytes) => {
    chargedBytes += bytes;
  });
  const piece = Buffer.from('piece');
  buffer.add(piece);
  t.true(chargedBytes >= piece.length);
  t.is(buffer.take(), piece);
  t.is(chargedBytes, 0);
  // A slice would keep the whole of a large block in memory, which is not charged.
  const slice = Buffer.alloc(BLOCK_BYTES).subarray(0, 5);
  buffer.add(slice);
  t.not(buffer.take().buffer, slice.buffer);
  t.is(chargedBytes, 0);
});

// Kept piece by piece, an answer took a hundred bytes or more of memory for each of its bytes.
test('an answer that arrives byte by byte is kept and passed on in blocks', (t) => {
  const { reply, writes, ends } = createReply();
  reply.take(headOf(200), PLAIN);
  for (let at = 0; at < 100_000; at += 1) reply.data(BYTE);
  t.is(writes.length, 0);
  reply.end();
  t.is(writes.length, 1);
  t.is(writes[0]!.length, 100_000);
  t.is(ends.length, 1);
});

test('a large answer that arrives byte by byte is passed on in blocks up to its bound', (t) => {
  const { reply, writes } = createReply();
  reply.take(headOf(200), PLAIN);
  for (let at = 0; at < 262_145; at += 1) reply.data(BYTE);
  t.deepEqual(
    writes.map(({ length }) => length),
    [262_144, 1],
  );
});

test('the memory of an incomplete event that arrives byte by byte follows its length', (t) => {
  let heldBytes = 0;
  const splitter = new EventSplitter(undefined, (bytes) => {
    heldBytes += bytes;
  });
  for (let at = 0; at < 100_000; at += 1) splitter.split(BYTE);
  t.true(heldBytes >= 100_000 && heldBytes <= 100_000 + BLOCK_BYTES, `${heldBytes}`);
  t.is(splitter.split(Buffer.from('\n\n'))?.payload.length, 100_002);
  t.is(heldBytes, 0);
});

test('an event larger than an event can be is given up, and nothing of it is passed on', (t) => {
  const splitter = new EventSplitter();
  for (let at = 0; at < 5; at += 1) t.is(splitter.split(Buffer.alloc(BLOCK_BYTES, 'x')), undefined);
  t.true(splitter.isEventTooLarge);
  t.is(splitter.split(Buffer.from('x\n\ndata: y\n\n')), undefined);
});

test('what a buffer charges is what it keeps, and is given back when it is taken or cleared', (t) => {
  for (const empty of ['take', 'clear'] as const) {
    let chargedBytes = 0;
    const buffer = new ChargedBuffer(1_000_000, (bytes) => {
      chargedBytes += bytes;
    });
    for (let time = 0; time < 3; time += 1) {
      for (let at = 0; at < 10_000; at += 1) buffer.add(Buffer.from('abc'));
      t.is(buffer.sizeBytes, 30_000);
      t.is(chargedBytes, buffer.capacityBytes);
      buffer[empty]();
      t.is(chargedBytes, 0);
      t.is(buffer.sizeBytes, 0);
    }
  }
});

test('without memory a sound answer is passed on as it comes, and a failure is held for another try', (t) => {
  const rig = createReply();
  const { reply, writes } = rig;
  reply.take(headOf(500), PLAIN);
  rig.isMemoryShort = true;
  reply.data(Buffer.from('no'));
  t.is(writes.length, 0);
  reply.setAside(true);
  reply.take(headOf(200), PLAIN);
  rig.isMemoryShort = false;
  reply.data(Buffer.from('one '));
  rig.isMemoryShort = true;
  reply.data(Buffer.from('two'));
  t.is(Buffer.concat(writes).toString(), 'one two');
  t.is(rig.chargedBytes, 0);
});

test('of two failures the later one is kept, and the memory of the earlier one is given back', (t) => {
  const rig = createReply();
  const { reply, writes } = rig;
  for (const text of ['first', 'second']) {
    reply.take(headOf(500), PLAIN);
    reply.data(Buffer.from(text));
    reply.setAside(true);
  }
  t.true(reply.useFallback());
  reply.end();
  t.is(Buffer.concat(writes).toString(), 'second');
  t.is(rig.chargedBytes, 0);
});

type Act = (rig: ReplyRig, bytes: number) => void;

/** What may happen to a reply while its attempts run, in any order that an attempt can cause. */
const ACTS: readonly Act[] = [
  ({ reply }, bytes) => {
    if (reply.canTake(headOf(200, 'text/event-stream')) && !reply.isHeld) {
      reply.take(headOf(200, 'text/event-stream'), STREAM);
      reply.data(Buffer.alloc(bytes, 'x'));
    }
  },
  ({ reply }, bytes) => {
    if (!reply.hasBegun && !reply.isHeld) reply.take(headOf(bytes % 2 ? 200 : 500), PLAIN);
  },
  ({ reply }, bytes) => {
    if (reply.isHeld) reply.data(Buffer.alloc(bytes, 'x'));
  },
  ({ reply }) => {
    if (reply.isHeld) reply.setAside(reply.status >= 500);
  },
  ({ reply }) => {
    if (!reply.hasBegun) reply.useFallback();
  },
  ({ reply }) => {
    reply.dropFallback();
  },
  (rig) => {
    Object.assign(rig, { isMemoryShort: !rig.isMemoryShort });
  },
];

const sequences = fc.array(
  fc.record({
    act: fc.constantFrom(...ACTS),
    bytes: fc.integer({ min: 1, max: 100_000 }),
  }),
  { minLength: 20, maxLength: 60, size: 'max' },
);

test('what is charged for answers is what is held, and nothing once the request is over', (t) => {
  fc.assert(
    fc.property(sequences, fc.boolean(), (steps, isEnded) => {
      const rig = createReply();
      const { reply } = rig;
      for (const { act, bytes } of steps) {
        act(rig, bytes);
        t.true(rig.chargedBytes >= 0);
        t.is(rig.chargedBytes, reply.heldBytes);
      }
      if (isEnded && reply.isHeld) reply.end();
      reply.discard();
      t.is(rig.chargedBytes, 0);
    }),
    { numRuns: 500 },
  );
});

/** A request whose upstream has sent a part of its answer. */
interface RunningRequest {
  readonly evict: () => void;
  readonly refusals: Refusal[];
  readonly events: string[];
  readonly lines: (readonly [string, Readonly<Record<string, unknown>>])[];
  readonly charged: () => number;
}

const ROUTE_MS = 30_000;
const SERVICE = 's' as ServiceId;

/** Starts a request of a kind, and has its upstream send the begin of an answer. */
function startRequest(
  kind: 'idempotent' | 'streaming',
  type: string,
  begin: string,
): RunningRequest {
  const clock = new VirtualClock();
  const fleet = new Fleet('z');
  const models = new Map();
  const info = { id: 'u1', service: SERVICE, address: 'u1', availabilityZone: 'z', slots: 9 };
  fleet.put({ ...info, isLeaving: false, models } as never);
  const refusals: Refusal[] = [];
  const events: string[] = [];
  const lines: [string, Readonly<Record<string, unknown>>][] = [];
  let chargedBytes = 0;
  let evict = () => {};
  const budgets = new RetryBudgets({ clock, ratio: 1, slack: 9, windowMs: 1000, parts: () => 1 });
  const isResumable = kind === 'streaming';
  const route = {
    ...{ name: 'r', host: 'h', pathPrefix: '/', kind, timeoutMs: ROUTE_MS, isResumable },
    ...{ targetLatencyMs: ROUTE_MS, gapTargetMs: ROUTE_MS, priority: 0, maxAttempts: 3 },
    ...{ destinations: [{ service: SERVICE, weight: 1 }], isPublic: true },
  };
  const link = {
    send: (
      { maySend }: Parameters<UpstreamLink['send']>[0],
      receiver: Parameters<UpstreamLink['send']>[1],
    ) => {
      maySend();
      clock.after(1, () => {
        receiver.head({ ...headOf(200, type), isForRequest: true });
        receiver.data(Buffer.from(begin));
      });
      const cancel = () => events.push('cancel');
      return { isSent: true, received: { bytes: 0, pieces: 0 }, cancel, resume() {} };
    },
  };
  const log = {
    info: () => undefined,
    warn: (line: string, fields = {}) => lines.push([line, fields]),
    error: () => undefined,
  };
  const serving = fakeServing({
    clock,
    fleet,
    log,
    link: link as unknown as UpstreamLink,
    decideAccess: () => ({ type: 'allowed', route }) as never,
    budgetOf: (service) => budgets.of(service),
    waitForTarget: () => new Promise(() => {}),
    origins: { record: () => undefined } as never,
  });
  const ignore = () => undefined;
  const caller = {
    request: {
      ...{ id: 'r1' as RequestId, path: '/', headers: [], sharedParts: [], arrivedAtMs: 0 },
      body: Buffer.alloc(0),
    },
    ...{ isPresent: true, isMemoryShort: false, onFree: ignore, onGone: ignore },
    begin: () => events.push('begin'),
    refuse: (refusal: Refusal) => refusals.push(refusal),
    write: () => true,
    end: () => events.push('end'),
    cut: () => events.push('cut'),
    charge: (bytes: number) => {
      chargedBytes += bytes;
    },
    onEvict: (act: () => void) => {
      evict = act;
    },
    whenPresent: (act: () => void) => act(),
  };
  const charge = { cost: 0, covers: () => true, settle: ignore };
  new Run(serving, { caller, route, charge } as never, ignore).start();
  clock.advanceTo(10);
  return { evict: () => evict(), refusals, events, lines, charged: () => chargedBytes };
}

// Its upstream has it: a refusal that says it did not run, or a 503, would have it run twice.
test('a request that is ended for the memory of its answer is told that it may have run', (t) => {
  const request = startRequest('idempotent', 'text/plain', 'x'.repeat(50_000));
  t.true(request.charged() >= 50_000);
  request.evict();
  const [refusal] = request.refusals;
  t.is(request.refusals.length, 1);
  t.is(refusal!.status, 502);
  t.is(refusal!.type, 'entry-memory');
  t.is(refusal!.executed, 'unknown');
  t.deepEqual(request.events, ['cancel']);
  t.is(request.charged(), 0);
  const line = request.lines.find(([message]) => message === 'answer given up for memory');
  t.is(line?.[1].upstream, 'u1');
  t.true((line?.[1].heldBytes as number) >= 50_000);
  request.evict();
  t.is(request.refusals.length, 1);
});

test('a stream that is ended for the memory of an incomplete event is cut', (t) => {
  const event = `id: 1\ndata: a\n\ndata: ${'x'.repeat(50_000)}`;
  const request = startRequest('streaming', 'text/event-stream', event);
  t.true(request.charged() >= 50_000);
  request.evict();
  t.deepEqual(request.events, ['begin', 'cancel', 'cut']);
  t.deepEqual(request.refusals, []);
  t.is(request.charged(), 0);
});
