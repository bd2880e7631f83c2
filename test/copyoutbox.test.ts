import test from 'ava';
import { VirtualClock, type RequestId, type ServiceId } from '../src/base/index.js';
import { copyHolders, type Member } from '../src/core/origin/index.js';
import { CopyOutbox } from '../src/direct/origin/copyoutbox.js';
import type { OriginCopy } from '../src/direct/origin/origincopy.js';

const COPY: OriginCopy = {
  id: 'r1' as RequestId,
  origin: { service: 's' as ServiceId, softwareVersion: 'v1', weightsVersion: undefined },
  sequence: 1,
  keepMs: 10_000,
};
const LONG_MS = 20_000;
const MEMBERS: readonly Member[] = Array.from({ length: 5 }, (_, at) => ({
  entry: `e${at}`,
  address: `e${at}`,
  availabilityZone: `z${at % 2}`,
}));
const HOLDERS = copyHolders(COPY.id, MEMBERS).map(({ entry }) => entry);

/** Sends a copy from an entry and returns where it was sent, in order; the entries in `failing` do not answer. */
async function sendFrom(entry: string, failing: readonly string[]): Promise<string[]> {
  const clock = new VirtualClock();
  const sent: string[] = [];
  const outbox = new CopyOutbox({
    clock,
    entry,
    members: () => MEMBERS,
    send: (address) => {
      sent.push(address);
      return Promise.resolve(!failing.includes(address));
    },
    count: () => {},
  });
  outbox.add(COPY);
  for (let atMs = 0; atMs < LONG_MS; atMs += 10) {
    clock.advanceTo(atMs);
    for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
  }
  return sent;
}

// Guards against a stream that is refused although two entries were to know its origin: one copy failed to be sent.
test('a copy that could not be sent goes to the entry that is asked besides', async (t) => {
  const outside = MEMBERS.find(({ entry }) => !HOLDERS.includes(entry))!.entry;
  const [first, second, third] = HOLDERS as [string, string, string];
  t.deepEqual(await sendFrom(outside, [first]), [first, second, third]);
});

test('a copy that could not be sent is sent again where no other entry is asked', async (t) => {
  const [first, second, third] = HOLDERS as [string, string, string];
  t.deepEqual(await sendFrom(first, [second]), [second, third, second]);
});

test('a copy is sent a bounded number of times', async (t) => {
  const outside = MEMBERS.find(({ entry }) => !HOLDERS.includes(entry))!.entry;
  t.is((await sendFrom(outside, HOLDERS)).length, 4);
  t.is((await sendFrom(HOLDERS[0]!, HOLDERS)).length, 4);
  t.is((await sendFrom(outside, [])).length, 2);
});
