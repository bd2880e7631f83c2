import test from 'ava';
import fc from 'fast-check';
import {
  callerMemoryLimit,
  callerMemoryRules,
  chooseEvictions,
  isCallerMemoryFull,
  mayEvictAnswer,
} from '../src/core/callermemory/index.js';

const MIB = 1_048_576;
const NOW_MS = 100_000;

const holders = fc.array(
  fc.record({
    heldBytes: fc.integer({ min: 1, max: 10 * MIB }),
    progressAtMs: fc.integer({ min: 0, max: NOW_MS }),
  }),
  { maxLength: 40 },
);

test('evictions free what is needed if that much is held, and none is needless', (t) => {
  fc.assert(
    fc.property(holders, fc.integer({ min: 0, max: 100 * MIB }), (drawn, excessBytes) => {
      const all = drawn.map((holder, id) => ({ ...holder, id }));
      const chosen = chooseEvictions(all, excessBytes, NOW_MS);
      const freed = chosen.map((id) => all[id]!.heldBytes);
      const freedBytes = freed.reduce((sum, bytes) => sum + bytes, 0);
      const heldBytes = all.reduce((sum, holder) => sum + holder.heldBytes, 0);
      t.true(freedBytes >= Math.min(excessBytes, heldBytes));
      t.true(freedBytes - (freed.at(-1) ?? 0) < Math.max(1, excessBytes));
      t.is(new Set(chosen).size, chosen.length);
    }),
  );
});

test('of two connections that hold as much, the one without progress for longer is closed first', (t) => {
  const held = { heldBytes: MIB };
  const sitting = { ...held, id: 'sitting', progressAtMs: NOW_MS - 10_000 };
  const sending = { ...held, id: 'sending', progressAtMs: NOW_MS };
  t.deepEqual(chooseEvictions([sending, sitting], 1, NOW_MS), ['sitting']);
});

test('a newcomer with a small body is closed after those that sit there with large ones', (t) => {
  const sitting = { id: 'sitting', heldBytes: MIB, progressAtMs: NOW_MS - 2000 };
  const newcomer = { id: 'newcomer', heldBytes: 20_000, progressAtMs: NOW_MS };
  t.deepEqual(chooseEvictions([newcomer, sitting], 1, NOW_MS), ['sitting']);
});

test('callers and the idle process take at most 0.8 of the memory of a usual machine', (t) => {
  const machineBytes = 350 * MIB;
  const limitBytes = callerMemoryLimit(machineBytes);
  t.true(limitBytes + callerMemoryRules.processBytes <= 0.8 * machineBytes);
  // The largest body that configurations allow, beside a hundred requests.
  for (const memoryMb of [100, 160, 350]) {
    const roomBytes = callerMemoryLimit(memoryMb * MIB) - 100 * callerMemoryRules.requestBytes;
    t.true(roomBytes >= 4 * MIB, `${memoryMb} MB`);
  }
});

// Under the limit nobody has to go, and an answer that goes on is worth more than one that stands.
test('only large answers that stand are given up, unless the limit is far exceeded', (t) => {
  const { answerIdleMs, minAnswerBytes, severe } = callerMemoryRules;
  const drawn = fc.record({
    heldBytes: fc.integer({ min: 0, max: MIB }),
    idleMs: fc.integer({ min: 0, max: 3 * answerIdleMs }),
    totalBytes: fc.integer({ min: 0, max: 20 * MIB }),
  });
  const limitBytes = 8 * MIB;
  fc.assert(
    fc.property(drawn, ({ heldBytes, idleMs, totalBytes }) => {
      const mayGo = mayEvictAnswer({ heldBytes, idleMs }, { totalBytes, limitBytes });
      if (totalBytes <= limitBytes || heldBytes < minAnswerBytes) t.false(mayGo);
      else t.is(mayGo, idleMs >= answerIdleMs || totalBytes > severe * limitBytes);
    }),
  );
});

// Stalled answers made entries refuse every second request while there was memory for requests.
test('requests are not refused for answers alone before these are given up', (t) => {
  const limitBytes = 8 * MIB;
  const isFull = (callerBytes: number, answerBytes: number) =>
    isCallerMemoryFull({ callerBytes, totalBytes: callerBytes + answerBytes }, limitBytes);
  t.false(isFull(MIB, 10 * MIB));
  t.false(isFull(8 * MIB, 0));
  t.true(isFull(8 * MIB + 1, 0));
  t.true(isFull(MIB, 12 * MIB));
});
