import test from 'ava';
import { result, VirtualClock, type Revision } from '../src/base/index.js';
import type { ChangeFeed, Log } from '../src/port/index.js';
import { SharedFeed } from '../src/direct/sync/index.js';
import { codec } from '../platform/codec.js';

type Told = Awaited<ReturnType<ChangeFeed['changes']>>;
type Changes = Extract<Told, { ok: true }>['val']['changes'];

const LOG: Log = { info() {}, warn() {}, error() {} };
const DOWN: Told = result.Err({ type: 'store-unavailable', detail: 'down' });

function beat(revision: number, count: number, state = 'ready'): Changes[number] {
  const value = JSON.stringify({
    service: 's',
    address: '10.0.0.1:1',
    zone: 'z',
    state,
    seq: count,
  });
  return { type: 'put', item: { key: 'servers/u1', value, revision: revision as Revision } };
}

function told(revision: number, changes: Changes = []): Told {
  return result.Ok({ changes, revision: revision as Revision });
}

/** One entry that reads the store, and one that asks it; the answers of the store are scripted. */
class Pair {
  readonly clock = new VirtualClock();

  /** The store's answers to the one who reads for both; it stays silent after the last. */
  readonly answers: Told[] = [];

  /** Questions that the second entry had to put to the store itself. */
  ownQuestions = 0;

  /** What the second entry's own questions get. */
  ownAnswer: Told = told(100);

  isReached = true;

  readonly reader: SharedFeed;

  readonly asker: SharedFeed;

  constructor() {
    const { clock } = this;
    const feedOf = (changes: () => Promise<Told>) => ({ changes }) as unknown as ChangeFeed;
    const shared = { codec, clock, log: LOG };
    const never = new Promise<Told>(() => {});
    const next = () => {
      const answer = this.answers.shift();
      return answer ? Promise.resolve(answer) : never;
    };
    this.reader = new SharedFeed({
      ...shared,
      feed: feedOf(next),
      sharer: () => undefined,
      ask: () => Promise.resolve(undefined),
    });
    this.asker = new SharedFeed({
      ...shared,
      feed: feedOf(() => {
        this.ownQuestions += 1;
        return Promise.resolve(this.ownAnswer);
      }),
      sharer: () => 'reader',
      ask: (_, question) =>
        this.isReached ? this.reader.answer(question) : Promise.resolve(undefined),
    });
  }

  /** Lets the reader take the store's next answer. */
  async read(after: number): Promise<void> {
    await this.reader.changes('', after as Revision, 500);
  }

  async ask(after: number): Promise<Told | undefined> {
    let got: Told | undefined;
    void this.asker.changes('', after as Revision, 1000).then((answer) => {
      got = answer;
    });
    await this.advance(2000, () => got !== undefined);
    return got;
  }

  /** Moves the clock in small steps, and lets what was promised happen between them. */
  async advance(ms: number, isDone = () => false): Promise<void> {
    const untilMs = this.clock.nowMs() + ms;
    while (this.clock.nowMs() < untilMs && !isDone()) {
      for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
      if (!isDone()) this.clock.advanceTo(this.clock.nowMs() + 10);
    }
  }
}

test('what one entry has read is told to another without a call to the store', async (t) => {
  const pair = new Pair();
  pair.answers.push(told(5, [beat(5, 1)]));
  await pair.read(4);
  const answer = await pair.ask(4);
  t.true(answer?.ok);
  t.is((answer as { val: { changes: Changes } }).val.changes.length, 1);
  t.is(pair.ownQuestions, 0);
});

test('an entry written again without news is not told, but the revision is', async (t) => {
  const pair = new Pair();
  pair.answers.push(told(5, [beat(5, 1)]), told(9, [beat(7, 2), beat(9, 3, 'draining')]));
  await pair.read(4);
  await pair.read(5);
  const answer = await pair.ask(5);
  const { changes, revision } = (answer as Extract<Told, { ok: true }>).val;
  t.is(revision, 9 as Revision);
  t.deepEqual(
    changes.map((change) => change.type === 'put' && change.item.revision),
    [9 as Revision],
  );
});

test('a question that waits is answered by the next news', async (t) => {
  const pair = new Pair();
  pair.answers.push(told(5, [beat(5, 1)]), told(6, [beat(6, 2, 'draining')]));
  await pair.read(4);
  const asking = pair.ask(5);
  await pair.advance(100);
  await pair.read(5);
  const answer = await asking;
  t.is((answer as Extract<Told, { ok: true }>).val.revision, 6 as Revision);
  t.is(pair.ownQuestions, 0);
});

test('when the one who reads for all is cut off, the store is asked within the bound on changes', async (t) => {
  const pair = new Pair();
  pair.answers.push(told(5, [beat(5, 1)]));
  await pair.read(4);
  const startMs = pair.clock.nowMs();
  // Its store is silent from now on; whoever asks it must hear of it in time for its own question.
  let answer = await pair.ask(5);
  while (pair.ownQuestions === 0) answer = await pair.ask(5);
  t.is((answer as Extract<Told, { ok: true }>).val.revision, 100 as Revision);
  t.true(pair.clock.nowMs() - startMs < 1500);
});

test('one that does not answer is not asked again for a while', async (t) => {
  const pair = new Pair();
  pair.answers.push(told(5, [beat(5, 1)]));
  await pair.read(4);
  pair.isReached = false;
  await pair.ask(5);
  pair.isReached = true;
  t.is(pair.ownQuestions, 1);
  t.false(pair.asker.isShared());
  await pair.advance(3100);
  t.true(pair.asker.isShared());
});

test('a failure of the store is told as one when it fails the asker as well', async (t) => {
  const pair = new Pair();
  pair.ownAnswer = DOWN;
  const answer = await pair.ask(5);
  t.true(answer?.err);
  t.is(pair.ownQuestions, 1);
});

test('changes that the one who reads for all does not remember are read from the store', async (t) => {
  const pair = new Pair();
  pair.answers.push(told(50, [beat(50, 1)]));
  await pair.read(49);
  await pair.ask(10);
  t.is(pair.ownQuestions, 1);
  t.true(pair.asker.isShared());
});
