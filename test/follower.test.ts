import test from 'ava';
import { result, VirtualClock, type Revision, type UpstreamId } from '../src/base/index.js';
import type { ChangeFeed, Log } from '../src/port/index.js';
import { Follower, paceTable } from '../src/direct/sync/index.js';
import { codec } from '../platform/codec.js';
import { serverRecord } from './support/serverrecord.js';

type Changes = Awaited<ReturnType<ChangeFeed['changes']>>;

const LOG: Log = { info() {}, warn() {}, error() {} };
const SERVER = serverRecord();
const HEARTBEAT_MS = 1200;
const DOWN: Changes = result.Err({ type: 'store-unavailable', detail: 'down' });

function deleted(revision: number): Changes {
  const change = { type: 'deleted' as const, key: 'servers/u1', revision: revision as Revision };
  return result.Ok({ changes: [change], revision: revision as Revision });
}

/** Failing calls that last longer than one heartbeat. */
const OUTAGE = Array.from({ length: 6 }, () => DOWN);

/** A feed that answers each request for changes with the next of `answers`, and then never. */
class ScriptedFeed {
  constructor(private readonly answers: (Changes | Promise<Changes>)[]) {}

  list(): ReturnType<ChangeFeed['list']> {
    const item = { key: 'servers/u1', value: SERVER, revision: 1 as Revision };
    return Promise.resolve(result.Ok({ items: [item], revision: 1 as Revision }));
  }

  changes(): ReturnType<ChangeFeed['changes']> {
    const next = this.answers.shift();
    return next ? Promise.resolve(next) : new Promise(() => {});
  }
}

/** Advances the clock in small steps and lets promises settle in between. */
async function advance(clock: VirtualClock, ms: number): Promise<void> {
  const untilMs = clock.nowMs() + ms;
  while (clock.nowMs() < untilMs) {
    for (let round = 0; round < 5; round += 1) await Promise.resolve();
    clock.advanceTo(clock.nowMs() + 10);
  }
}

async function follow(
  answers: (Changes | Promise<Changes>)[],
  clock = new VirtualClock(),
): Promise<{ clock: VirtualClock; gone: UpstreamId[]; ownValues: (string | undefined)[] }> {
  const gone: UpstreamId[] = [];
  const ownValues: (string | undefined)[] = [];
  const listener = {
    setTable() {},
    upstream() {},
    upstreamGone(id: UpstreamId) {
      gone.push(id);
    },
    upstreamRestarted() {},
    ownKeyChanged(_key: string, item: { value: string } | undefined) {
      ownValues.push(item?.value);
    },
    complete() {},
  };
  const feed = new ScriptedFeed(answers) as unknown as ChangeFeed;
  const pace = () => paceTable.alone;
  const follower = new Follower({
    feed,
    codec,
    listener,
    clock,
    log: LOG,
    pace,
    heartbeatMs: HEARTBEAT_MS,
  });
  void follower.run();
  await advance(clock, 2000);
  return { clock, gone, ownValues };
}

test('an upstream whose record is deleted while the store is available is removed at once', async (t) => {
  const { gone } = await follow([deleted(2)]);
  t.deepEqual(gone, ['u1']);
});

test('a store that refuses a full read is not asked again without a pause', async (t) => {
  const clock = new VirtualClock();
  let callCount = 0;
  const compacted = result.Err({ type: 'store-compacted' as const, detail: 'discarded' });
  const feed = {
    list: () => {
      callCount += 1;
      return Promise.resolve(compacted);
    },
  } as unknown as ChangeFeed;
  const listener = {} as unknown as ConstructorParameters<typeof Follower>[0]['listener'];
  const pace = () => paceTable.alone;
  const options = { feed, codec, listener, clock, log: LOG, pace, heartbeatMs: HEARTBEAT_MS };
  const follower = new Follower(options);
  void follower.run();
  await advance(clock, 1000);
  follower.stop();
  t.is(callCount, 5);
});

test('a removal that is read after a single failed call is believed at once', async (t) => {
  const { gone } = await follow([DOWN, deleted(2)]);
  t.deepEqual(gone, ['u1']);
});

test('the wait that a silent watch asked for does not count as an outage of the store', async (t) => {
  const clock = new VirtualClock();
  const later = (ms: number, answer: Changes) =>
    new Promise<Changes>((resolve) => {
      clock.after(ms, () => resolve(answer));
    });
  const { waitMs, batchMs } = paceTable.alone;
  // The watch is sent after a pause, and another call is answered right after the watch has failed.
  const failsAtMs = batchMs + waitMs + HEARTBEAT_MS - 200;
  const { gone } = await follow([later(failsAtMs, DOWN), deleted(2)], clock);
  t.deepEqual(gone, ['u1']);
});

test('an upstream whose record expired during a store outage is kept until it could write again', async (t) => {
  const { clock, gone } = await follow([...OUTAGE, deleted(2)]);
  t.deepEqual(gone, []);
  await advance(clock, 3000);
  t.deepEqual(gone, []);
});

test('an upstream that is found to have written its record again is not dropped in between', async (t) => {
  const item = { key: 'servers/u1', value: SERVER, revision: 3 as Revision };
  const rewritten: Changes = result.Ok({
    changes: [{ type: 'put', item }],
    revision: 3 as Revision,
  });
  // The answer comes after the upstream counts as gone; until then the store has been silent for too long.
  const clock = new VirtualClock();
  const late = new Promise<Changes>((resolve) => {
    clock.after(5000, () => resolve(rewritten));
  });
  const { gone } = await follow([...OUTAGE, deleted(2), late], clock);
  await advance(clock, 5000);
  t.deepEqual(gone, []);
});

test('an upstream that has not written its record again by then is removed', async (t) => {
  const quiet: Changes = result.Ok({ changes: [], revision: 2 as Revision });
  const { clock, gone } = await follow([
    ...OUTAGE,
    deleted(2),
    quiet,
    quiet,
    quiet,
    quiet,
    quiet,
    quiet,
    quiet,
  ]);
  await advance(clock, 3000);
  t.deepEqual(gone, ['u1']);
});

test('a deletion that is read again does not take back a later write of the key', async (t) => {
  const key = 'tarragonstile/r';
  const put = (revision: number) => ({
    type: 'put' as const,
    item: { key, value: `v${revision}`, revision: revision as Revision },
  });
  const removed = { type: 'deleted' as const, key, revision: 3 as Revision };
  const answers: Changes[] = [
    result.Ok({ changes: [put(2), removed, put(4)], revision: 1 as Revision }),
    result.Ok({ changes: [put(2), removed, put(4)], revision: 4 as Revision }),
    result.Ok({ changes: [], revision: 4 as Revision }),
  ];
  const { ownValues } = await follow(answers);
  t.deepEqual(ownValues, ['v2', undefined, 'v4']);
});
