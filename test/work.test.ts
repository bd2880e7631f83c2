import test from 'ava';
import { result, systemClock, VirtualClock, type Clock } from '../src/base/index.js';
import { refuse } from '../src/core/refusal/index.js';
import type { AnswerStream, EngineFailure } from '../src/port/index.js';
import type { Outlet } from '../src/sidecar/outlet.js';
import type { Permit, Slot } from '../src/sidecar/part/index.js';
import type { UpstreamCall } from '../src/sidecar/upstreamcall.js';
import { Work } from '../src/sidecar/work.js';
import { Executed, RequestHead, type AnswerEnd, type Frame } from '../src/wire/index.js';

type Body = NonNullable<Frame['body']>;

const metrics = { count() {}, gauge() {}, histogram() {} };
const log = { info() {}, warn() {}, error() {} };
const load = { running: 0, queued: 0, slots: 1, estimatedWaitMs: 0, ageMs: 0 };
const cut: EngineFailure = { type: 'upstream-cut', detail: 'Cut.', executed: 'unknown' };

/** An outlet that keeps what it is sent, in a form that is easy to compare. */
class Kept implements Outlet {
  readonly sent: string[] = [];

  readonly leave = new AbortController();

  readonly gone = this.leave.signal;

  send(body: Body): void {
    const show: Partial<Record<Body['$case'], () => string>> = {
      data: () => (body.$case === 'data' ? String(body.value.payload) : ''),
      end: () => (body.$case === 'end' ? this.end(body.value) : ''),
      refusal: () =>
        body.$case === 'refusal' ? `${body.value.type} ${Executed[body.value.executed]}` : '',
    };
    this.sent.push(show[body.$case]?.() ?? body.$case);
  }

  private end({ dataCount, failure, candidates }: AnswerEnd): string {
    return [`end ${dataCount} ${failure}`, ...candidates].join(' ');
  }

  ready(): undefined {
    return undefined;
  }

  wake(): void {}
}

/** Gives the pieces, each with its own resume token, and then the failure, if any. */
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

function workOf({ call, offer, clock = systemClock, ticket = '' }: Setup) {
  const released: string[] = [];
  const records: string[] = [];
  const slot = (): Slot => ({
    preempted: new AbortController().signal,
    progress: () => {},
    release: (how) => released.push(how),
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
  const outlet = new Kept();
  const head = RequestHead.fromPartial({ deadlineMs: 100, ticket });
  const context = { call, clock, metrics, log, parts: parts as never };
  return { work: new Work(context, 'r1', head, outlet), outlet, released, records };
}

test('a cut answer is resumed after its last piece', async (t) => {
  const tokens: (string | undefined)[] = [];
  const call: UpstreamCall = ({ resumeToken }) => {
    tokens.push(resumeToken);
    return Promise.resolve(result.Ok(resumeToken ? answer(['c']) : answer(['a', 'b'], cut)));
  };
  const { work, outlet, released } = workOf({ call });
  await work.run();
  t.deepEqual(tokens, [undefined, 'b']);
  t.deepEqual(outlet.sent, ['start', 'a', 'b', 'c', 'end 3 ']);
  t.deepEqual(released, ['answered', 'unpinned']);
});

test('a pre-empted answer gives its place back, and is resumed when it has one again', async (t) => {
  const preempt = new AbortController();
  const released: string[] = [];
  let offers = 0;
  const offer = () => {
    offers += 1;
    const preempted = offers === 1 ? preempt.signal : new AbortController().signal;
    const progress = () => preempt.abort();
    return Promise.resolve(
      result.Ok<Slot>({ preempted, progress, release: (how) => released.push(how) }),
    );
  };
  const call: UpstreamCall = ({ resumeToken }) =>
    Promise.resolve(result.Ok(resumeToken ? answer(['b']) : answer(['a'], cut)));
  const { work, outlet } = workOf({ call, offer });
  await work.run();
  t.deepEqual(outlet.sent, ['start', 'a', 'b', 'end 2 ']);
  t.deepEqual(released, ['preempted', 'answered']);
});

test('what waits past its deadline is refused and has not run', async (t) => {
  const clock = new VirtualClock();
  const call: UpstreamCall = () => Promise.resolve(result.Ok(answer([])));
  const { work, outlet, records } = workOf({ call, clock, offer: () => new Promise(() => {}) });
  const ended = work.run();
  await Promise.resolve();
  await Promise.resolve();
  clock.advanceTo(100);
  await ended;
  t.deepEqual(outlet.sent, ['deadline-passed EXECUTED_NO']);
  t.deepEqual(records, ['none']);
});

test('at the end of a stop, what runs ends as unknown', async (t) => {
  const call: UpstreamCall = (_call, signal) =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(result.Err(cut)));
    });
  const { work, outlet, records } = workOf({ call });
  const ended = work.run();
  await new Promise(setImmediate);
  work.expire(refuse('upstream-leaving', 'Leaving.'));
  await ended;
  t.deepEqual(outlet.sent, ['upstream-leaving EXECUTED_UNKNOWN']);
  t.deepEqual(records, ['unknown']);
});

test('an answer that a stop cuts off ends when its next place is known', async (t) => {
  async function* read(signal: AbortSignal) {
    yield result.Ok({ payload: Buffer.from('a'), tokenCount: 1, resumeToken: 'a' });
    await new Promise((resolve) => {
      signal.addEventListener('abort', resolve);
    });
    yield result.Err(cut);
  }
  const call: UpstreamCall = (_call, signal) =>
    Promise.resolve(result.Ok({ status: 200, headers: [], pieces: read(signal) }));
  const { work, outlet } = workOf({ call });
  const ended = work.run();
  await new Promise(setImmediate);
  let place = (_upstreams: string[]) => {};
  const places = new Promise<string[]>((resolve) => {
    place = resolve;
  });
  work.expire(refuse('upstream-leaving', 'Leaving.'), places);
  await new Promise(setImmediate);
  t.deepEqual(outlet.sent, ['start', 'a']);
  place(['u2']);
  await ended;
  t.deepEqual(outlet.sent, ['start', 'a', 'end 1 upstream-leaving u2']);
});

test('a run under a ticket goes on when its caller leaves, and is recorded', async (t) => {
  const call: UpstreamCall = () => Promise.resolve(result.Ok(answer(['done'])));
  const { work, outlet, records } = workOf({ call, ticket: 't1' });
  outlet.leave.abort();
  await work.run();
  t.deepEqual(records, ['answered']);
});
