import test from 'ava';
import { result, VirtualClock, type Revision } from '../src/base/index.js';
import type { ChangeFeed, Log } from '../src/port/index.js';
import { SharedFeed } from '../src/direct/sync/index.js';
import { codec } from '../platform/codec.js';
import { serverRecord } from './support/serverrecord.js';

type ChangesAnswer = Awaited<ReturnType<ChangeFeed['changes']>>;
type Changes = Extract<ChangesAnswer, { ok: true }>['val']['changes'];

const LOG: Log = { info() {}, warn() {}, error() {} };
const DOWN: ChangesAnswer = result.Err({ type: 'store-unavailable', detail: 'down' });

function heartbeat(revision: number, count: number, state = 'ready'): Changes[number] {
  const value = serverRecord({ state, seq: count });
  return { type: 'put', item: { key: 'servers/u1', value, revision: revision as Revision } };
}

function answerOf(revision: number, changes: Changes = []): ChangesAnswer {
  return result.Ok({ changes, revision: revision as Revision });
}

/** An entry that reads the store and one that reads from it; the store's answers are scripted. */
class Pair {
  readonly clock = new VirtualClock();

  /** The store's answers to the reader; after the last it never answers. */
  readonly answers: ChangesAnswer[] = [];

  /** Number of requests that the second entry had to send to the store itself. */
  ownRequests = 0;

  /** The store's answer to the second entry's own requests. */
  ownAnswer: ChangesAnswer = answerOf(100);

  isReached = true;

  readonly reader: SharedFeed;

  readonly asker: SharedFeed;

  constructor() {
    const { clock } = this;
    const feedOf = (changes: () => Promise<ChangesAnswer>) =>
      ({ changes }) as unknown as ChangeFeed;
    const shared = { codec, clock, log: LOG };
    const never = new Promise<ChangesAnswer>(() => {});
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
        this.ownRequests += 1;
        return Promise.resolve(this.ownAnswer);
      }),
      sharer: () => 'reader',
      ask: (_, request) =>
        this.isReached ? this.reader.answer(request) : Promise.resolve(undefined),
    });
  }

  /** Lets the reader receive the store's next answer. */
  async read(after: number): Promise<void> {
    await this.reader.changes('', after as Revision, 500);
  }

  async ask(after: number): Promise<ChangesAnswer | undefined> {
    let got: ChangesAnswer | undefined;
    void this.asker.changes('', after as Revision, 1000).then((answer) => {
      got = answer;
    });
    await this.advance(2000, () => got !== undefined);
    return got;
  }

  /** Advances the clock in small steps and lets promises settle in between. */
  async advance(ms: number, isDone = () => false): Promise<void> {
    const untilMs = this.clock.nowMs() + ms;
    while (this.clock.nowMs() < untilMs && !isDone()) {
      for (let round = 0; round < 10; round += 1) await Promise.resolve();
      if (!isDone()) this.clock.advanceTo(this.clock.nowMs() + 10);
    }
  }
}

test('changes that one entry has read reach another without a call to the store', async (t) => {
  const pair = new Pair();
  pair.answers.push(answerOf(5, [heartbeat(5, 1)]));
  await pair.read(4);
  const answer = await pair.ask(4);
  t.true(answer?.ok);
  t.is((answer as { val: { changes: Changes } }).val.changes.length, 1);
  t.is(pair.ownRequests, 0);
});

test('a record written again without a change is left out, but the revision advances', async (t) => {
  const pair = new Pair();
  pair.answers.push(
    answerOf(5, [heartbeat(5, 1)]),
    answerOf(9, [heartbeat(7, 2), heartbeat(9, 3, 'draining')]),
  );
  await pair.read(4);
  await pair.read(5);
  const answer = await pair.ask(5);
  const { changes, revision } = (answer as Extract<ChangesAnswer, { ok: true }>).val;
  t.is(revision, 9 as Revision);
  t.deepEqual(
    changes.map((change) => change.type === 'put' && change.item.revision),
    [9 as Revision],
  );
});

// Guards against news of upstreams that wait at other entries for a large record that none of them can use.
test('records that no entry reads are passed on without their bytes, or not at all', async (t) => {
  const pair = new Pair();
  const large = 'x'.repeat(1_000_000);
  const put = (key: string, revision: number): Changes[number] => ({
    type: 'put',
    item: { key, value: large, revision: revision as Revision },
  });
  pair.answers.push(answerOf(8, [put('servers/odd', 5), put('other/odd', 6), heartbeat(8, 1)]));
  await pair.read(4);
  const answer = await pair.ask(4);
  const { changes, revision } = (answer as Extract<ChangesAnswer, { ok: true }>).val;
  t.is(revision, 8 as Revision);
  t.deepEqual(
    changes.map((change) => change.type === 'put' && [change.item.key, change.item.value.length]),
    [
      ['servers/odd', 0],
      ['servers/u1', serverRecord({ state: 'ready', seq: 1 }).length],
    ],
  );
});

test('a waiting request is answered with the next change', async (t) => {
  const pair = new Pair();
  pair.answers.push(answerOf(5, [heartbeat(5, 1)]), answerOf(6, [heartbeat(6, 2, 'draining')]));
  await pair.read(4);
  const asking = pair.ask(5);
  await pair.advance(100);
  await pair.read(5);
  const answer = await asking;
  t.is((answer as Extract<ChangesAnswer, { ok: true }>).val.revision, 6 as Revision);
  t.is(pair.ownRequests, 0);
});

test('if the sharing entry is cut off from the store, the other reads the store in time', async (t) => {
  const pair = new Pair();
  pair.answers.push(answerOf(5, [heartbeat(5, 1)]));
  await pair.read(4);
  const startMs = pair.clock.nowMs();
  // The store no longer answers the reader; the other entry must notice in time for its own request.
  let answer = await pair.ask(5);
  while (pair.ownRequests === 0) answer = await pair.ask(5);
  t.is((answer as Extract<ChangesAnswer, { ok: true }>).val.revision, 100 as Revision);
  t.true(pair.clock.nowMs() - startMs < 1500);
});

test('an entry that does not answer is not used for a while', async (t) => {
  const pair = new Pair();
  pair.answers.push(answerOf(5, [heartbeat(5, 1)]));
  await pair.read(4);
  pair.isReached = false;
  await pair.ask(5);
  pair.isReached = true;
  t.is(pair.ownRequests, 1);
  t.false(pair.asker.isShared());
  await pair.advance(3100);
  t.true(pair.asker.isShared());
});

test('a store failure is returned if the store fails for the asking entry as well', async (t) => {
  const pair = new Pair();
  pair.ownAnswer = DOWN;
  const answer = await pair.ask(5);
  t.true(answer?.err);
  t.is(pair.ownRequests, 1);
});

test('changes that the sharing entry no longer keeps are read from the store', async (t) => {
  const pair = new Pair();
  pair.answers.push(answerOf(50, [heartbeat(50, 1)]));
  await pair.read(49);
  await pair.ask(10);
  t.is(pair.ownRequests, 1);
  t.true(pair.asker.isShared());
});

test('a record that is restored after another writer overwrote it is passed on', async (t) => {
  const pair = new Pair();
  const junk = {
    type: 'put' as const,
    item: { key: 'servers/u1', value: 'junk', revision: 6 as Revision },
  };
  pair.answers.push(
    answerOf(5, [heartbeat(5, 1)]),
    answerOf(6, [junk]),
    answerOf(7, [heartbeat(7, 2)]),
  );
  for (const after of [4, 5, 6]) await pair.read(after);
  const answer = await pair.ask(5);
  const { changes } = (answer as Extract<ChangesAnswer, { ok: true }>).val;
  t.deepEqual(
    changes.map((change) => change.type === 'put' && change.item.revision),
    [6, 7] as Revision[],
  );
});
