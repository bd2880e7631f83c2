import test from 'ava';
import { SlowLinkWorld } from './support/slowlinkworld.js';

/** Bound of the users' pages on the time until a configuration is in force at every entry. */
const APPLY_MS = 3000;
const ENTRIES = 6;
/** A third of a link of 10 Mbit/s. */
const BYTES_PER_MS = 400;
const RECORD_BYTES = 40_000;

function inForce(version: number): number[] {
  return Array<number>(ENTRIES).fill(version);
}

async function start(hasReader: boolean): Promise<SlowLinkWorld> {
  const options = { entryCount: ENTRIES, bytesPerMs: BYTES_PER_MS, hasReader };
  const world = new SlowLinkWorld(options);
  await world.advance(2000);
  return world;
}

test('a configuration does not wait for the many large records that were written before it', async (t) => {
  const world = await start(true);
  for (let record = 0; record < 30; record += 1) {
    world.putRecord(`r${record}`, RECORD_BYTES);
    await world.advance(30);
  }
  world.putTable(2);
  await world.advance(APPLY_MS);
  t.deepEqual(world.versions, inForce(2));
  await world.advance(10_000);
  t.is(world.completeCount, ENTRIES);
  world.stop();
});

test('a configuration does not wait for a large record that is written again and again', async (t) => {
  const world = await start(true);
  for (let time = 0; time < 200; time += 1) {
    if (time === 80) world.putTable(2);
    world.putRecord('r', RECORD_BYTES);
    await world.advance(30);
  }
  // The configuration was written 3.6 s ago, and the record is still being written.
  t.deepEqual(world.versions, inForce(2));
  await world.advance(5000);
  t.is(world.completeCount, ENTRIES);
  world.stop();
});

test('entries that read the store themselves get changes that take longer than a time-out to arrive', async (t) => {
  const world = await start(false);
  for (let record = 0; record < 30; record += 1) {
    world.putRecord(`r${record}`, RECORD_BYTES);
    await world.advance(30);
  }
  world.putTable(2);
  await world.advance(15_000);
  t.deepEqual(world.versions, inForce(2));
  t.is(world.completeCount, ENTRIES);
  world.stop();
});
