import test from 'ava';
import { setTimeout as wait } from 'node:timers/promises';
import { systemClock } from '../src/base/index.js';
import { HttpEngine } from '../src/shell/engine/index.js';
import { FakeEngine, MemoryStore, seededFaults } from '../standin/index.js';
import { ResidencyHarness } from './support/residencyharness.js';

const CAPACITY = { memoryBytes: 100, kvCacheBytes: 10, kvCacheBytesPerToken: 0, unloadMs: 5 };

async function until(condition: () => boolean): Promise<void> {
  for (let attempts = 0; attempts < 1000 && !condition(); attempts += 1) await wait(10);
}

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'checks' : 'ignores';

  test(`lost, late and duplicated orders do not overcommit an engine that ${kind} fencing tokens`, async (t) => {
    const orderFaults = seededFaults(5, { delay: 0.3, loss: 0.2, crash: 0.1 });
    const fake = new FakeEngine({ ...CAPACITY, checksFencing, orderFaults });
    const engine = new HttpEngine(await fake.listen(), 4);
    const harness = new ResidencyHarness(new MemoryStore(), checksFencing, {
      engine,
      clock: systemClock,
    });
    await until(() => harness.record().incarnation === 1 && harness.residency.freeBytes() > 0);
    for (const [epoch, models] of [['a', 'c'], ['b', 'c'], ['a']].entries()) {
      harness.plan(models, [], epoch + 1);
      await until(() => models.every((model) => harness.ready().includes(model)));
      t.true(
        models.every((model) => harness.ready().includes(model)),
        models.join(' '),
      );
    }
    t.is(fake.counts.overcommits, 0);
    harness.end();
    await engine.close();
    fake.close();
  });
}
