import test from 'ava';
import { VirtualClock, type UpstreamId } from '../src/base/index.js';
import { rateRules } from '../src/core/sharedrate/index.js';
import { SlotClient } from '../src/direct/selfreport/slotclient.js';

const LONGEST_MS = 2 ** 31 - 1;

// Guards against an upstream that an entry does not ask a slot for any more, because of one answer with a long time.
test('an upstream is asked for a slot again after the longest backoff, whatever time the answer names', async (t) => {
  const clock = new VirtualClock();
  let asked = 0;
  const client = new SlotClient({
    clock,
    draw: () => {
      asked += 1;
      return Promise.resolve({ type: 'later', inMs: LONGEST_MS });
    },
  });
  const upstreams = ['u1' as UpstreamId];
  const waiter = { rank: 1, requestId: 'r1' } as never;
  client.request(upstreams, waiter, clock.nowMs());
  await new Promise(setImmediate);
  client.request(upstreams, waiter, clock.nowMs() + rateRules.maxBackoffMs + 1);
  t.is(asked, 2);
});
