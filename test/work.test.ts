import test from 'ava';
import { result, systemClock, VirtualClock, type Clock } from '../src/base/index.js';
import { refuse } from '../src/core/refusal/index.js';
import type { AnswerStream, EngineFailure } from '../src/port/index.js';
import type { AnswerSink } from '../src/sidecar/answersink.js';
import type { Permit, Slot } from '../src/sidecar/part/index.js';
import type { UpstreamCall } from '../src/sidecar/upstreamcall.js';
import { Work } from '../src/sidecar/work.js';
import { Executed, RequestHead, type AnswerEnd, type Frame } from '../src/wire/index.js';

type Body = NonNullable<Frame['body']>;

const metrics = { count() {}, gauge() {}, histogram() {} };
const log = { info() {}, warn() {}, error() {} };
const load = { running: 0, queued: 0, slots: 1, estimatedWaitMs: 0, ageMs: 0 };
const cut: EngineFailure = { type: 'upstream-cut', detail: 'Cut.', executed: 'unknown' };

/** A sink that records the frames it is sent as strings. */
class RecordingSink implements AnswerSink {
  readonly sent: string[] = [];

  readonly leave = new AbortController();

  readonly gone = this.leave.signal;

  send(body: Body): void {
    const format: Partial<Record<Body['$case'], () => string>> = {
      data: () => (body.$case === 'data' ? String(body.value.payload) : ''),
      end: () => (body.$case === 'end' ? this.end(body.value) : ''),
      refusal: () =>
        body.$case === 'refusal' ? `${body.value.type} ${Executed[body.value.executed]}` : '',
    };
    this.sent.push(format[body.$case]?.() ?? body.$case);
  }

  private end({ dataCount, failure, candidates }: AnswerEnd): string {
    return [`end ${dataCount} ${failure}`, ...candidates].join(' ');
  }

  ready(): undefined {
    return undefined;
  }

  wake(): void {}
}

/** Returns an answer of these pieces, each with its own resume token, followed by the failure, if any. */
function answer(pieces: readonly string[], failure?: EngineFailure): AnswerStream {
  async function* read() {
    for (const piece of pieces) {
      await Promise.resolve();
      yield result.Ok({ payload: Buffer.from(piece), tokenCount: 1, resumeToken: piece });
    }
    if (failure) yield result.Err(failure);
  }
  return { status: 200, headers: [], pieces: read() };
}

interface Setup {
  readonly call: UpstreamCall;
  readonly offer?: () => Promise<ReturnType<typeof result.Ok<Slot>>>;
  readonly clock?: Clock;
  readonly ticket?: string;
}

function createWork({ call, offer, clock = systemClock, ticket = '' }: Setup) {
  const released: string[] = [];
  const records: string[] = [];
  const slot = (): Slot => ({
    preempted: new AbortController().signal,
    progress: () => {},
    release: (outcome) => released.push(outcome),
  });
  const permit: Permit = {
    type: 'run',
    start: () => undefined,
    record: ({ type }) => records.push(type),
  };
  const parts = {
    admission: { offer: offer ?? (() => Promise.resolve(result.Ok(slot()))), load: () => load },
    residency: { pin: () => result.Ok(() => released.push('unpinned')) },
    runOnce: { begin: () => Promise.resolve(result.Ok(permit)) },
  };
  const sink = new RecordingSink();
  const head = RequestHead.fromPartial({ deadlineMs: 100, ticket });
  const context = { call, clock, metrics, log, parts: parts as never };
  return { work: new Work(context, 'r1', head, sink), sink, released, records };
}

test('a cut answer is resumed after its last piece', async (t) => {
  const tokens: (string | undefined)[] = [];
  const call: UpstreamCall = ({ resumeToken }) => {
    tokens.push(resumeToken);
    return Promise.resolve(result.Ok(resumeToken ? answer(['c']) : answer(['a', 'b'], cut)));
  };
  const { work, sink, released } = createWork({ call });
  await work.run();
  t.deepEqual(tokens, [undefined, 'b']);
  t.deepEqual(sink.sent, ['start', 'a', 'b', 'c', 'end 3 ']);
  t.deepEqual(released, ['answered', 'unpinned']);
});

test('a pre-empted answer releases its slot and is resumed in the next slot', async (t) => {
  const preempt = new AbortController();
  const released: string[] = [];
  let offerCount = 0;
  const offer = () => {
    offerCount += 1;
    const preempted = offerCount === 1 ? preempt.signal : new AbortController().signal;
    const progress = () => preempt.abort();
    return Promise.resolve(
      result.Ok<Slot>({ preempted, progress, release: (outcome) => released.push(outcome) }),
    );
  };
  const call: UpstreamCall = ({ resumeToken }) =>
    Promise.resolve(result.Ok(resumeToken ? answer(['b']) : answer(['a'], cut)));
  const { work, sink } = createWork({ call, offer });
  await work.run();
  t.deepEqual(sink.sent, ['start', 'a', 'b', 'end 2 ']);
  t.deepEqual(released, ['preempted', 'answered']);
});

test('a request that is queued until its deadline is refused as not executed', async (t) => {
  const clock = new VirtualClock();
  const call: UpstreamCall = () => Promise.resolve(result.Ok(answer([])));
  const { work, sink, records } = createWork({ call, clock, offer: () => new Promise(() => {}) });
  const ended = work.run();
  await Promise.resolve();
  await Promise.resolve();
  clock.advanceTo(100);
  await ended;
  t.deepEqual(sink.sent, ['deadline-passed EXECUTED_NO']);
  t.deepEqual(records, ['none']);
});

test('a request that runs when the drain times out ends as executed unknown', async (t) => {
  const call: UpstreamCall = (_call, signal) =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(result.Err(cut)));
    });
  const { work, sink, records } = createWork({ call });
  const ended = work.run();
  await new Promise(setImmediate);
  work.expire(refuse('upstream-leaving', 'Leaving.'));
  await ended;
  t.deepEqual(sink.sent, ['upstream-leaving EXECUTED_UNKNOWN']);
  t.deepEqual(records, ['unknown']);
});

test('an answer that a stop cuts off ends when the upstreams that can continue it are known', async (t) => {
  async function* read(signal: AbortSignal) {
    yield result.Ok({ payload: Buffer.from('a'), tokenCount: 1, resumeToken: 'a' });
    await new Promise((resolve) => {
      signal.addEventListener('abort', resolve);
    });
    yield result.Err(cut);
  }
  const call: UpstreamCall = (_call, signal) =>
    Promise.resolve(result.Ok({ status: 200, headers: [], pieces: read(signal) }));
  const { work, sink } = createWork({ call });
  const ended = work.run();
  await new Promise(setImmediate);
  let place = (_upstreams: string[]) => {};
  const places = new Promise<string[]>((resolve) => {
    place = resolve;
  });
  work.expire(refuse('upstream-leaving', 'Leaving.'), places);
  await new Promise(setImmediate);
  t.deepEqual(sink.sent, ['start', 'a']);
  place(['u2']);
  await ended;
  t.deepEqual(sink.sent, ['start', 'a', 'end 1 upstream-leaving u2']);
});

test('a request with a ticket runs on and is recorded when its caller disconnects', async (t) => {
  const call: UpstreamCall = () => Promise.resolve(result.Ok(answer(['done'])));
  const { work, sink, records } = createWork({ call, ticket: 't1' });
  sink.leave.abort();
  await work.run();
  t.deepEqual(records, ['answered']);
});
