import test from 'ava';
import { check } from '../bench/once/check.js';
import { World } from '../bench/once/world.js';
import type { Transition } from '../src/base/index.js';
import { session, type TimedEvent } from './support/session.js';

const KEY_2 = 2;

/** One event of a session in the modelled deployment. */
type Act =
  | { readonly act: 'send'; readonly entry: number }
  | { readonly act: 'deliver' | 'lose'; readonly message: string }
  | {
      readonly act:
        'admit' | 'leave' | 'hand-over' | 'kill-sidecar' | 'kill-entry' | 'cut-store' | 'settle';
    };

const ACTS: Readonly<Record<Act['act'], (world: World, act: never) => void>> = {
  send: (world, { entry }: { entry: number }) =>
    world.send({ requestIndex: KEY_2, entry, upstream: 0, isAffordable: true }),
  deliver: (world, { message }: { message: string }) => world.deliverNamed(message),
  lose: (world, { message }: { message: string }) => world.loseNamed(message),
  admit: (world) => world.admit(64),
  leave: (world) => world.leave(0),
  'hand-over': (world) => world.handOver(2),
  'kill-sidecar': (world) => world.kill(0),
  'kill-entry': (world) => world.killEntry(0),
  'cut-store': (world) => world.stopStore(),
  settle: (world) => world.settle(40),
};

/** Performs one act; its effects are the lines that it adds to the trace. */
function step(world: World, act: Act): Transition<World, string> {
  const before = world.trace.length;
  ACTS[act.act](world, act as never);
  return { state: world, effects: world.trace.slice(before) };
}

type Point = 'first' | 'create' | 'created' | 'run' | 'retry';

/** Failures by name: the acts that cause each, and the point in the life of a request at which they happen. */
const FAILURES: Readonly<Record<string, { at: Point; acts: readonly Act[] }>> = {
  'store-down': { at: 'create', acts: [{ act: 'cut-store' }] },
  'lost-answer': { at: 'created', acts: [{ act: 'lose', message: 'answer to create' }] },
  'sidecar-dead': { at: 'run', acts: [{ act: 'kill-sidecar' }] },
  'entry-dead': { at: 'created', acts: [{ act: 'kill-entry' }] },
  'other-entry': { at: 'retry', acts: [{ act: 'send', entry: 1 }] },
  'sidecar-stopped': {
    at: 'retry',
    acts: [{ act: 'leave' }, { act: 'hand-over' }, { act: 'settle' }, { act: 'send', entry: 1 }],
  },
  'two-entries': { at: 'first', acts: [{ act: 'send', entry: 1 }] },
};

/** Returns the acts of a request with an idempotency key and of its retry, with the failures at their points. */
function script(names: readonly string[]): TimedEvent<Act>[] {
  const at = (point: Point) =>
    names.flatMap((name) => (FAILURES[name]?.at === point ? FAILURES[name].acts : []));
  const retry = at('retry');
  const acts: Act[] = [
    { act: 'send', entry: 0 },
    ...at('first'),
    { act: 'deliver', message: 'ask u1' },
    { act: 'deliver', message: 'answer to ask u1' },
    ...at('create'),
    { act: 'deliver', message: 'create' },
    ...at('created'),
    { act: 'deliver', message: 'answer to create' },
    { act: 'deliver', message: 'send 1' },
    { act: 'admit' },
    { act: 'deliver', message: 'run' },
    ...at('run'),
    { act: 'settle' },
    ...(retry.length > 0 ? retry : [{ act: 'send', entry: 0 } as const]),
    { act: 'settle' },
  ];
  return acts.map((event, index) => ({ atMs: index, event }));
}

const names = Object.keys(FAILURES);
const single = names.map((name) => [name]);
const pairs = names.flatMap((first, index) =>
  names.slice(index + 1).map((other) => [first, other]),
);

for (const failures of [...single, ...pairs]) {
  test(`golden session: ${failures.join(' and ')}`, (t) => {
    const world = session(
      t,
      `once-${failures.join('-and-')}`,
      step,
      new World(true),
      script(failures),
    );
    t.true(world.oracle.runsOf('key-2') <= 1);
  });
}

test('in no interleaving does a request run twice, or get reported as not executed although it ran', (t) => {
  const { violation, counterexample, counts } = check(3000, 20_261_202);
  t.is(violation, undefined, counterexample.join('\n'));
  for (const heard of ['runs', 'answers', 'no', 'unknown']) {
    t.true((counts[heard] ?? 0) > 500, heard);
  }
});
